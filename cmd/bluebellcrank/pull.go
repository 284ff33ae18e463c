package main

import (
	"fmt"

	"bluebellcrank/internal/transport/operator"
)

const usagePull = `
Write the configuration in force into a folder, which is created if it does not
exist. A file that was edited in the folder since the last pull or push is a
conflict, and nothing is written.

Exit codes: 0 written, 1 conflict or no configuration.
`

type pullCmd struct {
	clientFlags `embed:""`
	Folder      string `arg:"" help:"Folder to write."`
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
