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
the reason and whether the request ran. The last line counts the refusals that
processes dropped because their buffers were full.
`

type refusalsCmd struct {
	clientFlags `embed:""`
	Account     string        `help:"List only the refusals of this client account."`
	Since       time.Duration `default:"24h" help:"How far back to look."`
}

// Help implements kong.HelpProvider.
func (refusalsCmd) Help() string { return usageRefusals }

// Run implements the subcommand.
func (c *refusalsCmd) Run() error {
	refusals, dropped, err := operator.ReadRefusals(c.client(), time.Now().Add(-c.Since))
	if err != nil {
		return err
	}
	if c.Account != "" {
		refusals = lo.Filter(refusals, func(r refusal.Refusal, _ int) bool { return r.Account == c.Account })
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TIME\tID\tACCOUNT\tSERVICE\tREASON\tEFFECT\tPROCESS")
	for _, r := range refusals {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Time.Format(time.RFC3339), r.ID, r.Account, r.Service, r.Reason, r.Effect, r.Process)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("%d refusals, %d dropped because buffers were full\n", len(refusals), dropped)
	return nil
}
