package main

import (
	"fmt"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/agent"
	"bluebellcrank/internal/transport/entry"
	"bluebellcrank/internal/transport/process"
)

// twinCmd runs a test variant of a daemon with one guard disabled. A guard is a
// decision on which one of the daemon's guarantees depends; a test runs the variant
// to show that its checks detect the missing guard.
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

// The functions below replace guards. Each returns the value with which the daemon
// proceeds where the guard would have prevented it.

func alwaysTrue(bool) bool                       { return true }
func alwaysFalse(bool) bool                      { return false }
func alwaysNewer(_, _ int64) bool                { return true }
func alwaysWarmLimit(_, warm int) int            { return warm }
func alwaysNotRun(refusal.Effect) refusal.Effect { return refusal.NotRun }
func neverBlocked(refusal.Reason) refusal.Reason { return "" }

// Run implements the subcommand.
func (c *twinAgentCmd) Run() error {
	g := agent.DefaultGuards()
	switch c.Guard {
	case "claims":
		g.MustClaim = alwaysFalse
	case "blocked":
		g.BlockedReason = neverBlocked
	case "settled":
		g.IsSettled = alwaysTrue
	case "in-time":
		g.IsInTime = alwaysTrue
	case "limit":
		g.Limit = alwaysWarmLimit
	case "own-answer":
		g.AnswerMatches = alwaysTrue
	case "idle":
		g.IsIdle = alwaysTrue
	case "newer":
		g.IsNewer = alwaysNewer
	default:
		return fmt.Errorf("an agent has no guard %q", c.Guard)
	}
	return runDaemon(&c.Daemon.Settings, func(log hclog.Logger, l process.Listeners) process.Daemon {
		return agent.New(c.Daemon, g, log, l)
	})
}

// Run implements the subcommand.
func (c *twinEntryCmd) Run() error {
	g := entry.DefaultGuards()
	switch c.Guard {
	case "effect":
		g.Effect = alwaysNotRun
	case "whole":
		g.AnswerMatches = alwaysTrue
	case "drains":
		g.MustDrain = alwaysFalse
	case "newer":
		g.IsNewer = alwaysNewer
	default:
		return fmt.Errorf("an entry has no guard %q", c.Guard)
	}
	return runDaemon(&c.Daemon.Settings, func(log hclog.Logger, l process.Listeners) process.Daemon {
		return entry.New(c.Daemon, g, log, l)
	})
}

// runDaemon runs a daemon with the given settings until it is stopped.
func runDaemon(s *process.Settings, newDaemon func(hclog.Logger, process.Listeners) process.Daemon) error {
	l, err := s.Listen()
	if err != nil {
		return err
	}
	log := process.NewLogger(*s)
	process.Run(newDaemon(log, l), log, process.Signals{}.Defaults())
	return nil
}
