package main

import (
	"net"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

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
	File          settingsFile   `name:"settings" help:"YAML file of settings." placeholder:"FILE"`
	PrintSettings bool           `help:"Print the settings in force and stop."`
	Daemon        entry.Settings `embed:""`
}

// Help implements kong.HelpProvider.
func (entryCmd) Help() string { return usageEntry }

// Run implements the subcommand.
func (c *entryCmd) Run() error {
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
		return entry.New(*s, entry.DefaultGuards(), log, l[0], l[1], l[2])
	})
}

// runDaemon wires a daemon's parts together and serves until a signal.
func runDaemon(s process.Settings, l []net.Listener, start func(hclog.Logger, []net.Listener) process.Daemon) error {
	parts := do.New()
	do.ProvideValue(parts, s)
	do.Provide(parts, func(i do.Injector) (hclog.Logger, error) {
		return process.NewLogger(do.MustInvoke[process.Settings](i)), nil
	})
	do.Provide(parts, func(i do.Injector) (process.Daemon, error) {
		return start(do.MustInvoke[hclog.Logger](i), l), nil
	})
	process.Run(do.MustInvoke[process.Daemon](parts), do.MustInvoke[hclog.Logger](parts))
	return nil
}
