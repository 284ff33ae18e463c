// Command standin simulates the systems around bluebellcrank for demos and
// tests: the platform, targets, rank groups, and a network path on which faults
// can be injected.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type commands struct {
	Platform  platformCmd  `cmd:"" help:"Serve the object API and the instance list."`
	Target    targetCmd    `cmd:"" help:"Run a model engine or a plain service."`
	Rankgroup rankGroupCmd `cmd:"" help:"Run all ranks of a group in lock-step."`
	Relay     relayCmd     `cmd:"" help:"Forward TCP connections that can be cut or silenced."`
	Twin      twinCmd      `cmd:"" help:"Run a daemon with one guard disabled."`
	Demo      demoCmd      `cmd:"" help:"Start a small fleet, send requests through it and stop it."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("standin"))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
