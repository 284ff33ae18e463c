package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/coordination/hedge"
	"bluebellcrank/internal/state/instance"
	"bluebellcrank/internal/transport/gateway"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
)

const usageGateway = `
Run the entry on the users' platform. The platform provides the settings file
and gives its path in the environment. SIGTERM starts a drain, which lasts at most the
platform's grace period; SIGINT during the drain ends the entry at once.
`

// memoryLimitShare is the share of the instance's memory limit that the Go runtime
// gets as its soft limit, near which it collects garbage more often. The rest is
// left for stacks, kernel buffers and memory that is not freed yet.
const memoryLimitShare = 0.7

type gatewayCmd struct {
	platformFlags `embed:""`
	Choice        balance.Choice `default:"pace" enum:"pace,least-in-flight,two-choices,random" help:"Rule by which targets are chosen; all but pace are for comparisons only."`
	HedgeShare    float64        `name:"hedge-share" default:"0" help:"Second requests for slow answers, as a share of the first attempts of a service in any minute, from 0 (none) to 0.2."`
}

// platformFlags are the flags that the programs on the users' platform share, in
// addition to the platform's settings file.
type platformFlags struct {
	OperatorPort int    `name:"operator-port" default:"9464" help:"Port for metrics, health checks and dumps; 0 disables it."`
	LogLevel     string `name:"log-level" default:"info" enum:"trace,debug,info,warn,error" help:"Lowest level that is logged."`
}

// Help implements kong.HelpProvider.
func (gatewayCmd) Help() string { return usageGateway }

// startSettings is platformSettings for a process that starts. Until process.Run reloads
// the settings at SIGHUP, that signal is ignored: by default it ends the process.
func startSettings() (instance.Settings, error) {
	signal.Ignore(syscall.SIGHUP)
	return platformSettings()
}

// platformSettings reads the settings file whose path is in the environment
// variable platform.SettingsVariable.
func platformSettings() (instance.Settings, error) {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return instance.Settings{}, fmt.Errorf("%s is not set", platform.SettingsVariable)
	}
	return platform.ReadSettings(path)
}

// platformLog returns a logger that writes JSON lines to standard output without
// blocking, and its writer, which counts the lines that it dropped.
func platformLog(name, level string) (hclog.Logger, *process.BoundedWriter) {
	writer := process.NewBoundedWriter(os.Stdout)
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(level),
		JSONFormat: true,
		Output:     writer,
	}), writer
}

// gcPercent is the heap growth, in percent, that starts a garbage collection. The
// heaps are small, so frequent collections cost little; with the runtime's default
// of 100 each heap would grow to 4 MB before the first collection.
const gcPercent = 25

// limitMemory sets the garbage collector's parameters so that the heap stays small
// and, if the instance has a memory limit, the process stays below it. A process
// that exceeds the limit is killed.
func limitMemory(settings instance.Settings) {
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB) * (1 << 20)))
	}
}

// platformSignals returns what signals do to the programs on the users' platform. The
// platform may send SIGTERM again, and SIGKILL once the grace period is over.
func platformSignals(reload func()) process.Signals {
	return process.Signals{Reload: reload, Abort: []os.Signal{syscall.SIGINT}}
}

// operatorListener listens on the instance's address for operators. It returns nil
// if the port is 0.
func operatorListener(settings instance.Settings, port int) (net.Listener, error) {
	if port == 0 {
		return nil, nil
	}
	return net.Listen("tcp", net.JoinHostPort(settings.Address, fmt.Sprint(port)))
}

// Validate checks the flags that their types do not. kong calls it after parsing.
func (c *gatewayCmd) Validate() error {
	if err := hedge.CheckShare(c.HedgeShare); err != nil {
		return fmt.Errorf("--hedge-share: %w", err)
	}
	return nil
}

// Run implements the subcommand.
func (c *gatewayCmd) Run() error {
	settings, err := startSettings()
	if err != nil {
		return err
	}
	if settings.TrafficListen == "" || settings.ReadyListen == "" {
		return errors.New("the settings contain no listen address for callers or for readiness checks")
	}
	limitMemory(settings)
	var listeners gateway.Listeners
	if listeners.Ready, err = net.Listen("tcp", settings.ReadyListen); err != nil {
		return err
	}
	if listeners.Traffic, err = net.Listen("tcp", settings.TrafficListen); err != nil {
		return err
	}
	if listeners.Entries, err = net.Listen("tcp", net.JoinHostPort(settings.Address, strconv.Itoa(settings.FirstPort))); err != nil {
		return err
	}
	if listeners.Operator, err = operatorListener(settings, c.OperatorPort); err != nil {
		return err
	}
	log, logWriter := platformLog(settings.Name, c.LogLevel)
	daemon := gateway.New(settings, log, listeners, gateway.Options{ReadSettings: platformSettings, DroppedLogLines: logWriter.Dropped, Choice: c.Choice, HedgeShare: c.HedgeShare})
	process.Run(daemon, log, platformSignals(daemon.Reload))
	return nil
}
