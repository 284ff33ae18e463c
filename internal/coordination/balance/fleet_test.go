package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/fleet"
)

var start = time.Unix(1000, 0)

// ranks returns the targets of two rank groups of a size.
func ranks(size int) []fleet.Target {
	var out []fleet.Target
	for _, g := range []string{"a", "b"} {
		for n := range size {
			out = append(out, fleet.Target{ID: fmt.Sprint(g, n), Service: "drafts", DataCentre: "east", Slots: 12, Group: g, Rank: n})
		}
	}
	return out
}

func newTestFleet(targets []fleet.Target) *Fleet {
	f := NewFleet(rand.New(rand.NewPCG(1, 2)))
	f.Replace(targets, start)
	return f
}

var stream = Request{Service: "drafts", Stream: true, MaxGap: 120 * time.Millisecond}

func TestWhichTargetsMayBeChosen(t *testing.T) {
	tests := []struct {
		name string
		set  func(f *Fleet, targets []fleet.Target)
		need Request
		want Verdict
	}{
		{"sound", func(*Fleet, []fleet.Target) {}, stream, Granted},
		{"unknown service", func(*Fleet, []fleet.Target) {}, Request{Service: "none"}, NoTarget},
		{"all leaving", func(f *Fleet, targets []fleet.Target) {
			for n := range targets {
				targets[n].Leaving = true
			}
			f.Replace(targets, start)
		}, stream, NoTarget},
		{"all gone", func(f *Fleet, _ []fleet.Target) { f.Replace(nil, start) }, stream, NoTarget},
		{"the data centre is out", func(f *Fleet, _ []fleet.Target) { f.SetDataCentresOut(map[string]bool{"east": true}, start) }, stream, NoTarget},
		{"all tried", func(*Fleet, []fleet.Target) {}, Request{Service: "drafts", Tried: []string{"a0", "a1", "b0", "b1"}}, NoTarget},
		{"over the rate of a cold target", func(f *Fleet, targets []fleet.Target) {
			for range targets {
				f.Pick(Request{Service: "drafts", MaxPerSecond: 1}, start)
			}
		}, Request{Service: "drafts", MaxPerSecond: 1}, Full},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			targets := ranks(2)
			f := newTestFleet(targets)
			tt.set(f, targets)
			_, v := f.Pick(tt.need, start)
			qt.New(t).Check(v, qt.Equals, tt.want)
		})
	}
}

// TestLeasesOfALeavingTargetAreNotUsable has a change that arrives between the
// choice and the send.
func TestLeasesOfALeavingTargetAreNotUsable(t *testing.T) {
	c := qt.New(t)
	targets := ranks(1)
	f := newTestFleet(targets)
	l, _ := f.Pick(stream, start)
	c.Assert(l.IsUsable(), qt.IsTrue)
	left := l.Target()
	left.Leaving = true
	f.ApplyChanges([]fleet.Change{{ID: left.ID, Target: &left}}, start)
	c.Check(l.IsUsable(), qt.IsFalse)
}

// TestStalledGroupGetsOnlyProbes plays a rank group that falls silent under
// streams while the other one goes on.
func TestStalledGroupGetsOnlyProbes(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(ranks(4))
	leases := map[string][]*Lease{}
	now := start
	for range 8 {
		l, v := f.Pick(stream, now)
		c.Assert(v, qt.Equals, Granted)
		leases[l.Target().Group] = append(leases[l.Target().Group], l)
		now = now.Add(250 * time.Millisecond)
		for _, l := range leases["a"] {
			l.RecordEvent(60*time.Millisecond, now)
		}
		for _, l := range leases["b"] {
			l.RecordEvent(60*time.Millisecond, now)
		}
	}
	c.Assert(len(leases["a"]) > 0 && len(leases["b"]) > 0, qt.IsTrue)
	silent := now
	toSilent := 0
	for now.Sub(silent) < 2*time.Second {
		now = now.Add(50 * time.Millisecond)
		for _, l := range leases["b"] {
			l.RecordEvent(60*time.Millisecond, now)
		}
		if now.Sub(silent) < time.Second {
			continue
		}
		l, v := f.Pick(stream, now)
		if v == Granted && l.Target().Group == "a" {
			toSilent++
		}
		if l != nil {
			l.Done(Abandoned, 0, now)
		}
	}
	c.Check(leases["a"][0].IsGroupStalled(now), qt.IsTrue)
	c.Check(leases["b"][0].IsGroupStalled(now), qt.IsFalse)
	// A probe every 0.4 s for one second.
	c.Check(toSilent <= 3, qt.IsTrue, qt.Commentf("%d streams", toSilent))
}

// TestSilentTargetOfALivelyGroup has one rank's machine stand still: the group
// goes on, and the rank must not go on attracting streams because its own seem
// to be few. In a group that is slow, a first event takes longer.
func TestSilentTargetOfALivelyGroup(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
		// least and most bound the time until the rank counts as silent.
		least, most time.Duration
	}{
		{"a sound group", 60 * time.Millisecond, silentAfter, 1200 * time.Millisecond},
		{"a group that an engine holds back", 300 * time.Millisecond, 2 * time.Second, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestFleet(ranks(4))
			now := start
			var frozen *Lease
			var sound []*Lease
			for range 8 {
				l, v := f.Pick(stream, now)
				c.Assert(v, qt.Equals, Granted)
				if frozen == nil && l.Target().Group == "a" {
					frozen = l
				} else if frozen == nil || l.Target().ID != frozen.Target().ID {
					sound = append(sound, l)
				}
			}
			c.Assert(frozen, qt.IsNotNil)
			for !frozen.IsSilent(now) {
				now = now.Add(50 * time.Millisecond)
				for _, l := range sound {
					l.RecordEvent(tt.pause, now)
					c.Assert(l.IsSilent(now), qt.IsFalse)
				}
				c.Assert(now.Sub(start) < tt.most, qt.IsTrue, qt.Commentf("not silent after %s", now.Sub(start)))
			}
			c.Check(now.Sub(start) > tt.least, qt.IsTrue, qt.Commentf("silent after %s", now.Sub(start)))
			frozen.Done(Failed, 0, now)
			for range 8 {
				if l, _ := f.Pick(stream, now); l != nil {
					c.Check(l.Target().ID, qt.Not(qt.Equals), frozen.Target().ID)
				}
			}
		})
	}
}

// TestStreamsAreAdmittedByThePause plays 10 entries whose callers want more
// than a group can give: what is admitted must keep its pauses.
func TestStreamsAreAdmittedByThePause(t *testing.T) {
	c := qt.New(t)
	const entries = 10
	fleets := make([]*Fleet, entries)
	for n := range fleets {
		fleets[n] = newTestFleet(ranks(8)[:8])
		fleets[n].SetEntryCount(entries)
	}
	type running struct {
		lease *Lease
		left  int
	}
	var all []running
	random := rand.New(rand.NewPCG(3, 4))
	now, late, passes, served := start, 0, 0, 0
	for range 600 {
		// A pass takes a part of its own and a part for each stream.
		pass := 20*time.Millisecond + time.Duration(len(all))*1500*time.Microsecond
		now = now.Add(pass)
		kept := all[:0]
		for _, r := range all {
			r.lease.RecordEvent(pass, now)
			if r.left--; r.left == 0 {
				r.lease.Done(Answered, 0, now)
				served++
				continue
			}
			kept = append(kept, r)
		}
		all = kept
		if passes++; passes > 30 && pass > stream.MaxGap {
			late++
		}
		// 100 callers a second, far over the 40 that keep the pause.
		for range int(100 * pass.Seconds()) {
			if l, _ := fleets[random.IntN(entries)].Pick(stream, now); l != nil {
				all = append(all, running{lease: l, left: 24})
			}
		}
	}
	c.Check(late, qt.Equals, 0, qt.Commentf("%d of %d passes over the pause", late, passes))
	rate := float64(served) / now.Sub(start).Seconds()
	t.Logf("%.1f streams a second within the pause", rate)
	// At a pass of 98 ms, 52 streams run, of which 24 events take 2.35 s.
	c.Check(rate > 15, qt.IsTrue, qt.Commentf("%.1f a second", rate))
}

// TestSuspectGroupGetsOnlyProbes has a rank group fail in each of the ways in
// which an entry notices: until an event comes from there, one stream at a time
// tries it, and not all that wait once a pause is over.
func TestSuspectGroupGetsOnlyProbes(t *testing.T) {
	tests := []struct {
		name string
		// plain targets are no ranks: one says nothing of the others.
		plain bool
		// lively says that an event has just come from the group.
		lively bool
		// fail takes the lease of the stream by which the entry notices.
		fail func(l *Lease, now time.Time)
	}{
		{"a rank does not answer", false, false, func(l *Lease, now time.Time) { l.Done(Failed, 0, now) }},
		{"a target that is no rank does not answer", true, false, func(l *Lease, now time.Time) { l.Done(Failed, 0, now) }},
		{"a rank does not answer, others do", false, true, func(l *Lease, now time.Time) { l.Done(Failed, 0, now) }},
		{"a rank says that another is at fault", false, false, func(l *Lease, now time.Time) {
			l.MarkGroupSuspect()
			l.Done(Refused, 0, now)
		}},
		{"its streams left it when they got nothing", false, false, func(l *Lease, now time.Time) {
			now = now.Add(700 * time.Millisecond)
			l.IsGroupStalled(now)
			l.Done(Abandoned, 0, now)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			targets := ranks(8)[:8]
			if tt.plain {
				for n := range targets {
					targets[n].Group = ""
				}
			}
			f := newTestFleet(targets)
			l, _ := f.Pick(stream, start)
			if tt.lively {
				l.RecordEvent(0, start)
			}
			tt.fail(l, start)
			now := start.Add(1500 * time.Millisecond)
			probes := []*Lease{}
			for range 10 {
				if l, _ := f.Pick(stream, now); l != nil {
					probes = append(probes, l)
				}
			}
			if tt.lively || tt.plain {
				c.Check(len(probes) > 1, qt.IsTrue)
				return
			}
			c.Assert(probes, qt.HasLen, 1)
			probes[0].RecordEvent(0, now.Add(150*time.Millisecond))
			_, v := f.Pick(stream, now.Add(150*time.Millisecond))
			c.Check(v, qt.Equals, Granted)
		})
	}
}

// TestLeaseKeepsItsTarget has the list of targets change while a request is on
// its way: what it was granted stays as it was. Run with -race.
func TestLeaseKeepsItsTarget(t *testing.T) {
	c := qt.New(t)
	targets := ranks(1)[:1]
	f := newTestFleet(targets)
	l, v := f.Pick(stream, start)
	c.Assert(v, qt.Equals, Granted)
	done := make(chan struct{})
	go func() {
		defer close(done)
		moved := targets[0]
		moved.Address = "10.0.0.9:1"
		f.Replace([]fleet.Target{moved}, start)
	}()
	for range 100 {
		c.Check(l.Target(), qt.DeepEquals, targets[0])
	}
	<-done
	c.Check(l.Target(), qt.DeepEquals, targets[0])
}

// TestChoices has each rule place requests on targets of which one is loaded by
// others: only a random choice keeps sending there as often as to the rest.
func TestChoices(t *testing.T) {
	const requests, targets = 400, 4
	tests := []struct {
		choice Choice
		// most is how many requests the loaded target may get, least how many
		// it should get all the same.
		least, most int
	}{
		{ShortestExpectedDelay, 0, 10},
		{LeastInFlight, 0, 10},
		{TwoChoices, 1, 50},
		{AtRandom, 60, 140},
	}
	for _, tt := range tests {
		t.Run(string(tt.choice), func(t *testing.T) {
			c := qt.New(t)
			var list []fleet.Target
			for n := range targets {
				list = append(list, fleet.Target{ID: string(rune('a' + n)), Service: "bells", DataCentre: "east", Slots: 8})
			}
			f := newTestFleet(list)
			f.SetChoice(tt.choice)
			loaded := f.members["a"]
			loaded.own = 6
			sent := 0
			for n := range requests {
				now := start.Add(time.Duration(n) * 10 * time.Millisecond)
				l, v := f.Pick(Request{Service: "bells"}, now)
				c.Assert(v, qt.Equals, Granted)
				if l.Target().ID == "a" {
					sent++
				}
				l.Done(Answered, 5*time.Millisecond, now)
			}
			c.Check(sent >= tt.least && sent <= tt.most, qt.IsTrue, qt.Commentf("%d of %d", sent, requests))
		})
	}
}
