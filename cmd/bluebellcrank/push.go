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
update. Files that only other operators have changed since the last pull or push
keep the others' changes; if a file was changed on both sides, the push is
refused and nothing changes.

With --wait, wait until every process holds the revision, print how many do, and
list the others.

Exit codes: 0 accepted (with --wait: and held by every process), 1 refused,
3 unknown whether it was accepted, because the platform did not report it,
4 accepted, but not yet held by every process, or it is not known which hold it.
`

type pushCmd struct {
	clientFlags `embed:""`
	Folder      string        `arg:"" type:"existingdir" help:"Folder of .yaml files."`
	Wait        bool          `help:"Wait until every process holds the revision."`
	WaitFor     time.Duration `default:"10s" help:"How long --wait waits."`
}

// processCallTimeout is the timeout of one call to a process.
const processCallTimeout = time.Second

// fileServePeriod is how long a push without --wait serves the new files to the
// processes before it ends.
const fileServePeriod = time.Second

// Help implements kong.HelpProvider.
func (pushCmd) Help() string { return usagePush }

// Run implements the subcommand.
func (c *pushCmd) Run() error {
	client := c.client()
	fleet, fleetErr := operator.NewFleet(client, processCallTimeout)
	pushed, err := operator.Push(client, c.Folder)
	if errors.Is(err, operator.ErrOutcomeUnknown) || errors.Is(err, platform.ErrUnavailable) {
		return &exitError{code: exitOutcomeUnknown, err: err}
	}
	if err != nil {
		return err
	}
	fmt.Println(pushed.Describe())
	if fleetErr != nil {
		err := fmt.Errorf("cannot read the instance list; processes learn of the revision from the platform: %w", fleetErr)
		if c.Wait {
			return &exitError{code: exitIncomplete, err: err}
		}
		fmt.Fprintln(os.Stderr, err)
		return nil
	}
	defer fleet.Close()
	stopServing, err := c.announce(fleet, pushed)
	if err != nil {
		return err
	}
	defer stopServing()
	if !c.Wait {
		time.Sleep(fileServePeriod)
		return nil
	}
	return c.reportProcesses(fleet, pushed.Head().Revision)
}

// announce offers the new revision to some processes of each data centre and
// serves its files to them until stopServing is called.
func (c *pushCmd) announce(fleet *operator.Fleet, pushed operator.PushResult) (stopServing func(), err error) {
	files, err := config.ReadFolder(c.Folder)
	if err != nil {
		return nil, err
	}
	return fleet.AnnounceHead(pushed.Head(), files)
}

// reportProcesses waits for up to WaitFor until every process holds the revision.
// It prints how many do and lists the others; if there are any, it returns an error
// with the code exitIncomplete.
func (c *pushCmd) reportProcesses(fleet *operator.Fleet, revision int64) error {
	behind := fleet.WaitForRevision(revision, c.WaitFor, time.Now)
	fmt.Printf("%d of %d processes hold revision %d\n", fleet.Len()-len(behind), fleet.Len(), revision)
	for _, reply := range behind {
		if reply.Err() != nil {
			fmt.Printf("  %s does not respond: %v\n", reply.Instance().ID, reply.Err())
			continue
		}
		fmt.Printf("  %s holds revision %d\n", reply.Instance().ID, reply.Status().Revision)
	}
	if len(behind) > 0 {
		return &exitError{code: exitIncomplete, err: fmt.Errorf("%d processes do not hold revision %d", len(behind), revision)}
	}
	return nil
}
