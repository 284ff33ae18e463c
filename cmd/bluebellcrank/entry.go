package main

import (
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/transport/entry"
	"bluebellcrank/internal/transport/process"
)

const usageEntry = `
Run the daemon between callers and targets. It keeps no state on disk and can be
killed at any time. The first SIGTERM starts a drain, a second one ends the
daemon at once.

Every setting can be given in a YAML file (--settings), as an environment
variable (BLUEBELLCRANK_...) or as a flag. Flags override the environment, and
the environment overrides the file.
`

type entryCmd struct {
	daemonFlags `embed:""`
	Daemon      entry.Settings `embed:""`
}

// Help implements kong.HelpProvider.
func (entryCmd) Help() string { return usageEntry }

// Run implements the subcommand.
func (c *entryCmd) Run() error {
	return c.serve(&c.Daemon, &c.Daemon.Settings, func(log hclog.Logger, listeners process.Listeners) process.Daemon {
		return entry.New(c.Daemon, entry.DefaultGuards(), log, listeners)
	})
}
