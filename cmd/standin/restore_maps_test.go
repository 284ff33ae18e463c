package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// leaseHolder returns the agent that the group's lease names.
func leaseHolder(f *fleet) string {
	body := callStore(f, "GET", "/objects/groups/flags/lease", "").body
	for _, i := range f.instances {
		if strings.Contains(body, `"`+i.ID+`"`) {
			return i.ID
		}
	}
	return ""
}

// TestExpertMapsChangeAfterARestore lets the platform lose a lease and the map in force,
// and checks that coordinators change the map again, and all ranks use the same one.
func TestExpertMapsChangeAfterARestore(t *testing.T) {
	const (
		versions = 500
		// maxStandstill is several periods of the lease.
		maxStandstill = 15 * time.Second
	)
	for _, isHolderKilled := range []bool{false, true} {
		t.Run(fmt.Sprintf("holder killed: %t", isHolderKilled), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := groupFleet(t)
			mapCount := func() int {
				_, maps, _ := readStepLog(f, "flags")
				return len(maps)
			}
			awaitChange := func(from int) bool {
				since := time.Now()
				for mapCount() <= from && time.Since(since) < maxStandstill {
					time.Sleep(pollInterval)
				}
				t.Logf("%d maps after %s", mapCount()-from, time.Since(since).Round(10*time.Millisecond))
				return mapCount() > from
			}
			must(t, copyStore(f))
			for n := range versions {
				callStore(f, "PUT", fmt.Sprintf("/objects/other/%d", n), "", "If-None-Match", "*")
			}
			before := leaseHolder(f)
			f.proc(before).kill()
			must(t, waitFor(func() bool { return leaseHolder(f) != before }, "another agent holds the lease"))
			must(t, f.startRank(f.instance(before), groupRankCount, decideIntervalFlag, leasePeriodFlag))
			c.Assert(awaitChange(mapCount()), qt.IsTrue)
			if isHolderKilled {
				holder := leaseHolder(f)
				f.proc(holder).kill()
				must(t, f.startRank(f.instance(holder), groupRankCount, decideIntervalFlag, leasePeriodFlag))
			}
			must(t, restoreStore(f, restoreOptions{EndWatches: true}))
			// A change that the former holder has begun may still end.
			time.Sleep(pausePeriod)
			c.Check(awaitChange(mapCount()), qt.IsTrue)
			_, _, mismatches := readStepLog(f, "flags")
			c.Check(mismatches, qt.HasLen, 0)
		})
	}
}
