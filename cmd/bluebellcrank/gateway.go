package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/instance"
	"bluebellcrank/internal/transport/gateway"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
)

const usageGateway = `
Run the entry on the users' platform. The settings file is the platform's own;
its path stands in the environment. The first SIGTERM drains the entry, a
second one ends it.
`

// memoryShare is the part of the memory limit at which the collector works
// harder; the rest is for stacks, buffers of the kernel and what is not freed
// yet.
const memoryShare = 0.7

type gatewayCmd struct {
	platformFlags `embed:""`
	Choice        balance.Choice `default:"pace" enum:"pace,least-in-flight,two-choices,random" help:"Rule by which targets are chosen; all but the first are for comparisons."`
}

// platformFlags are what the programs on the users' platform take beside the
// platform's settings file.
type platformFlags struct {
	OperatorPort int    `name:"operator-port" default:"9464" help:"Port of metrics, health and dump; 0 is none."`
	LogLevel     string `name:"log-level" default:"info" enum:"trace,debug,info,warn,error" help:"Lowest level that is logged."`
}

// Help implements kong.HelpProvider.
func (gatewayCmd) Help() string { return usageGateway }

// platformSettings reads the settings file that the environment names.
func platformSettings() (instance.Settings, error) {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return instance.Settings{}, fmt.Errorf("%s is not set", platform.SettingsVariable)
	}
	return platform.ReadSettings(path)
}

// platformLog returns a log of JSON lines that never blocks.
func platformLog(name, level string) (hclog.Logger, *process.BoundedWriter) {
	w := process.NewBoundedWriter(os.Stdout)
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(level),
		JSONFormat: true,
		Output:     w,
	}), w
}

// collectAt is the growth of the heap, in percent, at which the collector runs.
// The heaps are small, so that running it often costs little; the runtime's own
// 100 would let each process grow to 4 MB first.
const collectAt = 25

// limitMemory keeps the process small, and below the memory at which it is
// killed.
func limitMemory(s instance.Settings) {
	debug.SetGCPercent(collectAt)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
}

func operatorListener(s instance.Settings, port int) (net.Listener, error) {
	if port == 0 {
		return nil, nil
	}
	return net.Listen("tcp", net.JoinHostPort(s.Address, fmt.Sprint(port)))
}

// Run implements the subcommand.
func (c *gatewayCmd) Run() error {
	s, err := platformSettings()
	if err != nil {
		return err
	}
	if s.TrafficListen == "" || s.ReadyListen == "" {
		return errors.New("the settings name no address for callers or for readiness")
	}
	limitMemory(s)
	var l gateway.Listeners
	if l.Ready, err = net.Listen("tcp", s.ReadyListen); err != nil {
		return err
	}
	if l.Traffic, err = net.Listen("tcp", s.TrafficListen); err != nil {
		return err
	}
	if l.Entries, err = net.Listen("tcp", net.JoinHostPort(s.Address, strconv.Itoa(s.FirstPort))); err != nil {
		return err
	}
	if l.Operator, err = operatorListener(s, c.OperatorPort); err != nil {
		return err
	}
	log, w := platformLog(s.Name, c.LogLevel)
	g := gateway.New(s, log, l, gateway.Options{ReadSettings: platformSettings, DroppedLogLines: w.Dropped, Choice: c.Choice})
	process.Run(g, log, g.Reload)
	return nil
}
