package main

import (
	"fmt"
	"os"
)

type demoCmd struct {
	Binary string `required:"" help:"Path of the bluebellcrank executable."`
	Folder string `required:"" help:"Folder of configuration to push."`
}

// Run implements the subcommand.
func (c *demoCmd) Run() (err error) {
	dir, err := os.MkdirTemp("", "bluebellcrank-demo")
	if err != nil {
		return err
	}
	// The directory, which holds the logs, is kept after a failure.
	defer func() {
		if err == nil {
			_ = os.RemoveAll(dir)
		}
	}()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	f, err := newFleet(dir, c.Binary, self)
	if err != nil {
		return err
	}
	defer f.killAll()
	if err = c.startInstances(f); err != nil {
		return err
	}
	folder := dir + "/folder"
	if err = os.CopyFS(folder, os.DirFS(c.Folder)); err != nil {
		return err
	}
	if err = runAndPrint(f, "push", folder, "--wait"); err != nil {
		return err
	}
	if err = f.waitReady("entry-1", "advisor", "bells"); err != nil {
		return err
	}
	if err = c.sendRequests(f); err != nil {
		return err
	}
	if err = runAndPrint(f, "status"); err != nil {
		return err
	}
	return c.stopDaemons(f)
}

// startInstances starts three engines of the service advisor, two targets of the
// plain service bells and two entries, spread over two data centres, and publishes
// the instance list.
func (c *demoCmd) startInstances(f *fleet) error {
	for n, centre := range []string{"finistere", "morbihan", "finistere"} {
		if err := f.addTarget(fmt.Sprintf("advisor-%d", n+1), "advisor", centre, "--engine", "--token=20ms"); err != nil {
			return err
		}
	}
	for n, centre := range []string{"finistere", "morbihan"} {
		if err := f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", centre); err != nil {
			return err
		}
	}
	for n, centre := range []string{"finistere", "morbihan"} {
		if err := f.addEntry(fmt.Sprintf("entry-%d", n+1), centre); err != nil {
			return err
		}
	}
	return f.publishInstances()
}

// sendRequests sends one streamed completion, and one non-idempotent request
// through each entry under the same idempotency key. It fails unless the completion
// succeeds and the non-idempotent request runs exactly once.
func (c *demoCmd) sendRequests(f *fleet) error {
	completion, err := f.send("entry-1", "POST", "/advisor/v1/chat/completions", `{"token":"escapement","max_tokens":6,"stream":true}`, nil)
	if err != nil {
		return err
	}
	fmt.Printf("\nstreamed completion (status %d):\n%s", completion.status, completion.body)
	key := map[string]string{"Idempotency-Key": "angelus-plouguerneau"}
	for _, entry := range []string{"entry-1", "entry-2"} {
		ring, err := f.send(entry, "POST", "/bells/ring", `{"token":"angelus"}`, key)
		if err != nil {
			return err
		}
		fmt.Printf("\nnon-idempotent request through %s (status %d): %s", entry, ring.status, ring.body)
	}
	ringCount := 0
	for _, id := range []string{"bells-1", "bells-2"} {
		for _, r := range f.readRunLog(id) {
			if r.Path == "/ring" {
				ringCount++
				fmt.Printf("the non-idempotent request ran at %s as attempt %s\n", id, r.ID)
			}
		}
	}
	if completion.status != 200 || ringCount != 1 {
		return fmt.Errorf("completion: status %d, want 200; non-idempotent request: %d runs, want 1", completion.status, ringCount)
	}
	return nil
}

// stopDaemons stops agents and entries gracefully, the last one started first.
func (c *demoCmd) stopDaemons(f *fleet) error {
	for n := len(f.procs) - 1; n >= 0; n-- {
		p := f.procs[n]
		if p.cmd.Path == c.Binary && !p.stop() {
			return fmt.Errorf("%s did not stop in time and was killed", p.name)
		}
	}
	fmt.Println("all daemons stopped gracefully")
	return nil
}

// runAndPrint runs an operator command and prints its output.
func runAndPrint(f *fleet, args ...string) error {
	out, err := f.runOperatorCommand(args...)
	fmt.Printf("\n$ bluebellcrank %s\n%s", args[0], out)
	return err
}
