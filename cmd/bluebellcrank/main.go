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

// Exit codes of all subcommands. exitOutcomeUnknown means that the platform did not
// report whether it accepted a change; exitIncomplete means that some processes did
// not respond or do not hold the pushed revision.
const (
	exitFailure        = 1
	exitUsage          = 2
	exitOutcomeUnknown = 3
	exitIncomplete     = 4
)

// exitError is an error that ends the program with an exit code other than
// exitFailure.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// commands are the subcommands; each is implemented in a file of its own.
type commands struct {
	Entry    entryCmd    `cmd:"" help:"Run the daemon between callers and targets."`
	Agent    agentCmd    `cmd:"" help:"Run the daemon beside one target."`
	Gateway  gatewayCmd  `cmd:"" help:"Run the entry on the users' platform."`
	Rank     rankCmd     `cmd:"" help:"Run the agent beside a model engine on the users' platform."`
	Check    checkCmd    `cmd:"" help:"Check a folder of configuration."`
	Config   configCmd   `cmd:"" help:"Check a configuration and compare it with another version."`
	Push     pushCmd     `cmd:"" help:"Make a folder the configuration in force."`
	Pull     pullCmd     `cmd:"" help:"Write the configuration in force into a folder."`
	Status   statusCmd   `cmd:"" help:"Show every process, its revision and its target."`
	Refusals refusalsCmd `cmd:"" help:"List refused requests and the reasons."`
	Explain  explainCmd  `cmd:"" help:"Explain one refusal."`
	Dump     dumpCmd     `cmd:"" help:"Print the state of one process."`
	Forecast forecastCmd `cmd:"" help:"Simulate a folder's engine services in virtual time."`
	Key      keyCmd      `cmd:"" help:"Print the digest of an API key read from standard input."`
}

// clientFlags are the flags by which operators' commands reach the platform.
type clientFlags struct {
	Platform string        `default:"http://127.0.0.1:7000" env:"BLUEBELLCRANK_PLATFORM" help:"Base address of the platform's object API."`
	Timeout  time.Duration `default:"2s" env:"BLUEBELLCRANK_TIMEOUT" help:"How long one call may take."`
}

func (f clientFlags) client() *platform.Client { return platform.NewClient(f.Platform, f.Timeout) }

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes one command line, without the program's name, and returns the exit
// code.
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
		return exitFailure
	}
	return 0
}
