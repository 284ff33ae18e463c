package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bluebellcrank/internal/state/fleet"
)

// bell returns a target of the service "bells" in the data centre "east".
func bell(id string, startedAtMs int64) fleet.Target {
	return fleet.Target{ID: id, Service: "bells", DataCentre: "east", StartedAtMs: startedAtMs}
}

func leaving(t fleet.Target) fleet.Target {
	t.Leaving = true
	return t
}

// usable returns the IDs of the targets of "bells" that get requests, sorted.
func usable(f *Fleet, now time.Time) string {
	var ids []string
	for _, s := range f.Targets(now) {
		if f.members[s.ID].isUsable(f.dataCentresOut) {
			ids = append(ids, s.ID)
		}
	}
	return strings.Join(ids, " ")
}

// restoreStep is one call of a play, and the usable targets after it.
type restoreStep struct {
	atMs int
	do   func(f *Fleet, now time.Time)
	want string
}

func merge(list ...fleet.Target) func(*Fleet, time.Time) {
	return func(f *Fleet, now time.Time) { f.Merge(list, now) }
}

func replace(list ...fleet.Target) func(*Fleet, time.Time) {
	return func(f *Fleet, now time.Time) { f.Replace(list, now) }
}

func change(t fleet.Target) func(*Fleet, time.Time) {
	return func(f *Fleet, now time.Time) { f.ApplyChanges([]fleet.Change{{ID: t.ID, Target: &t}}, now) }
}

func removal(id string) func(*Fleet, time.Time) {
	return func(f *Fleet, now time.Time) { f.ApplyChanges([]fleet.Change{{ID: id}}, now) }
}

func mergeOut(names ...string) func(*Fleet, time.Time) {
	return func(f *Fleet, now time.Time) { f.MergeDataCentresOut(outOfService(names), now) }
}

func setOut(names ...string) func(*Fleet, time.Time) {
	return func(f *Fleet, now time.Time) { f.SetDataCentresOut(outOfService(names), now) }
}

// outOfService returns the state of data centres; a name with "-" before it is in service.
func outOfService(names []string) map[string]bool {
	out := map[string]bool{}
	for _, name := range names {
		out[strings.TrimPrefix(name, "-")] = !strings.HasPrefix(name, "-")
	}
	return out
}

// restorePlay is what an entry reads of a store that is restored at second 10.
type restorePlay struct {
	name  string
	steps []restoreStep
}

func playRestores(t *testing.T, plays []restorePlay) {
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) {
			f := NewFleet(rand.New(rand.NewPCG(1, 2)))
			for _, step := range p.steps {
				now := start.Add(time.Duration(step.atMs) * time.Millisecond)
				step.do(f, now)
				qt.Check(t, usable(f, now), qt.Equals, step.want, qt.Commentf("at %d ms", step.atMs))
			}
		})
	}
}

var bellA, bellB = bell("a", 100), bell("b", 100)

// TestLeavingTargetsStayLeavingAfterARestore plays a store that lists targets as serving
// that were known to be leaving.
func TestLeavingTargetsStayLeavingAfterARestore(t *testing.T) {
	playRestores(t, []restorePlay{
		{"a target that leaves is listed as serving, and writes again", []restoreStep{
			{0, replace(bellA, leaving(bellB)), "a"},
			{10000, merge(bellA, bellB), "a"},
			{11000, change(leaving(bellB)), "a"},
			{12000, replace(bellA, leaving(bellB)), "a"},
			{14000, replace(bellA, leaving(bellB)), "a"},
		}},
		{"a target that leaves is written again as it was at first", []restoreStep{
			{0, replace(bellA, leaving(bellB)), "a"},
			{10000, merge(bellA, bellB), "a"},
			{10500, change(bellB), "a"},
			{11000, change(leaving(bellB)), "a"},
		}},
		{"a target that leaves has exited before it wrote again", []restoreStep{
			{0, replace(bellA, leaving(bellB)), "a"},
			{10000, merge(bellA, bellB), "a"},
			{12000, replace(bellA, bellB), "a"},
			{13600, removal("b"), "a"},
			{14000, replace(bellA), "a"},
		}},
		{"a target that left is listed as serving for good", []restoreStep{
			{0, replace(bellA, leaving(bellB)), "a"},
			{10000, merge(bellA, bellB), "a"},
			{12000, replace(bellA, bellB), "a"},
			{14000, replace(bellA, bellB), "a b"},
		}},
		{"a target is leaving by the copy only", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{10000, merge(bellA, leaving(bellB)), "a"},
		}},
		{"a target that left and was removed is written again as serving", []restoreStep{
			{0, replace(bellA, leaving(bellB)), "a"},
			{9000, removal("b"), "a"},
			{10000, merge(bellA), "a"},
			{11000, change(bellB), "a"},
			{12000, replace(bellA, bellB), "a"},
			{14000, replace(bellA, bellB), "a b"},
		}},
		{"an entry starts with a copy", []restoreStep{
			{10000, merge(bellA, leaving(bellB)), "a"},
			{11000, change(bellB), "a"},
			{14000, replace(bellA, bellB), "a b"},
		}},
	})
}

// TestRemovedTargetsStayRemovedAfterARestore plays a store that lists targets that were
// removed.
func TestRemovedTargetsStayRemovedAfterARestore(t *testing.T) {
	playRestores(t, []restorePlay{
		{"a target that was removed is listed until the store drops it", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{9000, removal("b"), "a"},
			{10000, merge(bellA, bellB), "a"},
			{12000, replace(bellA, bellB), "a"},
			{13600, removal("b"), "a"},
			{14000, replace(bellA), "a"},
		}},
		{"a target that was removed is listed for good", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{9000, replace(bellA), "a"},
			{10000, merge(bellA, bellB), "a"},
			{12000, replace(bellA, bellB), "a"},
			{14000, replace(bellA, bellB), "a b"},
		}},
		{"a target that was removed is listed for good, and only another one changes", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{9000, removal("b"), "a"},
			{10000, merge(bellA, bellB), "a"},
			{13900, change(bellA), "a"},
			{14000, change(bellA), "a b"},
		}},
		{"a target that was removed writes again", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{9000, removal("b"), "a"},
			{10000, merge(bellA), "a"},
			{11000, change(bellB), "a b"},
			{12000, replace(bellA, bellB), "a b"},
		}},
		{"a removed target has started again before the list", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{9000, removal("b"), "a"},
			{10000, merge(bellA, bell("b", 200)), "a b"},
		}},
	})
}

// TestMissingTargetsStayUntilTheyWriteAgain plays a store that lacks targets that are in
// use.
func TestMissingTargetsStayUntilTheyWriteAgain(t *testing.T) {
	cold, older, broken := bellB, bellB, bellB
	cold.ColdRemaining, older.ColdRemaining, broken.IsGroupBroken = 2*time.Second, 9*time.Second, true
	isKnown := func(want fleet.Target) func(*Fleet, time.Time) {
		return func(f *Fleet, _ time.Time) { qt.Check(t, f.members[want.ID].target, qt.Equals, want) }
	}
	playRestores(t, []restorePlay{
		{"a target is missing until it writes again", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{10000, merge(bellA), "a b"},
			{11000, replace(bellA), "a b"},
			{11500, change(bellB), "a b"},
			{12000, replace(bellA, bellB), "a b"},
		}},
		{"a target is missing for good", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{10000, merge(bellA), "a b"},
			{11900, replace(bellA), "a b"},
			{12000, replace(bellA), "a"},
		}},
		{"a target is missing and the next list comes late", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{10000, merge(), "a b"},
			{15000, change(bellB), "a b"},
			{16000, replace(bellB), "b"},
		}},
		{"the copy has older details of the same run", []restoreStep{
			{0, replace(bellA, cold), "a b"},
			{10000, merge(bellA, older), "a b"},
			{11000, isKnown(cold), "a b"},
			{12000, replace(bellA, broken), "a b"},
			{12000, isKnown(broken), "a b"},
		}},
	})
}

// TestRunsAcrossARestore plays a store that has earlier runs of targets that started again.
func TestRunsAcrossARestore(t *testing.T) {
	playRestores(t, []restorePlay{
		{"the list has an earlier run of a target that started again", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{9000, change(bell("b", 200)), "a b"},
			{10000, merge(bellA, leaving(bellB)), "a b"},
			{11000, change(bell("b", 200)), "a b"},
			{12000, replace(bellA, bell("b", 200)), "a b"},
		}},
		{"the later run of a target does not write again", []restoreStep{
			{0, replace(bellA, bell("b", 200)), "a b"},
			{10000, merge(bellA, bellB), "a b"},
			{12000, replace(bellA, bellB), "a"},
			{13600, removal("b"), "a"},
			{14000, replace(bellA), "a"},
		}},
		{"a target that left starts again across the restore", []restoreStep{
			{0, replace(bellA, leaving(bellB)), "a"},
			{10000, merge(bellA, bellB), "a"},
			{11000, change(bell("b", 200)), "a b"},
			{12000, replace(bellA, bell("b", 200)), "a b"},
		}},
		{"an earlier run is written late", []restoreStep{
			{0, replace(bellA, leaving(bell("b", 200))), "a"},
			{10000, merge(bellA), "a"},
			{11000, change(bellB), "a"},
		}},
	})
}

// TestSeveralRestores plays a store that goes back twice, or never.
func TestSeveralRestores(t *testing.T) {
	playRestores(t, []restorePlay{
		{"two restores, the second within the time of the first", []restoreStep{
			{0, replace(bellA, leaving(bellB), bell("d", 100)), "a d"},
			{9000, removal("d"), "a"},
			{10000, merge(bellA, bellB, bell("d", 100)), "a"},
			{11000, change(bell("c", 100)), "a c"},
			{11500, merge(bellB, bell("d", 100)), "a c"},
			{12000, replace(bellB, bell("d", 100)), "a c"},
			{13000, change(bellA), "a c"},
			{13500, replace(bellA, bellB, bell("d", 100)), "a"},
			{15000, change(leaving(bellB)), "a"},
			{15500, replace(bellA, leaving(bellB), bell("d", 100)), "a d"},
		}},
		{"two restores in a row", []restoreStep{
			{0, replace(bellA, leaving(bellB)), "a"},
			{10000, merge(bellA, bellB), "a"},
			{11000, merge(bellA, bellB), "a"},
			{15000, replace(bellA, leaving(bellB)), "a"},
			{20000, merge(bellB), "a"},
			{22000, replace(bellB), ""},
			{24000, replace(bellB), "b"},
		}},
		{"no restore", []restoreStep{
			{0, replace(bellA, leaving(bellB)), "a"},
			{1000, change(bellB), "a b"},
			{2000, removal("b"), "a"},
			{3000, replace(bellA, bellB), "a b"},
			{4000, replace(bell("b", 50)), "b"},
			{5000, setOut("east"), ""},
			{6000, setOut(), "b"},
		}},
	})
}

// TestDataCentresStayOutAfterARestore plays a store that lacks data centres that were out
// of service, or has some again.
func TestDataCentresStayOutAfterARestore(t *testing.T) {
	playRestores(t, []restorePlay{
		{"a data centre that is out is missing until it is written again", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{9000, setOut("east"), ""},
			{10000, mergeOut(), ""},
			{11000, setOut("west"), ""},
			{13000, setOut("west", "east"), ""},
			{14000, setOut("west", "east"), ""},
			{15000, setOut("-west", "-east"), "a b"},
		}},
		{"a data centre that is out is missing for good", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{9000, setOut("east"), ""},
			{10000, mergeOut(), ""},
			{12000, setOut(), ""},
			{14000, setOut(), "a b"},
		}},
		{"a data centre that is out is missing, and taken back", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{9000, setOut("east"), ""},
			{10000, mergeOut(), ""},
			{11000, setOut("east"), ""},
			{12000, setOut("-east"), "a b"},
			{12500, setOut(), "a b"},
		}},
		{"a data centre is out by the copy only", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{9000, setOut("-east"), "a b"},
			{10000, mergeOut("east"), ""},
			{11000, setOut("-east"), "a b"},
		}},
		{"two restores without the data centre that is out", []restoreStep{
			{0, replace(bellA, bellB), "a b"},
			{9000, setOut("east"), ""},
			{10000, mergeOut(), ""},
			{13000, mergeOut(), ""},
			{16000, setOut(), ""},
			{17000, setOut(), "a b"},
		}},
	})
}

// TestColdTargetKeepsItsRateAcrossARestore guards against a target that is missing
// in the copy, comes back and gets its rate a second time.
func TestColdTargetKeepsItsRateAcrossARestore(t *testing.T) {
	c := qt.New(t)
	r := Request{Service: "bells", MaxPerSecond: 2}
	f := newTestFleet([]fleet.Target{bell("a", 100)})
	now := start.Add(10 * time.Second)
	granted := 0
	pick := func() {
		for range 10 {
			if _, v := f.Pick(r, now); v == Granted {
				granted++
			}
		}
	}
	pick()
	f.Merge(nil, now)
	change(bell("a", 100))(f, now)
	pick()
	c.Check(granted, qt.Equals, 2)
}

// TestListAfterARestoreIsFollowed plays random calls. Until the periods of a restore are over,
// no run may get requests again that was known to be leaving, and after them a fleet must hold
// just what the store lists.
func TestListAfterARestoreIsFollowed(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := NewFleet(rand.New(rand.NewPCG(1, 2)))
		now, restoredAt := start, start.Add(-ExpiryPeriod)
		// left has the latest run of each target that was known to be leaving.
		left := map[string]int64{}
		list := func() []fleet.Target {
			return rapid.SliceOfNDistinct(randomBell(), 0, 4, func(t fleet.Target) string { return t.ID }).Draw(r, "list")
		}
		for range rapid.IntRange(1, 20).Draw(r, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(r, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(r, "call") {
			case 0:
				if now.Sub(restoredAt) >= ExpiryPeriod {
					clear(left)
				}
				recordLeft(f, left)
				f.Merge(list(), now)
				restoredAt = now
			case 1:
				f.Replace(list(), now)
			case 2:
				change(randomBell().Draw(r, "target"))(f, now)
			case 3:
				removal(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "id"))(f, now)
			case 4:
				mergeOut(rapid.SampledFrom([]string{"east", "west"}).Draw(r, "name"))(f, now)
			case 5:
				setOut(rapid.SampledFrom([]string{"east", "-east", "west"}).Draw(r, "name"))(f, now)
			}
			if now.Sub(restoredAt) >= ExpiryPeriod {
				continue
			}
			for id, m := range f.members {
				if run, hasLeft := left[id]; hasLeft && m.isUsable(nil) && m.target.StartedAtMs <= run {
					r.Fatalf("%s is usable %s after the restore", id, now.Sub(restoredAt))
				}
			}
			recordLeft(f, left)
		}
		now = now.Add(ExpiryPeriod)
		last := list()
		f.SetDataCentresOut(map[string]bool{}, now)
		f.Replace(last, now)
		if got, want := usable(f, now), usable(newTestFleet(last), now); got != want {
			r.Fatalf("usable: %q, want %q", got, want)
		}
	})
}

// recordLeft records the runs of the targets that are leaving.
func recordLeft(f *Fleet, left map[string]int64) {
	for id, m := range f.members {
		if m.isLeaving() {
			left[id] = m.target.StartedAtMs
		}
	}
}

// TestListsWithoutARestoreAreTakenAsTheyAre plays random calls without a restore against a
// plain map.
func TestListsWithoutARestoreAreTakenAsTheyAre(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f, known := NewFleet(rand.New(rand.NewPCG(1, 2))), map[string]fleet.Target{}
		now := start
		for range rapid.IntRange(1, 20).Draw(r, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(r, "pause")) * time.Millisecond)
			t := randomBell().Draw(r, "target")
			switch rapid.IntRange(0, 2).Draw(r, "call") {
			case 0:
				f.Replace([]fleet.Target{t}, now)
				clear(known)
				known[t.ID] = t
			case 1:
				change(t)(f, now)
				known[t.ID] = t
			case 2:
				removal(t.ID)(f, now)
				delete(known, t.ID)
			}
			got := map[string]fleet.Target{}
			for id, m := range f.members {
				got[id] = m.target
			}
			if !maps.Equal(got, known) {
				r.Fatalf("targets: %v, want %v", got, known)
			}
		}
	})
}

// randomBell generates targets with few IDs and runs.
func randomBell() *rapid.Generator[fleet.Target] {
	return rapid.Custom(func(r *rapid.T) fleet.Target {
		t := bell(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "id"), rapid.Int64Range(0, 2).Draw(r, "run"))
		t.Leaving = rapid.Bool().Draw(r, "leaving")
		return t
	})
}

// TestRemovedTargetsStayBounded removes more targets than the fleet remembers. The latest
// ones are still known.
func TestRemovedTargetsStayBounded(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(nil)
	var list []fleet.Target
	for n := range maxDepartures + 100 {
		b := bell(fmt.Sprintf("b-%05d", n), 100)
		list = append(list, b)
		change(b)(f, start)
		removal(b.ID)(f, start)
	}
	c.Check(len(f.departures.runs), qt.Equals, maxDepartures)
	f.Merge(list, start.Add(time.Second))
	c.Check(len(f.members), qt.Equals, 100)
	c.Check(len(f.restore.withheld), qt.Equals, maxDepartures)
}
