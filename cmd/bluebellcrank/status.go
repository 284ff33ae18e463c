package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"bluebellcrank/internal/transport/operator"
)

const usageStatus = `
Query every process on the platform's instance list for its revision and its
target: the running units of work, the waiting requests, the limit of running
units, and why the target refuses new work.

Exit codes: 0 all processes responded, 4 some did not.
`

type statusCmd struct {
	clientFlags `embed:""`
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
	for _, err := range fleet.InvalidInstances() {
		fmt.Fprintln(os.Stderr, "warning:", err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tROLE\tDATA CENTRE\tREVISION\tSERVICE\tRUNNING\tWAITING\tLIMIT\tSTATE")
	unresponsive := 0
	for _, reply := range fleet.QueryStatuses() {
		if reply.Err() != nil {
			unresponsive++
		}
		_, _ = fmt.Fprintln(w, statusRow(reply))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if unresponsive > 0 {
		return &exitError{code: exitIncomplete, err: fmt.Errorf("%d processes do not respond", unresponsive)}
	}
	return nil
}

// statusRow returns the table row of one process, with its columns separated by
// tabs.
func statusRow(reply operator.StatusReply) string {
	instance, status := reply.Instance(), reply.Status()
	if reply.Err() != nil {
		return fmt.Sprintf("%s\t%s\t%s\t-\t%s\t-\t-\t-\tno answer", instance.ID, instance.Role, instance.DataCentre, instance.Service)
	}
	state := "ready"
	if !status.Ready {
		state = "not ready"
	}
	report := status.Report
	if report == nil {
		return fmt.Sprintf("%s\t%s\t%s\t%d\t-\t-\t-\t-\t%s", instance.ID, instance.Role, instance.DataCentre, status.Revision, state)
	}
	if report.Refusing != "" {
		state = "refusing: " + report.Refusing
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s", instance.ID, instance.Role, instance.DataCentre, status.Revision,
		report.Service, report.Running, report.Waiting, report.Limit, state)
}
