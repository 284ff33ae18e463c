package main

import (
	"fmt"

	"bluebellcrank/internal/transport/operator"
)

const usageDump = `
Print the state of one process as YAML: for an entry the targets that it knows
and their state, for an agent its gate (which admits requests to the target) and
its attempts (requests sent to the target).
`

type dumpCmd struct {
	clientFlags `embed:""`
	Instance    string `arg:"" help:"Instance id."`
}

// Help implements kong.HelpProvider.
func (dumpCmd) Help() string { return usageDump }

// Run implements the subcommand.
func (c *dumpCmd) Run() error {
	fleet, err := operator.NewFleet(c.client(), c.Timeout)
	if err != nil {
		return err
	}
	defer fleet.Close()
	text, err := fleet.Dump(c.Instance)
	if err != nil {
		return err
	}
	fmt.Print(text)
	return nil
}
