package revision

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/target"
)

// arrival is an event at one process: the process with that index gets the new
// revision or, if process is negative, the one with index -process-1 starts a
// regular exchange.
type arrival struct {
	at      time.Duration
	process int
}

// arrivals is a heap of arrivals by time.
type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

const (
	centres          = 9
	regions          = 3
	withinRegion     = 2 * time.Millisecond
	acrossRegions    = 60 * time.Millisecond
	pullTime         = 60 * time.Millisecond // time to fetch a changed file from a peer and to build it
	exchangeInterval = 500 * time.Millisecond
	spreadBound      = 5 * time.Second
	deadFraction     = 0.02
)

// fleet returns n instances, spread evenly over the data centres.
func fleet(n int) []target.Instance {
	out := make([]target.Instance, n)
	for i := range out {
		out[i] = target.Instance{ID: fmt.Sprintf("i-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%centres)}
	}
	return out
}

// latency returns the one-way network latency between two instances.
func latency(a, b target.Instance) time.Duration {
	var x, y int
	_, _ = fmt.Sscanf(a.DataCentre, "dc-%d", &x)
	_, _ = fmt.Sscanf(b.DataCentre, "dc-%d", &y)
	if x%regions == y%regions {
		return withinRegion
	}
	return acrossRegions
}

// simulateSpread simulates how one change spreads from one watcher to all
// processes by notifications and regular exchanges. Some processes are dead but
// still listed. It returns the time until the last process has the change, the
// number of notifications, and the fraction of live processes reached.
func simulateSpread(n int, seed uint64) (took time.Duration, messages int, reached float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	all := fleet(n)
	index := map[string]int{}
	dead := make([]bool, n)
	updated := make([]bool, n)
	var queue arrivals
	for i, inst := range all {
		index[inst.ID] = i
		dead[i] = i > 0 && rnd.Float64() < deadFraction
		if !dead[i] {
			heap.Push(&queue, arrival{at: time.Duration(rnd.Int64N(int64(exchangeInterval))), process: -i - 1})
		}
	}
	heap.Push(&queue, arrival{at: 0, process: 0})
	live, updatedCount := n, 0
	for _, d := range dead {
		if d {
			live--
		}
	}
	for queue.Len() > 0 && updatedCount < live {
		t := heap.Pop(&queue).(arrival)
		if t.process < 0 {
			// A regular exchange: the process that is behind pulls.
			i := -t.process - 1
			heap.Push(&queue, arrival{at: t.at + exchangeInterval, process: t.process})
			peer, _ := RandomPeer(all[i].ID, all, rnd)
			j := index[peer.ID]
			if !dead[j] && updated[i] != updated[j] {
				behind := i
				if updated[i] {
					behind = j
				}
				heap.Push(&queue, arrival{at: t.at + 2*latency(all[i], all[j]) + pullTime, process: behind})
			}
			continue
		}
		if dead[t.process] || updated[t.process] {
			continue
		}
		updated[t.process] = true
		updatedCount++
		took = t.at
		for _, p := range PeersToNotify(all[t.process].ID, all[t.process].DataCentre, all, rnd) {
			messages++
			heap.Push(&queue, arrival{at: t.at + 3*latency(all[t.process], p) + pullTime, process: index[p.ID]})
		}
	}
	return took, messages, float64(updatedCount) / float64(live)
}

// TestMeasureSpread measures how long a change takes to reach all processes, and
// how many notifications it costs.
func TestMeasureSpread(t *testing.T) {
	for _, n := range []int{100, 1000, 7390} {
		took, messages, reached := simulateSpread(n, 1)
		verdict := "met"
		if took > spreadBound || reached < 1 {
			verdict = "MISSED"
		}
		t.Logf("row | spread of a change to %d processes, last one | %.4g | s | <= 5 | %s |", n, took.Seconds(), verdict)
		t.Logf("row | spread of a change to %d processes, told | %.4g | messages a process | - | - |", n, float64(messages)/float64(n))
		qt.New(t).Check(verdict, qt.Equals, "met")
	}
}

// TestWatchers checks that each data centre has the intended number of watchers.
func TestWatchers(t *testing.T) {
	c := qt.New(t)
	all := fleet(900)
	count := map[string]int{}
	for _, i := range all {
		if IsWatcher(i.ID, i.DataCentre, all) {
			count[i.DataCentre]++
		}
	}
	c.Assert(count, qt.HasLen, centres)
	for dc, n := range count {
		c.Check(n, qt.Equals, watchersPerDataCentre, qt.Commentf(dc))
	}
	c.Check(IsWatcher("stranger", "dc-0", all), qt.IsFalse)
	c.Check(IsWatcher("first", "dc-0", nil), qt.IsTrue)
}

func TestIsolationDetector(t *testing.T) {
	start := time.Unix(100, 0)
	tests := []struct {
		name     string
		age      time.Duration
		single   bool
		isolated bool
	}{
		{"recent contact", time.Second, false, false},
		{"at the timeout", isolationTimeout, false, false},
		{"past the timeout", isolationTimeout + 1, false, true},
		{"a single data centre", time.Hour, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			detector := NewIsolationDetector()
			detector.SetSingleDataCentre(tt.single)
			detector.RecordContact(start)
			detector.RecordContact(start.Add(-time.Minute))
			qt.New(t).Assert(detector.Isolated(start.Add(tt.age)), qt.Equals, tt.isolated)
		})
	}
}
