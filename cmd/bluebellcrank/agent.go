package main

import (
	"net"

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
	File          settingsFile   `name:"settings" help:"YAML file of settings." placeholder:"FILE"`
	PrintSettings bool           `help:"Print the settings in force and stop."`
	Daemon        agent.Settings `embed:""`
}

// Help implements kong.HelpProvider.
func (agentCmd) Help() string { return usageAgent }

// Run implements the subcommand.
func (c *agentCmd) Run() error {
	s := &c.Daemon
	s.Defaults()
	if err := s.Validate(); err != nil {
		return err
	}
	if c.PrintSettings {
		return printSettings(s)
	}
	l, err := listeners(s.PeerListen, s.TrafficListen, s.OperatorListen)
	if err != nil {
		return err
	}
	return runDaemon(s.Settings, l, func(log hclog.Logger, l []net.Listener) process.Daemon {
		return agent.New(*s, agent.DefaultGuards(), log, l[0], l[1], l[2])
	})
}
