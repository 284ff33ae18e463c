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
Explain one refusal, by the id that its caller received in the Refusal-Id
header.

With files, print the timeline of one request, by its attempt id, from the logs
of the programs on the users' platform: the request's own lines, the state that
its entry had last logged, and the events of all processes shortly before and
during the request. A file named - is standard input.

Exit codes: 0 found, 1 not among the saved refusals or not in the logs.
`

type explainCmd struct {
	clientFlags `embed:""`
	ID          string        `arg:"" help:"Refusal id, or attempt id with files."`
	Files       []string      `arg:"" optional:"" help:"Logs of the platform's programs."`
	Since       time.Duration `default:"720h" help:"How far back to look."`
}

// Help implements kong.HelpProvider.
func (explainCmd) Help() string { return usageExplain }

// Run implements the subcommand.
func (c *explainCmd) Run() error {
	if len(c.Files) > 0 {
		return c.printTimeline(os.Stdout)
	}
	refusals, _, err := operator.ReadRefusals(c.client(), time.Now().Add(-c.Since))
	if err != nil {
		return err
	}
	r, found := lo.Find(refusals, func(r refusal.Refusal) bool { return r.ID == c.ID })
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

// printTimeline prints the timeline of a request, followed by sentences that
// describe how the request ended.
func (c *explainCmd) printTimeline(w io.Writer) error {
	var allLines []incident.Line
	for _, name := range c.Files {
		lines, err := readLog(name, c.ID)
		if err != nil {
			return err
		}
		allLines = append(allLines, lines...)
	}
	timeline, found := incident.NewTimeline(c.ID, allLines)
	if !found {
		return fmt.Errorf("no line of %d logs belongs to request %s", len(c.Files), c.ID)
	}
	for _, l := range timeline.Lines() {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	for _, f := range timeline.Findings() {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads the lines of one log that matter for a request. It prints the
// number of skipped lines to standard error.
func readLog(name, requestID string) ([]incident.Line, error) {
	in := os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	lines, skipped, err := incident.Read(in, requestID)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not events\n", name, skipped)
	}
	return lines, nil
}
