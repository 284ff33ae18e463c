package main

import (
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/transport/agent"
	"bluebellcrank/internal/transport/process"
)

const usageAgent = `
Run the daemon beside one target. It decides whether the target takes a
request and whether a request ran; the first SIGTERM drains it, a second one
ends it.

Every setting can stand in a YAML file (--settings), in the environment
(BLUEBELLCRANK_...) or on the command line, the later going first.
`

type agentCmd struct {
	daemonFlags `embed:""`
	Daemon      agent.Settings `embed:""`
}

// Help implements kong.HelpProvider.
func (agentCmd) Help() string { return usageAgent }

// Run implements the subcommand.
func (c *agentCmd) Run() error {
	return c.serve(&c.Daemon, &c.Daemon.Settings, func(log hclog.Logger, l process.Listeners) process.Daemon {
		return agent.New(c.Daemon, agent.DefaultGuards(), log, l)
	})
}
