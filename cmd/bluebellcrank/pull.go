package main

import (
	"fmt"

	"bluebellcrank/internal/transport/operator"
)

const usagePull = `
Write the configuration in force into a folder, which may be new. A file that
was edited there since the last pull or push is a conflict, and nothing is
written.

Exit codes: 0 written, 1 conflict or no configuration.
`

type pullCmd struct {
	access `embed:""`
	Folder string `arg:"" help:"Folder to write."`
}

// Help implements kong.HelpProvider.
func (pullCmd) Help() string { return usagePull }

// Run implements the subcommand.
func (c *pullCmd) Run() error {
	head, err := operator.Pull(c.client(), c.Folder)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d: %d files in %s\n", head.Revision, len(head.Files), c.Folder)
	return nil
}
