package main

import (
	"fmt"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/agent"
	"bluebellcrank/internal/transport/entry"
	"bluebellcrank/internal/transport/process"
)

// twinCmd runs a daemon with one guard switched off, so that a test can show
// that its checker notices.
type twinCmd struct {
	Agent twinAgentCmd `cmd:""`
	Entry twinEntryCmd `cmd:""`
}

type twinAgentCmd struct {
	Guard  string         `required:""`
	Daemon agent.Settings `embed:""`
}

type twinEntryCmd struct {
	Guard  string         `required:""`
	Daemon entry.Settings `embed:""`
}

func always(bool) bool                        { return true }
func never(bool) bool                         { return false }
func alwaysNewer(_, _ int64) bool             { return true }
func warmLimit(_, warm int) int               { return warm }
func notRun(refusal.Effect) refusal.Effect    { return refusal.NotRun }
func unblocked(refusal.Reason) refusal.Reason { return "" }

// Run implements the subcommand.
func (c *twinAgentCmd) Run() error {
	g := agent.DefaultGuards()
	switch c.Guard {
	case "claims":
		g.MustClaim = never
	case "blocked":
		g.BlockedReason = unblocked
	case "in-time":
		g.IsInTime = always
	case "limit":
		g.Limit = warmLimit
	case "own-answer":
		g.IsOwnAnswer = always
	case "idle":
		g.IsIdle = always
	case "newer":
		g.IsNewer = alwaysNewer
	default:
		return fmt.Errorf("no guard %q", c.Guard)
	}
	return serve(&c.Daemon.Settings, func(log hclog.Logger, l process.Listeners) process.Daemon {
		return agent.New(c.Daemon, g, log, l)
	})
}

// Run implements the subcommand.
func (c *twinEntryCmd) Run() error {
	g := entry.DefaultGuards()
	switch c.Guard {
	case "effect":
		g.Effect = notRun
	case "whole":
		g.AnswerMatches = always
	case "drains":
		g.Drains = never
	case "newer":
		g.IsNewer = alwaysNewer
	default:
		return fmt.Errorf("no guard %q", c.Guard)
	}
	return serve(&c.Daemon.Settings, func(log hclog.Logger, l process.Listeners) process.Daemon {
		return entry.New(c.Daemon, g, log, l)
	})
}

func serve(s *process.Settings, start func(hclog.Logger, process.Listeners) process.Daemon) error {
	l, err := s.Listen()
	if err != nil {
		return err
	}
	log := process.NewLogger(*s)
	process.Run(start(log, l), log, nil)
	return nil
}
