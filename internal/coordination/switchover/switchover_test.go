package switchover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// twin switches one protection off.
type twin string

const (
	none        twin = ""
	majority    twin = "commits with one acknowledgement missing"
	noFence     twin = "ranks take orders under old fencing numbers"
	noHold      twin = "a rank that acknowledged goes on past the step"
	noRejoin    twin = "a restarted rank goes on without asking the others"
	blindCommit twin = "a commit counts though a rank started anew"
)

// group is a world of ranks, coordinators and messages in the air.
type group struct {
	Ranks    []*Rank
	Coords   []*Coordinator
	Air      []Message
	Ran      []int64 // the step each rank runs next
	Used     []int64 // the map that each step used
	Engine   []Change
	Starts   []int64
	Fence    int64
	Proposed int64
	twin     twin
}

func newGroup(ranks int, t twin) *group {
	g := &group{twin: t, Ran: make([]int64, ranks), Engine: make([]Change, ranks), Starts: make([]int64, ranks)}
	for id := range ranks {
		g.Ranks = append(g.Ranks, NewRank(id, ranks))
		g.Engine[id] = Change{Version: 1}
	}
	g.lead()
	return g
}

// lead starts another coordinator; the ones before do not know.
func (g *group) lead() {
	g.Fence++
	g.Proposed = max(g.Proposed, 1)
	c := NewCoordinator(g.Fence, len(g.Ranks))
	g.Coords = append(g.Coords, c)
	g.send(c.PendingMessages()...)
}

func (g *group) send(list ...Message) { g.Air = append(g.Air, list...) }

func (g *group) propose(n int, lead int64) bool {
	c := g.Coords[n]
	if c.Phase() == Aborting {
		c.FinishAbort()
	}
	list, ok := c.Propose(g.Proposed+1, lead)
	if ok {
		g.Proposed++
		g.send(list...)
	}
	return ok
}

// deliver takes message n out of the air, or leaves it there to come again.
func (g *group) deliver(n int, keep bool) string {
	m := g.Air[n]
	if !keep {
		g.Air = slices.Delete(g.Air, n, n+1)
	}
	if m.To == CoordinatorID {
		for _, c := range g.Coords {
			if c.fence == m.Fence {
				g.send(c.Handle(m)...)
				g.cheat(c)
			}
		}
		return ""
	}
	r := g.Ranks[m.To]
	switch g.twin {
	case noFence:
		m.Fence = max(m.Fence, r.fence)
	case blindCommit:
		if m.Kind == Commit {
			m.Starts = slices.Clone(r.starts)
		}
	}
	g.send(r.Handle(m)...)
	return ""
}

// cheat lets a coordinator commit too early.
func (g *group) cheat(c *Coordinator) {
	missing := 0
	for _, a := range c.acks {
		if !a {
			missing++
		}
	}
	if g.twin == majority && c.phase == Preparing && missing == 1 {
		c.begin(Committing, c.change)
		g.send(c.PendingMessages()...)
	}
}

// step lets a rank's engine run its next step, if it may; it returns what the
// promise forbids.
func (g *group) step(id int) (ran bool, fault string) {
	r := g.Ranks[id]
	next := g.Ran[id]
	if next > slices.Min(g.Ran) {
		return false, "" // lock-step: nobody is more than a step ahead
	}
	if g.twin == noHold {
		r.granted = max(r.granted, next+1)
	}
	if r.Grant(next+1) <= next {
		return false, ""
	}
	version := r.MapVersionFor(next)
	g.Ran[id]++
	g.Engine[id] = r.Current()
	if int64(len(g.Used)) == next {
		g.Used = append(g.Used, version)
	}
	if g.Used[next] != version {
		return true, fmt.Sprintf("step %d: rank %d uses map %d, another one used %d", next, id, version, g.Used[next])
	}
	return true, ""
}

// restart kills a rank's agent; the engine remembers what it may run.
func (g *group) restart(id int) {
	old := g.Ranks[id]
	g.Starts[id]++
	if g.twin == noRejoin {
		r := NewRank(id, len(g.Ranks))
		r.granted, r.current, r.earlier = old.granted, old.current, old.earlier
		g.Ranks[id] = r
		return
	}
	changes := append(slices.Clone(old.earlier), old.current)
	r, list := NewRestartedRank(id, len(g.Ranks), g.Starts[id], old.granted, changes)
	g.Ranks[id] = r
	g.send(list...)
}

// seeded plays one world at random and returns the first fault.
func seeded(ranks int, seed uint64, t twin, actions int) (fault string, switches int64) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	g := newGroup(ranks, t)
	for range actions {
		switch n := rnd.IntN(100); {
		case n < 62 && len(g.Air) > 0:
			fault = g.deliver(rnd.IntN(len(g.Air)), rnd.IntN(20) == 0)
		case n < 92:
			_, fault = g.step(rnd.IntN(ranks))
		case n < 95:
			g.propose(rnd.IntN(len(g.Coords)), rnd.Int64N(5))
		case n < 97:
			if rnd.IntN(ranks) >= 3 {
				continue
			}
			g.send(g.Ranks[rnd.IntN(ranks)].PendingMessages()...)
			g.send(g.Coords[len(g.Coords)-1].PendingMessages()...)
		case n < 98 && len(g.Coords) < 6 && rnd.IntN(ranks) < 3:
			g.lead()
		case n < 99 && seed%2 == 0 && rnd.IntN(ranks) < 3:
			g.restart(rnd.IntN(ranks))
		}
		if fault != "" {
			return fault, 0
		}
		if len(g.Air) > 40*ranks {
			g.Air = g.Air[len(g.Air)-20*ranks:]
		}
	}
	if len(g.Used) > 0 {
		switches = g.Used[len(g.Used)-1] - 1
	}
	return "", switches
}

func TestOneMapPerStep(t *testing.T) {
	tests := []struct {
		ranks, seeds, actions int
	}{
		{3, 6000, 600},
		{8, 600, 2000},
		{64, 4, 120_000},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d ranks", tt.ranks), func(t *testing.T) {
			var switched int64
			for seed := range uint64(tt.seeds) {
				fault, n := seeded(tt.ranks, seed, none, tt.actions)
				if fault != "" {
					t.Fatalf("seed %d: %s", seed, fault)
				}
				switched += n
			}
			qt.New(t).Assert(switched > 0, qt.IsTrue, qt.Commentf("no world ever changed its map"))
			t.Logf("%d worlds, maps went up %d times", tt.seeds, switched)
		})
	}
}

func TestTwinsFail(t *testing.T) {
	for _, tw := range []twin{majority, noFence, noHold, noRejoin, blindCommit} {
		t.Run(string(tw), func(t *testing.T) {
			for seed := range uint64(20_000) {
				if fault, _ := seeded(3, seed, tw, 600); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			t.Fatal("the checker found nothing")
		})
	}
}

// frozen is a copy of a group that shares nothing with it.
func (g *group) frozen() *group {
	out := &group{twin: g.twin, Fence: g.Fence, Proposed: g.Proposed}
	for _, r := range g.Ranks {
		c := *r
		c.starts = slices.Clone(r.starts)
		c.waiting = slices.Clone(r.waiting)
		c.earlier = slices.Clone(r.earlier)
		out.Ranks = append(out.Ranks, &c)
	}
	for _, r := range g.Coords {
		c := *r
		c.states = slices.Clone(r.states)
		c.acks = slices.Clone(r.acks)
		c.starts = slices.Clone(r.starts)
		out.Coords = append(out.Coords, &c)
	}
	out.Air = slices.Clone(g.Air)
	out.Ran = slices.Clone(g.Ran)
	out.Used = slices.Clone(g.Used)
	out.Engine = slices.Clone(g.Engine)
	out.Starts = slices.Clone(g.Starts)
	return out
}

// print tells two groups apart; the order of messages in the air is nothing.
func (g *group) print(budget [4]int) string {
	air := make([]string, len(g.Air))
	for n, m := range g.Air {
		air[n] = m.print()
	}
	slices.Sort(air)
	var b []byte
	for _, s := range air {
		b = append(b, s...)
	}
	b = numbers(b, g.Ran...)
	b = numbers(b, g.Used...)
	b = numbers(b, g.Starts...)
	b = numbers(b, g.Fence, g.Proposed, int64(budget[0]), int64(budget[1]), int64(budget[2]))
	for _, r := range g.Ranks {
		b = numbers(b, r.fence, r.granted, r.current.Version, r.current.Step, r.prepared.Version, r.prepared.Step, int64(len(r.earlier)))
		b = numbers(b, r.starts...)
		b = flags(b, r.waiting)
	}
	for _, c := range g.Coords {
		b = append(b, c.phase...)
		b = numbers(b, c.change.Version, c.change.Step, c.version, c.step)
		b = numbers(b, c.starts...)
		b = flags(b, c.acks)
	}
	return string(b)
}

func (m Message) print() string {
	b := append([]byte(nil), m.Kind...)
	b = numbers(b, int64(m.From), int64(m.To), m.Fence, m.Granted, m.Change.Version, m.Change.Step)
	b = numbers(b, m.Current.Version, m.Current.Step, m.Prepared.Version, m.Prepared.Step)
	return string(numbers(b, m.Starts...))
}

func numbers(b []byte, list ...int64) []byte {
	for _, n := range list {
		b = append(strconv.AppendInt(b, n, 10), ' ')
	}
	return append(b, '|')
}

func flags(b []byte, list []bool) []byte {
	for _, f := range list {
		b = strconv.AppendBool(b, f)
	}
	return append(b, '|')
}

// explore visits every order of events within a budget of proposals, takeovers,
// restarts and steps, and returns the first fault and how many states it saw.
func explore(g *group, budget [4]int, seen map[string]bool, most int) string {
	key := g.print(budget)
	if seen[key] || len(seen) >= most {
		return ""
	}
	seen[key] = true
	for n := range g.Air {
		next := g.frozen()
		next.deliver(n, false)
		if f := explore(next, budget, seen, most); f != "" {
			return f
		}
	}
	for id := range g.Ranks {
		if f := exploreRank(g, id, budget, seen, most); f != "" {
			return f
		}
	}
	if budget[0] > 0 {
		for n := range g.Coords {
			next := g.frozen()
			if !next.propose(n, 0) {
				continue
			}
			if f := explore(next, [4]int{budget[0] - 1, budget[1], budget[2], budget[3]}, seen, most); f != "" {
				return f
			}
		}
	}
	if budget[1] > 0 {
		next := g.frozen()
		next.lead()
		return explore(next, [4]int{budget[0], budget[1] - 1, budget[2], budget[3]}, seen, most)
	}
	return ""
}

func exploreRank(g *group, id int, budget [4]int, seen map[string]bool, most int) string {
	if g.Ran[id] < int64(budget[3]) {
		next := g.frozen()
		ran, fault := next.step(id)
		if fault != "" {
			return fault
		}
		if ran {
			if f := explore(next, budget, seen, most); f != "" {
				return f
			}
		}
	}
	if budget[2] == 0 {
		return ""
	}
	next := g.frozen()
	next.restart(id)
	return explore(next, [4]int{budget[0], budget[1], budget[2] - 1, budget[3]}, seen, most)
}

// prepared returns a group whose first coordinator has every rank's state.
func prepared(ranks int, t twin) *group {
	g := newGroup(ranks, t)
	for len(g.Air) > 0 {
		g.deliver(0, false)
	}
	return g
}

func TestExplored(t *testing.T) {
	tests := []struct {
		name   string
		ranks  int
		budget [4]int // proposals, takeovers, restarts, steps
		most   int
	}{
		{"3 ranks, one change", 3, [4]int{1, 0, 0, 4}, 2_000_000},
		{"2 ranks, one change, a takeover", 2, [4]int{1, 1, 0, 3}, 2_000_000},
		{"2 ranks, one change, a restart", 2, [4]int{1, 0, 1, 3}, 2_000_000},
		{"3 ranks, one change, a takeover or a restart, within a bound", 3, [4]int{1, 1, 1, 3}, 20_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			seen := map[string]bool{}
			if fault := explore(prepared(tt.ranks, none), tt.budget, seen, tt.most); fault != "" {
				t.Fatal(fault)
			}
			t.Logf("%d states, all of them: %v", len(seen), len(seen) < tt.most)
		})
	}
}
