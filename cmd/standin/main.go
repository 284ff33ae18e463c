// Command standin plays the systems around bluebellcrank in demos and tests:
// the platform, targets, and a network path that fails.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type commands struct {
	Platform  platformCmd  `cmd:"" help:"Object API and instance list."`
	Target    targetCmd    `cmd:"" help:"A model engine or a plain service."`
	Rankgroup rankGroupCmd `cmd:"" help:"All ranks of a group, in lock-step."`
	Relay     relayCmd     `cmd:"" help:"A TCP path that can be cut or go silent."`
	Twin      twinCmd      `cmd:"" help:"A daemon with one guard switched off."`
	Demo      demoCmd      `cmd:"" help:"Start a small fleet, send two requests, stop it."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("standin"))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
