package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bluebellcrank/internal/state/refusal"
)

var epoch = time.Unix(0, 0)

// TestGateInvariants checks with random arrivals and completions that the gate
// never exceeds its limit, never runs two suspects at once, and ends every ticket
// in exactly one way.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		g := NewGate(limit, rapid.IntRange(0, 6).Draw(t, "queue"))
		running := map[uint64]Ticket{}
		waiting := map[uint64]Ticket{}
		now := epoch
		check := func() {
			units, suspects := 0, 0
			for _, r := range running {
				units += r.cost
				if r.suspect {
					suspects++
				}
			}
			if units > limit || suspects > 1 || units != g.RunningUnits() || len(waiting) != g.QueuedRequests() {
				t.Fatalf("%d units of %d, %d suspects, %d waiting of %d", units, limit, suspects, len(waiting), g.QueuedRequests())
			}
		}
		dispatch := func() {
			granted, expired := g.Dispatch(now)
			for _, id := range granted {
				running[id] = waiting[id]
				delete(waiting, id)
			}
			for _, id := range expired {
				delete(waiting, id)
			}
		}
		for id := uint64(1); id < 60; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			tk := NewTicket(id, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), rapid.IntRange(1, 4).Draw(t, "weight"),
				rapid.IntRange(1, limit).Draw(t, "cost"), now.Add(time.Second), rapid.IntRange(0, 5).Draw(t, "suspect") == 0)
			d := g.Offer(tk, now)
			for _, e := range d.Evicted() {
				if _, found := waiting[e]; !found {
					t.Fatalf("evicted %d, which was not queued", e)
				}
				delete(waiting, e)
			}
			switch d.Verdict() {
			case Granted:
				running[id] = tk
			case Queued:
				waiting[id] = tk
			}
			check()
			for done := range running {
				if rapid.Bool().Draw(t, "done") {
					g.Done(done)
					delete(running, done)
				}
				break
			}
			dispatch()
			check()
		}
	})
}

// grantShares returns the number of grants of each of two accounts that always
// have queued tickets.
func grantShares(weights [2]int, rounds int) [2]int {
	g := NewGate(1, 1000)
	id := uint64(0)
	accountOf := map[uint64]int{}
	add := func(a int) {
		id++
		accountOf[id] = a
		g.Offer(NewTicket(id, fmt.Sprint(a), weights[a], 1, epoch.Add(time.Hour), false), epoch)
	}
	add(0)
	last := id
	for range rounds + 5 {
		add(0)
		add(1)
	}
	var got [2]int
	for range rounds {
		g.Done(last)
		granted, _ := g.Dispatch(epoch)
		last = granted[0]
		got[accountOf[last]]++
	}
	return got
}

// TestShares checks that accounts share the target in proportion to their weights.
func TestShares(t *testing.T) {
	tests := []struct {
		weights [2]int
		want    [2]int
	}{
		{[2]int{1, 1}, [2]int{50, 50}},
		{[2]int{3, 1}, [2]int{75, 25}},
		{[2]int{1, 4}, [2]int{20, 80}},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.weights), func(t *testing.T) {
			got := grantShares(tt.weights, 100)
			for a := range got {
				qt.New(t).Check(abs(got[a]-tt.want[a]) <= 1, qt.IsTrue, qt.Commentf("%v, want %v", got, tt.want))
			}
		})
	}
}

func abs(n int) int { return max(n, -n) }

// TestFullQueueEvictsFromTheLargestAccount checks that a full queue refuses further
// requests of the account that fills it, and evicts one of them for a request of
// another account.
func TestFullQueueEvictsFromTheLargestAccount(t *testing.T) {
	c := qt.New(t)
	g := NewGate(1, 4)
	deadline := epoch.Add(time.Hour)
	for id := uint64(1); id <= 6; id++ {
		g.Offer(NewTicket(id, "flood", 1, 1, deadline, false), epoch)
	}
	c.Assert(g.Offer(NewTicket(7, "flood", 1, 1, deadline, false), epoch).Reason(), qt.Equals, refusal.Full)
	d := g.Offer(NewTicket(8, "small", 1, 1, deadline, false), epoch)
	c.Assert(d.Verdict(), qt.Equals, Queued)
	c.Assert(d.Evicted(), qt.DeepEquals, []uint64{5})
}

// TestEarlyRefusal checks that a request that is expected to wait past its deadline
// is refused on arrival.
func TestEarlyRefusal(t *testing.T) {
	c := qt.New(t)
	g := NewGate(2, 100)
	g.SetMeanServiceTime(time.Second)
	for id := uint64(1); id <= 6; id++ {
		g.Offer(NewTicket(id, "a", 1, 1, epoch.Add(time.Hour), false), epoch)
	}
	d := g.Offer(NewTicket(7, "b", 1, 1, epoch.Add(time.Second), false), epoch)
	c.Assert(d.Verdict(), qt.Equals, Refused)
	c.Assert(d.ExpectedWait(), qt.Equals, 2*time.Second)
}

// TestWarmth checks which observations make a warm target cold.
func TestWarmth(t *testing.T) {
	warm := func() *Warmth {
		w := NewWarmth(NewBounds(4, 24, 20))
		w.SetBootID("a")
		for range 20 + baselineMinSamples {
			w.RecordCompletion(1, 10*time.Millisecond)
		}
		return w
	}
	tests := []struct {
		name string
		do   func(w *Warmth)
		want int
	}{
		{"nothing happens", func(*Warmth) {}, 24},
		{"same boot id", func(w *Warmth) { w.SetBootID("a") }, 24},
		{"another boot id", func(w *Warmth) { w.SetBootID("b") }, 4},
		{"connection ended", func(w *Warmth) { w.Suspend() }, 4},
		{"connection ended, same boot id", func(w *Warmth) { w.Suspend(); w.SetBootID("a") }, 24},
		{"two failures", func(w *Warmth) { w.RecordFailure(); w.RecordFailure() }, 24},
		{"three failures", func(w *Warmth) { w.RecordFailure(); w.RecordFailure(); w.RecordFailure() }, 4},
		{"failures between completions", func(w *Warmth) {
			for range 3 {
				w.RecordFailure()
				w.RecordCompletion(1, 10*time.Millisecond)
			}
		}, 24},
		{"three slow ones", func(w *Warmth) {
			for range 3 {
				w.RecordCompletion(1, 50*time.Millisecond)
			}
		}, 4},
		{"one hangs", func(w *Warmth) { w.CheckOverdue(time.Second) }, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := warm()
			tt.do(w)
			qt.New(t).Assert(w.Limit(), qt.Equals, tt.want)
		})
	}
}

func BenchmarkGate(b *testing.B) {
	for _, accounts := range []int{10, 1000, 26000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			g := NewGate(32, 64)
			names := make([]string, accounts)
			for n := range names {
				names[n] = fmt.Sprintf("account-%d", n)
			}
			b.ReportAllocs()
			id := uint64(0)
			for b.Loop() {
				id++
				g.Offer(NewTicket(id, names[int(id)%accounts], 1, 1, epoch.Add(time.Hour), false), epoch)
				if id > 32 {
					g.Done(id - 32)
					g.Dispatch(epoch)
				}
			}
		})
	}
}
