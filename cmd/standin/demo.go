package main

import (
	"fmt"
	"os"
)

type demoCmd struct {
	Binary string `required:"" help:"The bluebellcrank program."`
	Folder string `required:"" help:"Folder of configuration to push."`
}

// Run implements the subcommand.
func (c *demoCmd) Run() (err error) {
	dir, err := os.MkdirTemp("", "bluebellcrank-demo")
	if err != nil {
		return err
	}
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
	defer f.close()
	if err = c.populate(f); err != nil {
		return err
	}
	folder := dir + "/folder"
	if err = os.CopyFS(folder, os.DirFS(c.Folder)); err != nil {
		return err
	}
	if err = show(f, "push", folder, "--wait"); err != nil {
		return err
	}
	if err = f.ready("entry-1", "advisor", "bells"); err != nil {
		return err
	}
	if err = c.call(f); err != nil {
		return err
	}
	if err = show(f, "status"); err != nil {
		return err
	}
	return c.stop(f)
}

// populate starts two data centres: three engines, two bell controls, two
// entries.
func (c *demoCmd) populate(f *fleet) error {
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
	return f.publish()
}

// call sends a streamed draft and a ringing order, the order twice.
func (c *demoCmd) call(f *fleet) error {
	draft, err := f.send("entry-1", "POST", "/advisor/v1/chat/completions", `{"token":"escapement","max_tokens":6,"stream":true}`, nil)
	if err != nil {
		return err
	}
	fmt.Printf("\nadvice, streamed (status %d):\n%s", draft.status, draft.body)
	key := map[string]string{"Idempotency-Key": "angelus-plouguerneau"}
	for _, entry := range []string{"entry-1", "entry-2"} {
		order, err := f.send(entry, "POST", "/bells/ring", `{"token":"angelus"}`, key)
		if err != nil {
			return err
		}
		fmt.Printf("\nringing order through %s (status %d): %s", entry, order.status, order.body)
	}
	rang := 0
	for _, id := range []string{"bells-1", "bells-2"} {
		for _, r := range f.runs(id) {
			if r.Path == "/ring" {
				rang++
				fmt.Printf("the bell rang once at %s, as %s\n", id, r.ID)
			}
		}
	}
	if draft.status != 200 || rang != 1 {
		return fmt.Errorf("draft status %d, bell rang %d times", draft.status, rang)
	}
	return nil
}

// stop ends everything gracefully.
func (c *demoCmd) stop(f *fleet) error {
	for n := len(f.procs) - 1; n >= 0; n-- {
		p := f.procs[n]
		if p.cmd.Path == c.Binary && !p.stop() {
			return fmt.Errorf("%s did not stop", p.name)
		}
	}
	fmt.Println("all processes stopped gracefully")
	return nil
}

func show(f *fleet, args ...string) error {
	out, err := f.operator(args...)
	fmt.Printf("\n$ bluebellcrank %s\n%s", args[0], out)
	return err
}
