// Command bluebellcrank is a load balancer for expert-parallel model groups
// and the plain services beside them.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"bluebellcrank/internal/protocol/platform"
)

// The exit codes of every subcommand.
const (
	exitFault   = 1
	exitUsage   = 2
	exitUnknown = 3
	exitBehind  = 4
)

// exitError ends the program with a code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// commands are the subcommands, one file each.
type commands struct {
	Entry    entryCmd    `cmd:"" help:"Run the daemon between callers and targets."`
	Agent    agentCmd    `cmd:"" help:"Run the daemon beside one target."`
	Gateway  gatewayCmd  `cmd:"" help:"Run the entry on the users' platform."`
	Rank     rankCmd     `cmd:"" help:"Run the agent beside a model engine on the users' platform."`
	Check    checkCmd    `cmd:"" help:"Check a folder of configuration."`
	Push     pushCmd     `cmd:"" help:"Make a folder the configuration in force."`
	Pull     pullCmd     `cmd:"" help:"Write the configuration in force into a folder."`
	Status   statusCmd   `cmd:"" help:"Show every process, its revision and its target."`
	Refusals refusalsCmd `cmd:"" help:"List who was turned away, and why."`
	Explain  explainCmd  `cmd:"" help:"Explain one refusal."`
	Dump     dumpCmd     `cmd:"" help:"Print the state of one process."`
	Forecast forecastCmd `cmd:"" help:"Play a folder in virtual time."`
	Key      keyCmd      `cmd:"" help:"Print the digest of an API key read from standard input."`
}

// access is how operators' commands reach the platform.
type access struct {
	Platform string        `default:"http://127.0.0.1:7000" env:"BLUEBELLCRANK_PLATFORM" help:"Base address of the platform's object API."`
	Timeout  time.Duration `default:"2s" env:"BLUEBELLCRANK_TIMEOUT" help:"How long one call may take."`
}

func (a access) client() *platform.Client { return platform.NewClient(a.Platform, a.Timeout) }

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var c commands
	parser, err := kong.New(&c,
		kong.Name("bluebellcrank"),
		kong.Description("A load balancer for expert-parallel model groups and plain services."),
		kong.DefaultEnvars("BLUEBELLCRANK"),
		kong.UsageOnError(),
	)
	if err != nil {
		panic(err)
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bluebellcrank:", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		var e *exitError
		if errors.As(err, &e) {
			return e.code
		}
		return exitFault
	}
	return 0
}
