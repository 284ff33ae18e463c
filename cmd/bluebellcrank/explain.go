package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/state/incident"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/operator"
)

const usageExplain = `
Explain one refusal, by the id that its caller got in the Refusal-Id header.

With files, tell the story of one request from the logs of the programs on the
users' platform, by its attempt id: its own lines, what its entry believed, and
what other processes did just before. A file named - is standard input.

Exit codes: 0 found, 1 not among the saved refusals, or in no log.
`

type explainCmd struct {
	access `embed:""`
	ID     string        `arg:"" help:"Refusal id, or attempt id with files."`
	Files  []string      `arg:"" optional:"" help:"Logs of the platform's programs."`
	Since  time.Duration `default:"720h" help:"How far back to look."`
}

// Help implements kong.HelpProvider.
func (explainCmd) Help() string { return usageExplain }

// Run implements the subcommand.
func (c *explainCmd) Run() error {
	if len(c.Files) > 0 {
		return c.tell(os.Stdout)
	}
	list, _, err := operator.ReadRefusals(c.client(), time.Now().Add(-c.Since))
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

// tell prints what the logs say of a request.
func (c *explainCmd) tell(w io.Writer) error {
	var all []incident.Line
	for _, name := range c.Files {
		lines, err := readLog(name, c.ID)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	story, found := incident.NewTimeline(c.ID, all)
	if !found {
		return fmt.Errorf("no line of %d logs tells of the request %s", len(c.Files), c.ID)
	}
	for _, l := range story.Lines() {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	for _, f := range story.Findings() {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	return nil
}

func readLog(name, request string) ([]incident.Line, error) {
	in := os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	lines, skipped, err := incident.Read(in, request)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines are no events\n", name, skipped)
	}
	return lines, nil
}
