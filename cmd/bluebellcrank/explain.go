package main

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/operator"
)

const usageExplain = `
Explain one refusal, by the id that its caller got in the Refusal-Id header.

Exit codes: 0 found, 1 not among the saved refusals.
`

type explainCmd struct {
	access `embed:""`
	ID     string        `arg:"" help:"Refusal id."`
	Since  time.Duration `default:"720h" help:"How far back to look."`
}

// Help implements kong.HelpProvider.
func (explainCmd) Help() string { return usageExplain }

// Run implements the subcommand.
func (c *explainCmd) Run() error {
	list, _, err := operator.Refusals(c.client(), time.Now().Add(-c.Since))
	if err != nil {
		return err
	}
	r, found := lo.Find(list, func(r refusal.Refusal) bool { return r.ID == c.ID })
	if !found {
		return fmt.Errorf("no refusal %s in the last %s", c.ID, c.Since)
	}
	fmt.Printf("refusal  %s\n", r.ID)
	fmt.Printf("time     %s\n", r.Time.Format(time.RFC3339Nano))
	fmt.Printf("caller   account %q, service %q, attempt %q\n", r.Account, r.Service, r.Attempt)
	fmt.Printf("process  %s\n", r.Process)
	fmt.Printf("reason   %s: %s\n", r.Reason, r.Reason.Explain())
	fmt.Printf("effect   %s: %s\n", r.Effect, r.Effect.Explain())
	if r.Detail != "" {
		fmt.Printf("detail   %s\n", r.Detail)
	}
	return nil
}
