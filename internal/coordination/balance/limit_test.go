package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/fleet"
)

// limitedFleets returns the fleets of a number of entries with a number of targets.
func limitedFleets(entries, targetCount int, now time.Time) []*Fleet {
	names := make([]string, entries)
	for n := range names {
		names[n] = fmt.Sprintf("edge-%03d", n)
	}
	targets := make([]fleet.Target, targetCount)
	for n := range targets {
		targets[n] = fleet.Target{ID: fmt.Sprintf("t-%03d", n), Service: "drafts"}
	}
	out := make([]*Fleet, entries)
	for n := range out {
		out[n] = NewFleet(rand.New(rand.NewPCG(uint64(n), 1)))
		out[n].Replace(targets, now)
		out[n].SetEntries(names[n], names, len(names))
	}
	return out
}

// TestLimitOfATarget has entries send as much as they may to targets that name a limit.
func TestLimitOfATarget(t *testing.T) {
	const (
		step  = 50 * time.Millisecond
		total = 40 * time.Second
		// window, factor and tolerance bound what a target may get: in each window, factor
		// times what its limit allows and tolerance more.
		window    = 4 * time.Second
		factor    = 1.5
		tolerance = 5
		// minUse is the part of the limit that must be used if all entries have requests.
		minUse = 0.75
	)
	tests := []struct {
		entries, targetCount int
		limit                float64
	}{
		{1, 1, 1.7}, {3, 16, 2.2}, {10, 16, 1.7}, {10, 16, 0.3}, {10, 3, 5}, {35, 5, 1}, {35, 192, 1.5},
		{490, 1, 1.7}, {490, 1, 100}, {490, 40, 1.7}, {490, 3, 20},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d entries, %d targets, %v a second", tt.entries, tt.targetCount, tt.limit), func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(100, 0)
			fleets := limitedFleets(tt.entries, tt.targetCount, start)
			for _, f := range fleets {
				var reports []LimitReport
				for id := range f.members {
					reports = append(reports, LimitReport{Target: id, PerSecond: tt.limit})
				}
				f.MergeLimits(reports, time.Second)
			}
			attempts := map[string][]time.Time{}
			request := Request{Service: "drafts"}
			for now := start; now.Before(start.Add(total)); now = now.Add(step) {
				for _, f := range fleets {
					for l, _ := f.Pick(request, now); l != nil; l, _ = f.Pick(request, now) {
						attempts[l.Target().ID] = append(attempts[l.Target().ID], now)
						l.Done(Answered, 0, now)
					}
				}
			}
			allowed := int(factor*tt.limit*window.Seconds()) + tolerance
			used := 0
			for id, times := range attempts {
				used += len(times)
				first := 0
				for n, at := range times {
					for at.Sub(times[first]) >= window {
						first++
					}
					c.Assert(n-first < allowed, qt.IsTrue, qt.Commentf("%d attempts at %s within %s, allowed %d", n-first+1, id, window, allowed))
				}
			}
			mean := float64(used) / total.Seconds() / float64(tt.targetCount)
			c.Check(mean >= minUse*tt.limit, qt.IsTrue, qt.Commentf("%.2f a second used", mean))
			c.Check(mean <= tt.limit+1/window.Seconds(), qt.IsTrue, qt.Commentf("%.2f a second used", mean))
		})
	}
}

// TestTargetsWithoutALimitAreChosenFirst has one target of three name a limit.
func TestTargetsWithoutALimitAreChosenFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	f := limitedFleets(1, 3, now)[0]
	for id := range f.members {
		f.members[id].target.Slots = 2
	}
	f.MergeLimits([]LimitReport{{Target: "t-001", PerSecond: 1}}, time.Second)
	var got []string
	for l, _ := f.Pick(Request{Service: "drafts"}, now); l != nil; l, _ = f.Pick(Request{Service: "drafts"}, now) {
		got = append(got, l.Target().ID)
	}
	c.Assert(got, qt.HasLen, 6)
	c.Check(got[:4], qt.Not(qt.Contains), "t-001")
}

// TestNewestLimitCounts gives an entry answers of a target and reports of another entry.
func TestNewestLimitCounts(t *testing.T) {
	second := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	report := func(perSecond, ageS float64) func(f *Fleet, l *Lease, boot time.Duration) bool {
		return func(f *Fleet, _ *Lease, boot time.Duration) bool {
			_, hasNews := f.MergeLimits([]LimitReport{{Target: "t-000", PerSecond: perSecond, AgeMs: second(ageS).Milliseconds()}}, boot)
			return hasNews
		}
	}
	answer := func(perSecond float64) func(f *Fleet, l *Lease, boot time.Duration) bool {
		return func(_ *Fleet, l *Lease, boot time.Duration) bool { return l.RecordLimit(perSecond, boot) }
	}
	none := func(_ *Fleet, l *Lease, boot time.Duration) bool { return l.RecordNoLimit(boot) }
	type observation struct {
		atS    float64
		record func(f *Fleet, l *Lease, boot time.Duration) bool
		// isNews is set if other entries are to be told.
		isNews bool
	}
	tests := []struct {
		name         string
		observations []observation
		want         float64
	}{
		{"no answer names one", []observation{{1, none, false}}, 0},
		{"an answer", []observation{{1, answer(2), true}}, 2},
		{"the same again", []observation{{1, answer(2), true}, {2, answer(2), false}}, 2},
		{"a little less", []observation{{1, answer(2), true}, {2, answer(1.9), false}}, 1.9},
		{"much less", []observation{{1, answer(2), true}, {2, answer(1), true}}, 1},
		{"zero", []observation{{1, answer(0), true}}, minLimitPerSecond},
		{"it ends", []observation{{1, answer(2), true}, {2, none, true}}, 0},
		{"it ends and comes again", []observation{{1, answer(2), true}, {2, none, true}, {3, answer(2), true}}, 2},
		{"a report", []observation{{1, report(2, 0.1), true}}, 2},
		{"a report older than an answer without", []observation{{1, answer(2), true}, {2, none, true}, {2.1, report(2, 0.3), false}}, 0},
		{"a report much older, of which the other entry is told", []observation{{1, answer(2), true}, {2, none, true}, {5, report(2, 4), true}}, 0},
		{"a report that it has ended", []observation{{1, answer(2), true}, {3, report(0, 1), true}}, 0},
		{"a report that it has ended, from before an answer", []observation{{1, answer(2), true}, {1.2, report(0, 0.4), false}}, 2},
		{"a report that is no limit", []observation{{1, report(-3, 0), false}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(100, 0)
			f := limitedFleets(1, 1, now)[0]
			l, _ := f.Pick(Request{Service: "drafts"}, now)
			for n, o := range tt.observations {
				c.Check(o.record(f, l, second(o.atS)), qt.Equals, o.isNews, qt.Commentf("observation %d", n))
			}
			c.Check(f.Targets(now)[0].LimitPerSecond, qt.Equals, tt.want)
		})
	}
}

// TestLimitOfAnotherRunOfATarget restarts a target that has named a limit.
func TestLimitOfAnotherRunOfATarget(t *testing.T) {
	tests := []struct {
		name string
		// listedMs and reportedMs identify the runs of the list and of the report.
		listedMs, reportedMs int64
		// relistedMs is the run that the list has afterwards.
		relistedMs int64
		want       float64
	}{
		{"the same run", 1000, 1000, 1000, 2},
		{"an earlier run", 1000, 900, 1000, 0},
		{"a later run, not listed yet", 1000, 1100, 1000, 0},
		{"a later run, listed afterwards", 1000, 1100, 1100, 2},
		{"it starts again", 1000, 1000, 1200, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(100, 0)
			f := NewFleet(rand.New(rand.NewPCG(1, 1)))
			target := fleet.Target{ID: "t-000", Service: "drafts", StartedAtMs: tt.listedMs}
			f.Replace([]fleet.Target{target}, now)
			f.MergeLimits([]LimitReport{{Target: target.ID, StartedAtMs: tt.reportedMs, PerSecond: 2}}, time.Second)
			target.StartedAtMs = tt.relistedMs
			f.ApplyChanges([]fleet.Change{{ID: target.ID, Target: &target}}, now)
			c.Check(f.Targets(now)[0].LimitPerSecond, qt.Equals, tt.want)
		})
	}
}

// TestLimitReportsConverge has entries exchange what they know of a target whose limit
// changes, with calls that take some time, until nobody has news.
func TestLimitReportsConverge(t *testing.T) {
	const (
		entries  = 12
		callTime = 40 * time.Millisecond
		// maxExchanges bounds the exchanges after a change: each entry learns of it from
		// several others.
		maxExchanges = 12 * entries
	)
	c := qt.New(t)
	now := time.Unix(100, 0)
	fleets := limitedFleets(entries, 1, now)
	random := rand.New(rand.NewPCG(7, 1))
	leases := make([]*Lease, entries)
	for n, f := range fleets {
		leases[n], _ = f.Pick(Request{Service: "drafts"}, now)
	}
	boot := time.Second
	for round, limit := range []float64{2, 0, 3, 1, 0} {
		teller := random.IntN(entries)
		if limit > 0 {
			leases[teller].RecordLimit(limit, boot)
		} else {
			leases[teller].RecordNoLimit(boot)
		}
		exchanges := 0
		for waiting := []int{teller}; len(waiting) > 0; waiting = waiting[1:] {
			for range 3 {
				listener := random.IntN(entries)
				boot += callTime
				_, reports := fleets[waiting[0]].LimitReports(0, boot)
				if _, hasNews := fleets[listener].MergeLimits(reports, boot-callTime); hasNews {
					waiting = append(waiting, listener)
				}
				exchanges++
			}
		}
		c.Check(exchanges <= maxExchanges, qt.IsTrue, qt.Commentf("%d exchanges", exchanges))
		// The regular exchanges reach the entries that were not told.
		for range 10 * entries {
			boot += callTime
			_, reports := fleets[random.IntN(entries)].LimitReports(0, boot)
			fleets[random.IntN(entries)].MergeLimits(reports, boot-callTime)
		}
		for n, f := range fleets {
			c.Check(f.Targets(now)[0].LimitPerSecond, qt.Equals, limit, qt.Commentf("entry %d, round %d", n, round))
		}
		now = now.Add(time.Minute)
		boot += time.Minute
	}
}

// TestLentAttempts has one entry with all the demand borrow what was dealt to the others.
func TestLentAttempts(t *testing.T) {
	const (
		step  = 50 * time.Millisecond
		total = 40 * time.Second
		// window is the time over which the limit is averaged.
		window = 4 * time.Second
		// loanRequests is how many entries are asked for each request.
		loanRequests = 2
		// minUse is the part of the limits that must be used.
		minUse = 0.75
	)
	tests := []struct {
		entries, targetCount int
		limit                float64
	}{{2, 1, 1}, {10, 3, 2}, {10, 16, 1.7}, {35, 5, 2}, {490, 40, 1.7}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d entries, %d targets, %v a second", tt.entries, tt.targetCount, tt.limit), func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(100, 0)
			fleets := limitedFleets(tt.entries, tt.targetCount, start)
			byName := map[string]*Fleet{}
			for _, f := range fleets {
				byName[f.entries.self] = f
				var reports []LimitReport
				for id := range f.members {
					reports = append(reports, LimitReport{Target: id, PerSecond: tt.limit})
				}
				f.MergeLimits(reports, time.Second)
			}
			borrower, request := fleets[0], Request{Service: "drafts"}
			attempts := map[string][]time.Time{}
			acquire := func(now time.Time) *Lease {
				if l, _ := borrower.Pick(request, now); l != nil {
					return l
				}
				for _, loan := range borrower.Loans(request, loanRequests, now) {
					lent, wait := byName[loan.Entry].Lend(loan.Target, loan.StartedAtMs, now)
					if lent {
						return borrower.Take(loan, request, now)
					}
					borrower.RecordLoanRefused(loan, wait, now)
				}
				return nil
			}
			for now := start; now.Before(start.Add(total)); now = now.Add(step) {
				for range int(tt.limit*float64(tt.targetCount)*step.Seconds()) + 1 {
					if l := acquire(now); l != nil {
						attempts[l.Target().ID] = append(attempts[l.Target().ID], now)
						l.Done(Answered, 0, now)
					}
				}
			}
			used := 0
			for id, times := range attempts {
				used += len(times)
				first := 0
				for n, at := range times {
					for at.Sub(times[first]) >= window {
						first++
					}
					c.Assert(float64(n-first) < tt.limit*window.Seconds()+1, qt.IsTrue, qt.Commentf("%d attempts at %s within %s", n-first+1, id, window))
				}
			}
			mean := float64(used) / total.Seconds() / float64(tt.targetCount)
			c.Check(mean >= minUse*tt.limit, qt.IsTrue, qt.Commentf("%.2f of %v a second used", mean, tt.limit))
		})
	}
}

// TestLendingEntryKeepsWhatItNeeds asks for attempts that are not to be lent.
func TestLendingEntryKeepsWhatItNeeds(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name    string
		prepare func(f *Fleet)
		target  string
		run     int64
		want    bool
	}{
		{"unused", func(*Fleet) {}, "t-000", 0, true},
		{"used", func(f *Fleet) {
			for l, _ := f.Pick(Request{Service: "drafts"}, now); l != nil; l, _ = f.Pick(Request{Service: "drafts"}, now) {
				l.Done(Answered, 0, now)
			}
		}, "t-000", 0, false},
		{"own requests wait", func(f *Fleet) { f.Enqueue(Request{Service: "drafts"}, 1, time.Second, now) }, "t-000", 0, false},
		{"no limit any more", func(f *Fleet) { f.MergeLimits([]LimitReport{{Target: "t-000"}}, time.Minute) }, "t-000", 0, false},
		{"another run", func(*Fleet) {}, "t-000", 7, false},
		{"an unknown target", func(*Fleet) {}, "t-999", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			f := limitedFleets(2, 1, now)[0]
			f.MergeLimits([]LimitReport{{Target: "t-000", PerSecond: 1}}, time.Second)
			tt.prepare(f)
			lent, _ := f.Lend(tt.target, tt.run, now)
			c.Check(lent, qt.Equals, tt.want)
		})
	}
}
