package main

import (
	"errors"
	"net"
	"strconv"

	"bluebellcrank/internal/transport/process"
	"bluebellcrank/internal/transport/rankagent"
)

const usageRank = `
Run the agent beside a model engine on the users' platform. The agent balances
the experts of the engine's rank group. The platform provides the settings file
and gives its path in the environment.
`

type rankCmd struct {
	platformFlags `embed:""`
}

// Help implements kong.HelpProvider.
func (rankCmd) Help() string { return usageRank }

// Run implements the subcommand.
func (c *rankCmd) Run() error {
	settings, err := startSettings()
	if err != nil {
		return err
	}
	if settings.EngineAddress == "" {
		return errors.New("the settings contain no engine address for this instance")
	}
	limitMemory(settings)
	peers, err := net.Listen("tcp", net.JoinHostPort(settings.Address, strconv.Itoa(settings.FirstPort)))
	if err != nil {
		return err
	}
	operator, err := operatorListener(settings, c.OperatorPort)
	if err != nil {
		return err
	}
	log, logWriter := platformLog(settings.Name, c.LogLevel)
	// An agent's settings do not change while it runs, so SIGHUP does nothing.
	process.Run(rankagent.New(settings, log, peers, operator, logWriter.Dropped), log, platformSignals(func() {}))
	return nil
}
