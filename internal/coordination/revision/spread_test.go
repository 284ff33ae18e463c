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

// told is a message that arrives.
type told struct {
	at  time.Duration
	who int
}

type tolds []told

func (t tolds) Len() int           { return len(t) }
func (t tolds) Less(i, j int) bool { return t[i].at < t[j].at }
func (t tolds) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *tolds) Push(x any)        { *t = append(*t, x.(told)) }
func (t *tolds) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

const (
	centres       = 9
	regions       = 3
	withinRegion  = 2 * time.Millisecond
	acrossRegions = 60 * time.Millisecond
	pullTime      = 60 * time.Millisecond // build of a changed file, and the call
	exchangeEvery = 500 * time.Millisecond
	spreadBound   = 5 * time.Second
	deadPart      = 0.02
)

func fleet(n int) []target.Instance {
	out := make([]target.Instance, n)
	for i := range out {
		out[i] = target.Instance{ID: fmt.Sprintf("i-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%centres)}
	}
	return out
}

func wire(a, b target.Instance) time.Duration {
	var x, y int
	_, _ = fmt.Sscanf(a.DataCentre, "dc-%d", &x)
	_, _ = fmt.Sscanf(b.DataCentre, "dc-%d", &y)
	if x%regions == y%regions {
		return withinRegion
	}
	return acrossRegions
}

// spread plays one change from one watcher to everybody, through Tell and the
// regular exchanges; some processes are dead and stay on the list.
func spread(n int, seed uint64) (took time.Duration, messages int, reached float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	all := fleet(n)
	index := map[string]int{}
	dead := make([]bool, n)
	holds := make([]bool, n)
	var queue tolds
	for i, inst := range all {
		index[inst.ID] = i
		dead[i] = i > 0 && rnd.Float64() < deadPart
		if !dead[i] {
			heap.Push(&queue, told{at: time.Duration(rnd.Int64N(int64(exchangeEvery))), who: -i - 1})
		}
	}
	heap.Push(&queue, told{at: 0, who: 0})
	live, held := n, 0
	for _, d := range dead {
		if d {
			live--
		}
	}
	for queue.Len() > 0 && held < live {
		t := heap.Pop(&queue).(told)
		if t.who < 0 {
			// A regular exchange: whoever is behind pulls.
			i := -t.who - 1
			heap.Push(&queue, told{at: t.at + exchangeEvery, who: t.who})
			peer, _ := RandomPeer(all[i].ID, all, rnd)
			j := index[peer.ID]
			if !dead[j] && holds[i] != holds[j] {
				behind := i
				if holds[i] {
					behind = j
				}
				heap.Push(&queue, told{at: t.at + 2*wire(all[i], all[j]) + pullTime, who: behind})
			}
			continue
		}
		if dead[t.who] || holds[t.who] {
			continue
		}
		holds[t.who] = true
		held++
		took = t.at
		for _, p := range PeersToNotify(all[t.who].ID, all[t.who].DataCentre, all, rnd) {
			messages++
			heap.Push(&queue, told{at: t.at + 3*wire(all[t.who], p) + pullTime, who: index[p.ID]})
		}
	}
	return took, messages, float64(held) / float64(live)
}

func TestMeasureSpread(t *testing.T) {
	for _, n := range []int{100, 1000, 7390} {
		took, messages, reached := spread(n, 1)
		verdict := "met"
		if took > spreadBound || reached < 1 {
			verdict = "MISSED"
		}
		t.Logf("row | spread of a change to %d processes, last one | %.4g | s | <= 5 | %s |", n, took.Seconds(), verdict)
		t.Logf("row | spread of a change to %d processes, told | %.4g | messages a process | - | - |", n, float64(messages)/float64(n))
		qt.New(t).Check(verdict, qt.Equals, "met")
	}
}

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
		c.Check(n, qt.Equals, watchersPerCentre, qt.Commentf(dc))
	}
	c.Check(IsWatcher("stranger", "dc-0", all), qt.IsFalse)
	c.Check(IsWatcher("first", "dc-0", nil), qt.IsTrue)
}

func TestTrust(t *testing.T) {
	start := time.Unix(100, 0)
	tests := []struct {
		name     string
		heard    time.Duration
		single   bool
		isolated bool
	}{
		{"fresh word", time.Second, false, false},
		{"at the bound", trustPeriod, false, false},
		{"past the bound", trustPeriod + 1, false, true},
		{"a single data centre", time.Hour, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := NewIsolationDetector()
			tr.SetSingleDataCentre(tt.single)
			tr.RecordContact(start)
			tr.RecordContact(start.Add(-time.Minute))
			qt.New(t).Assert(tr.Isolated(start.Add(tt.heard)), qt.Equals, tt.isolated)
		})
	}
}
