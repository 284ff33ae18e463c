package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/transport/operator"
)

const usagePush = `
Check a folder and make it the configuration in force, by one conditional
update. Files that other operators changed meanwhile are taken over; a file
that was changed on both sides is refused, and nothing is pushed.

With --wait, say how many processes hold the revision and name the others.

Exit codes: 0 accepted (and held everywhere, with --wait), 1 refused,
3 the platform did not say whether it was accepted, 4 accepted, but not yet
held everywhere.
`

type pushCmd struct {
	access  `embed:""`
	Folder  string        `arg:"" type:"existingdir" help:"Folder of .yaml files."`
	Wait    bool          `help:"Wait until every process holds the revision."`
	WaitFor time.Duration `default:"10s" help:"How long to wait."`
}

// tellTimeout bounds one call to a process.
const tellTimeout = time.Second

// serveFor is how long a push goes on serving its files to the processes.
const serveFor = time.Second

// Help implements kong.HelpProvider.
func (pushCmd) Help() string { return usagePush }

// Run implements the subcommand.
func (c *pushCmd) Run() error {
	client := c.client()
	fleet, fleetErr := operator.NewFleet(client, tellTimeout)
	p, err := operator.Push(client, c.Folder)
	if errors.Is(err, operator.ErrOutcomeUnknown) || errors.Is(err, platform.ErrUnavailable) {
		return &exitError{code: exitUnknown, err: err}
	}
	if err != nil {
		return err
	}
	fmt.Println(p.Describe())
	if fleetErr != nil {
		fmt.Fprintln(os.Stderr, "the instance list is not there; processes hear from the platform:", fleetErr)
		return nil
	}
	defer fleet.Close()
	stop, err := c.tell(fleet, p)
	if err != nil {
		return err
	}
	defer stop()
	if !c.Wait {
		time.Sleep(serveFor)
		return nil
	}
	return c.report(fleet, p.Head().Revision)
}

func (c *pushCmd) tell(fleet *operator.Fleet, p operator.PushResult) (stop func(), err error) {
	files, err := config.ReadFolder(c.Folder)
	if err != nil {
		return nil, err
	}
	return fleet.AnnounceHead(p.Head(), files)
}

func (c *pushCmd) report(fleet *operator.Fleet, revision int64) error {
	behind := fleet.WaitForRevision(revision, c.WaitFor, time.Now)
	fmt.Printf("%d of %d processes hold revision %d\n", fleet.Len()-len(behind), fleet.Len(), revision)
	for _, r := range behind {
		if r.Err() != nil {
			fmt.Printf("  %s does not answer: %v\n", r.Instance().ID, r.Err())
			continue
		}
		fmt.Printf("  %s holds revision %d\n", r.Instance().ID, r.Status().Revision)
	}
	if len(behind) > 0 {
		return &exitError{code: exitBehind, err: fmt.Errorf("%d processes do not hold revision %d", len(behind), revision)}
	}
	return nil
}
