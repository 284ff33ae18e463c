package main

import (
	"fmt"
	"strings"

	"bluebellcrank/internal/transport/operator"
)

const usageCheck = `
Merge the .yaml files of a folder, in the order of their names, and check the
resulting configuration. Every error is printed as file:line:column: message.

Exit codes: 0 no errors, 1 errors.
`

type checkCmd struct {
	Folder string `arg:"" type:"existingdir" help:"Folder of .yaml files."`
}

// Help implements kong.HelpProvider.
func (checkCmd) Help() string { return usageCheck }

// Run implements the subcommand.
func (c *checkCmd) Run() error {
	conf, err := operator.Check(c.Folder)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d services (%s), %d client accounts, %d data centres\n", c.Folder,
		len(conf.Services()), strings.Join(conf.Services(), ", "), conf.AccountCount(), len(conf.DataCentres()))
	return nil
}
