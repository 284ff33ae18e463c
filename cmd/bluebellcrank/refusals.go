package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/operator"
)

const usageRefusals = `
List the refusals that the processes have saved, oldest first, with the time,
the reason and whether the request ran. Refusals that a process lost for want
of room are counted at the end.
`

type refusalsCmd struct {
	access  `embed:""`
	Account string        `help:"Only this client account's."`
	Since   time.Duration `default:"24h" help:"How far back."`
}

// Help implements kong.HelpProvider.
func (refusalsCmd) Help() string { return usageRefusals }

// Run implements the subcommand.
func (c *refusalsCmd) Run() error {
	list, dropped, err := operator.ReadRefusals(c.client(), time.Now().Add(-c.Since))
	if err != nil {
		return err
	}
	if c.Account != "" {
		list = lo.Filter(list, func(r refusal.Refusal, _ int) bool { return r.Account == c.Account })
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TIME\tID\tACCOUNT\tSERVICE\tREASON\tEFFECT\tPROCESS")
	for _, r := range list {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Time.Format(time.RFC3339), r.ID, r.Account, r.Service, r.Reason, r.Effect, r.Process)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("%d refusals, %d lost for want of room\n", len(list), dropped)
	return nil
}
