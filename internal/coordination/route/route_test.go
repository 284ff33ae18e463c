package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/target"
)

var epoch = time.Unix(0, 0)

func agents(n, centres int) []target.Instance {
	out := make([]target.Instance, n)
	for i := range out {
		out[i] = target.Instance{ID: fmt.Sprintf("agent-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%centres)}
	}
	return out
}

// reportedSet returns a set of n candidates that all have a report.
func reportedSet(n int) *Set {
	list := make([]*Candidate, n)
	for i, a := range agents(n, 1) {
		list[i] = NewCandidate(a, true)
		list[i].SetReport(target.Report{Limit: 16, Running: i % 8, LatencyMs: 20}, epoch)
	}
	return NewSet(list)
}

// TestSubset checks that a subset has no duplicates, has three in four instances
// from the own data centre, and changes little when an instance is removed.
func TestSubset(t *testing.T) {
	c := qt.New(t)
	all := agents(900, 9)
	got := Subset("entry-1", "dc-3", all, 64)
	c.Assert(got, qt.HasLen, 64)
	local, seen := 0, map[string]bool{}
	for _, i := range got {
		c.Check(seen[i.ID], qt.IsFalse)
		seen[i.ID] = true
		if i.DataCentre == "dc-3" {
			local++
		}
	}
	c.Check(local, qt.Equals, 48)
	// The removal of one agent changes at most one instance of the subset.
	kept := 0
	for _, i := range Subset("entry-1", "dc-3", append(append([]target.Instance(nil), all[:21]...), all[22:]...), 64) {
		if seen[i.ID] {
			kept++
		}
	}
	c.Check(kept >= 63, qt.IsTrue)
	c.Check(Subset("entry-1", "dc-3", all[:5], 64), qt.HasLen, 5)
}

// TestSubsetsCoverAll checks that each agent is used by some entry, and that the
// numbers of entries per agent differ by less than a factor of 4.
func TestSubsetsCoverAll(t *testing.T) {
	c := qt.New(t)
	all := agents(900, 9)
	uses := map[string]int{}
	for e := range 490 {
		for _, i := range Subset(fmt.Sprintf("entry-%d", e), fmt.Sprintf("dc-%d", e%9), all, 64) {
			uses[i.ID]++
		}
	}
	least, most := 1<<30, 0
	for _, i := range all {
		least, most = min(least, uses[i.ID]), max(most, uses[i.ID])
	}
	c.Check(least > 0, qt.IsTrue)
	c.Check(most < 4*least, qt.IsTrue, qt.Commentf("between %d and %d entries use an agent", least, most))
}

// TestPick checks that requests with the same prefix get the same target, unless
// that target is full or has already refused the request.
func TestPick(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	s := reportedSet(8)
	c.Assert(NewSet(nil).Pick(NewRequest(1, 0), nil, random), qt.IsNil)
	first := s.Pick(NewRequest(1, 77), nil, random)
	c.Check(s.Pick(NewRequest(1, 77), nil, random), qt.Equals, first, qt.Commentf("the same prefix gets the same target"))
	c.Check(s.Pick(NewRequest(1, 77), []*Candidate{first}, random), qt.Not(qt.Equals), first)
	first.RecordRefusal(true)
	c.Check(s.Pick(NewRequest(1, 77), nil, random), qt.Not(qt.Equals), first, qt.Commentf("the target is full"))
	for _, o := range s.Candidates() {
		o.RecordRefusal(false)
	}
	c.Check(s.Pick(NewRequest(1, 77), nil, random), qt.IsNil)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 64} {
		s := reportedSet(n)
		random := rand.New(rand.NewPCG(1, 1))
		for _, affinity := range []uint64{0, 9} {
			b.Run(fmt.Sprintf("targets=%d/affinity=%v", n, affinity != 0), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					s.Pick(NewRequest(1, affinity), nil, random)
				}
			})
		}
	}
}
