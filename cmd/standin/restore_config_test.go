package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	api "bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/transport/operator"
)

// restoreFleet starts two agents and two entries in two data centres with a first
// revision, of which the platform has a copy. The named guard of the agents is disabled.
func restoreFleet(t *testing.T, agentGuard string) (f *fleet, folder string) {
	f = testFleet(t)
	f.disabledAgentGuard = agentGuard
	for n, centre := range []string{"east", "west"} {
		must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", centre), f.addEntry(fmt.Sprintf("entry-%d", n+1), centre))
	}
	must(t, f.publishInstances())
	folder = push(t, f, map[string]string{"10.yaml": testConfig})
	must(t, f.waitReady("entry-1", "bells"), copyStore(f))
	return f, folder
}

// pushUnannounced pushes a folder and tells no process of it. It returns the revision.
func pushUnannounced(t *testing.T, f *fleet, folder string) int64 {
	t.Helper()
	result, err := operator.Push(api.NewClient("http://"+f.platformAddress, time.Second), folder)
	must(t, err)
	return result.Head().Revision
}

func writeRegion(t *testing.T, folder, file, region string) {
	t.Helper()
	must(t, os.WriteFile(filepath.Join(folder, file), fmt.Appendf(nil, "data-centres: {%s: {region: %s}}\n", region, region), 0o644))
}

// awaitRevision waits until all processes hold at least a revision, at most for
// maxPropagationDelay, and returns those that do not.
func awaitRevision(t *testing.T, f *fleet, revision int64) []string {
	t.Helper()
	since := time.Now()
	for time.Since(since) < maxPropagationDelay {
		if len(processesBehind(f, revision)) == 0 {
			t.Logf("revision %d held by all after %s", revision, time.Since(since).Round(time.Millisecond))
			return nil
		}
		time.Sleep(pollInterval)
	}
	return processesBehind(f, revision)
}

// TestWatchMissesNoChangeAfterARestore checks that a change after a restore, whose
// version was given out before it to another one, is in force in time.
func TestWatchMissesNoChangeAfterARestore(t *testing.T) {
	for _, tt := range []restoreOptions{{EndWatches: true}, {EndWatches: false}} {
		t.Run(fmt.Sprintf("watches end: %t", tt.EndWatches), func(t *testing.T) {
			c := qt.New(t)
			f, first := restoreFleet(t, "")
			second := copyFolder(t, f, "second")
			const versions = 50
			for n := range versions {
				callStore(f, "PUT", fmt.Sprintf("/objects/other/%d", n), "", "If-None-Match", "*")
			}
			writeRegion(t, first, "20.yaml", "north")
			c.Assert(awaitRevision(t, f, pushUnannounced(t, f, first)), qt.HasLen, 0)
			must(t, restoreStore(f, tt))
			var revision int64
			for n := range 2 {
				writeRegion(t, second, "30.yaml", fmt.Sprintf("south-%d", n))
				revision = pushUnannounced(t, f, second)
			}
			c.Check(awaitRevision(t, f, revision), qt.HasLen, 0)
		})
	}
}
