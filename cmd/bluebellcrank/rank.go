package main

import (
	"errors"
	"net"
	"strconv"

	"bluebellcrank/internal/transport/process"
	"bluebellcrank/internal/transport/rankagent"
)

const usageRank = `
Run the agent beside a model engine on the users' platform: it balances the
experts of the engine's rank group. The settings file is the platform's own;
its path stands in the environment.
`

type rankCmd struct {
	platformFlags `embed:""`
}

// Help implements kong.HelpProvider.
func (rankCmd) Help() string { return usageRank }

// Run implements the subcommand.
func (c *rankCmd) Run() error {
	s, err := platformSettings()
	if err != nil {
		return err
	}
	if s.EngineAddress == "" {
		return errors.New("the settings name no engine on this instance")
	}
	limitMemory(s)
	peers, err := net.Listen("tcp", net.JoinHostPort(s.Address, strconv.Itoa(s.FirstPort)))
	if err != nil {
		return err
	}
	operator, err := operatorListener(s, c.OperatorPort)
	if err != nil {
		return err
	}
	log, w := platformLog(s.Name, c.LogLevel)
	// None of an agent's settings changes while it runs.
	process.Run(rankagent.New(s, log, peers, operator, w.Dropped), log, func() {})
	return nil
}
