package main

import (
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/transport/agent"
	"bluebellcrank/internal/transport/process"
)

const usageAgent = `
Run the daemon beside one target. It decides which requests the target accepts
and determines whether a request ran there. The first SIGTERM starts a drain, a
second one ends the daemon at once.

Every setting can be given in a YAML file (--settings), as an environment
variable (BLUEBELLCRANK_...) or as a flag. Flags override the environment, and
the environment overrides the file.
`

type agentCmd struct {
	daemonFlags `embed:""`
	Daemon      agent.Settings `embed:""`
}

// Help implements kong.HelpProvider.
func (agentCmd) Help() string { return usageAgent }

// Run implements the subcommand.
func (c *agentCmd) Run() error {
	return c.serve(&c.Daemon, &c.Daemon.Settings, func(log hclog.Logger, listeners process.Listeners) process.Daemon {
		return agent.New(c.Daemon, agent.DefaultGuards(), log, listeners)
	})
}
