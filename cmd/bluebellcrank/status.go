package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"bluebellcrank/internal/transport/operator"
)

const usageStatus = `
Ask every process on the platform's instance list for its revision and its
target: units in work, waiting and at most, and why it refuses new work.

Exit codes: 0 all answered, 4 some did not.
`

type statusCmd struct {
	access `embed:""`
}

// Help implements kong.HelpProvider.
func (statusCmd) Help() string { return usageStatus }

// Run implements the subcommand.
func (c *statusCmd) Run() error {
	fleet, err := operator.NewFleet(c.client(), c.Timeout)
	if err != nil {
		return err
	}
	defer fleet.Close()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tROLE\tDATA CENTRE\tREVISION\tSERVICE\tRUNNING\tWAITING\tLIMIT\tSTATE")
	silent := 0
	for _, r := range fleet.QueryStatuses() {
		if r.Err() != nil {
			silent++
		}
		_, _ = fmt.Fprintln(w, statusRow(r))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if silent > 0 {
		return &exitError{code: exitBehind, err: fmt.Errorf("%d processes do not answer", silent)}
	}
	return nil
}

func statusRow(r operator.StatusReply) string {
	i, s := r.Instance(), r.Status()
	if r.Err() != nil {
		return fmt.Sprintf("%s\t%s\t%s\t-\t%s\t-\t-\t-\tno answer", i.ID, i.Role, i.DataCentre, i.Service)
	}
	state := "ready"
	if !s.Ready {
		state = "not ready"
	}
	t := s.Report
	if t == nil {
		return fmt.Sprintf("%s\t%s\t%s\t%d\t-\t-\t-\t-\t%s", i.ID, i.Role, i.DataCentre, s.Revision, state)
	}
	if t.Refusing != "" {
		state = "refusing: " + t.Refusing
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s", i.ID, i.Role, i.DataCentre, s.Revision,
		t.Service, t.Running, t.Waiting, t.Limit, state)
}
