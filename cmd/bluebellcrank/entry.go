package main

import (
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/transport/entry"
	"bluebellcrank/internal/transport/process"
)

const usageEntry = `
Run the daemon between callers and targets. It keeps nothing and can be
killed at any time; the first SIGTERM drains it, a second one ends it.

Every setting can stand in a YAML file (--settings), in the environment
(BLUEBELLCRANK_...) or on the command line, the later going first.
`

type entryCmd struct {
	daemonFlags `embed:""`
	Daemon      entry.Settings `embed:""`
}

// Help implements kong.HelpProvider.
func (entryCmd) Help() string { return usageEntry }

// Run implements the subcommand.
func (c *entryCmd) Run() error {
	return c.serve(&c.Daemon, &c.Daemon.Settings, func(log hclog.Logger, l process.Listeners) process.Daemon {
		return entry.New(c.Daemon, entry.DefaultGuards(), log, l)
	})
}
