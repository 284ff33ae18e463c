package switchover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// variant names the safeguard that a test disables, by the effect of its absence.
type variant string

const (
	unmodified   variant = ""
	missingAck   variant = "commits with one acknowledgement missing"
	noFence      variant = "ranks take orders under old fencing numbers"
	noHold       variant = "a rank that acknowledged goes on past the step"
	noRejoin     variant = "a restarted rank goes on without asking the others"
	noStartCheck variant = "a commit counts though a rank started anew"
)

// group simulates ranks, coordinators and the messages in flight between them.
type group struct {
	Ranks        []*Rank
	Coordinators []*Coordinator
	InFlight     []Message
	NextSteps    []int64 // the next step of each rank
	UsedMaps     []int64 // the map version that each step used
	Engine       []Change
	Starts       []int64
	Fence        int64
	Proposed     int64
	variant      variant
}

func newGroup(ranks int, v variant) *group {
	g := &group{variant: v, NextSteps: make([]int64, ranks), Engine: make([]Change, ranks), Starts: make([]int64, ranks)}
	for id := range ranks {
		g.Ranks = append(g.Ranks, NewRank(id, ranks))
		g.Engine[id] = Change{Version: 1}
	}
	g.addCoordinator()
	return g
}

// addCoordinator starts another coordinator without informing the earlier ones.
func (g *group) addCoordinator() {
	g.Fence++
	g.Proposed = max(g.Proposed, 1)
	c := NewCoordinator(g.Fence, len(g.Ranks))
	g.Coordinators = append(g.Coordinators, c)
	g.send(c.PendingMessages()...)
}

func (g *group) send(list ...Message) { g.InFlight = append(g.InFlight, list...) }

// propose lets coordinator n propose the next map version.
func (g *group) propose(n int, lead int64) bool {
	c := g.Coordinators[n]
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

// deliver delivers message n. A duplicate stays in flight and arrives again later.
func (g *group) deliver(n int, duplicate bool) string {
	m := g.InFlight[n]
	if !duplicate {
		g.InFlight = slices.Delete(g.InFlight, n, n+1)
	}
	if m.To == CoordinatorID {
		for _, c := range g.Coordinators {
			if c.fence == m.Fence {
				g.send(c.Handle(m)...)
				g.commitEarly(c)
			}
		}
		return ""
	}
	r := g.Ranks[m.To]
	switch g.variant {
	case noFence:
		m.Fence = max(m.Fence, r.fence)
	case noStartCheck:
		if m.Kind == Commit {
			m.Starts = slices.Clone(r.starts)
		}
	}
	g.send(r.Handle(m)...)
	return ""
}

// commitEarly makes a coordinator of the missingAck variant commit while one
// acknowledgement is missing.
func (g *group) commitEarly(c *Coordinator) {
	unanswered := 0
	for _, a := range c.answered {
		if !a {
			unanswered++
		}
	}
	if g.variant == missingAck && c.phase == Preparing && unanswered == 1 {
		c.enterPhase(Committing, c.change)
		g.send(c.PendingMessages()...)
	}
}

// step runs the next step of a rank's engine if it is granted. It returns a violation
// if another rank used a different map in the same step.
func (g *group) step(id int) (ran bool, violation string) {
	r := g.Ranks[id]
	next := g.NextSteps[id]
	if next > slices.Min(g.NextSteps) {
		return false, "" // lock-step: no rank is more than one step ahead
	}
	if g.variant == noHold {
		r.granted = max(r.granted, next+1)
	}
	if r.Grant(next+1) <= next {
		return false, ""
	}
	version := r.MapVersionFor(next)
	g.NextSteps[id]++
	g.Engine[id] = r.Current()
	if int64(len(g.UsedMaps)) == next {
		g.UsedMaps = append(g.UsedMaps, version)
	}
	if g.UsedMaps[next] != version {
		return true, fmt.Sprintf("step %d: rank %d uses map %d, another one used %d", next, id, version, g.UsedMaps[next])
	}
	return true, ""
}

// restart replaces a rank's agent. The engine keeps its granted steps and maps.
func (g *group) restart(id int) {
	old := g.Ranks[id]
	g.Starts[id]++
	if g.variant == noRejoin {
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

// runRandom applies random actions to a group. It returns the first violation, or
// the number of map switches.
func runRandom(ranks int, seed uint64, v variant, actions int) (violation string, switches int64) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	g := newGroup(ranks, v)
	for range actions {
		switch n := rnd.IntN(100); {
		case n < 62 && len(g.InFlight) > 0:
			violation = g.deliver(rnd.IntN(len(g.InFlight)), rnd.IntN(20) == 0)
		case n < 92:
			_, violation = g.step(rnd.IntN(ranks))
		case n < 95:
			g.propose(rnd.IntN(len(g.Coordinators)), rnd.Int64N(5))
		case n < 97:
			// In a larger group, resends, takeovers and restarts get rarer in
			// proportion to the number of ranks.
			if rnd.IntN(ranks) >= 3 {
				continue
			}
			g.send(g.Ranks[rnd.IntN(ranks)].PendingMessages()...)
			g.send(g.Coordinators[len(g.Coordinators)-1].PendingMessages()...)
		case n < 98 && len(g.Coordinators) < 6 && rnd.IntN(ranks) < 3:
			g.addCoordinator()
		case n < 99 && seed%2 == 0 && rnd.IntN(ranks) < 3:
			g.restart(rnd.IntN(ranks))
		}
		if violation != "" {
			return violation, 0
		}
		// The oldest messages are lost once too many are in flight.
		if len(g.InFlight) > 40*ranks {
			g.InFlight = g.InFlight[len(g.InFlight)-20*ranks:]
		}
	}
	if len(g.UsedMaps) > 0 {
		switches = g.UsedMaps[len(g.UsedMaps)-1] - 1
	}
	return "", switches
}

// TestOneMapPerStep checks that all ranks use the same map in each step, while
// messages are reordered, duplicated and lost, coordinators take over and agents
// restart.
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
				violation, n := runRandom(tt.ranks, seed, unmodified, tt.actions)
				if violation != "" {
					t.Fatalf("seed %d: %s", seed, violation)
				}
				switched += n
			}
			qt.New(t).Assert(switched > 0, qt.IsTrue, qt.Commentf("no run changed its map"))
			t.Logf("%d runs, %d map switches", tt.seeds, switched)
		})
	}
}

// TestTwinsFail checks that the simulation finds a violation in each variant that
// has one safeguard disabled.
func TestTwinsFail(t *testing.T) {
	for _, v := range []variant{missingAck, noFence, noHold, noRejoin, noStartCheck} {
		t.Run(string(v), func(t *testing.T) {
			for seed := range uint64(20_000) {
				if violation, _ := runRandom(3, seed, v, 600); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// clone returns a deep copy of a group.
func (g *group) clone() *group {
	out := &group{variant: g.variant, Fence: g.Fence, Proposed: g.Proposed}
	for _, r := range g.Ranks {
		c := *r
		c.starts = slices.Clone(r.starts)
		c.awaiting = slices.Clone(r.awaiting)
		c.earlier = slices.Clone(r.earlier)
		out.Ranks = append(out.Ranks, &c)
	}
	for _, r := range g.Coordinators {
		c := *r
		c.states = slices.Clone(r.states)
		c.answered = slices.Clone(r.answered)
		c.starts = slices.Clone(r.starts)
		out.Coordinators = append(out.Coordinators, &c)
	}
	out.InFlight = slices.Clone(g.InFlight)
	out.NextSteps = slices.Clone(g.NextSteps)
	out.UsedMaps = slices.Clone(g.UsedMaps)
	out.Engine = slices.Clone(g.Engine)
	out.Starts = slices.Clone(g.Starts)
	return out
}

// fingerprint returns a string that identifies the state of a group and the remaining
// budget. The order of the messages in flight does not matter.
func (g *group) fingerprint(budget [4]int) string {
	messages := make([]string, len(g.InFlight))
	for n, m := range g.InFlight {
		messages[n] = m.fingerprint()
	}
	slices.Sort(messages)
	var b []byte
	for _, s := range messages {
		b = append(b, s...)
	}
	b = appendInts(b, g.NextSteps...)
	b = appendInts(b, g.UsedMaps...)
	b = appendInts(b, g.Starts...)
	b = appendInts(b, g.Fence, g.Proposed, int64(budget[0]), int64(budget[1]), int64(budget[2]))
	for _, r := range g.Ranks {
		b = appendInts(b, r.fence, r.granted, r.current.Version, r.current.Step, r.prepared.Version, r.prepared.Step, int64(len(r.earlier)))
		b = appendInts(b, r.starts...)
		b = appendBools(b, r.awaiting)
	}
	for _, c := range g.Coordinators {
		b = append(b, c.phase...)
		b = appendInts(b, c.change.Version, c.change.Step, c.version, c.furthestStep)
		b = appendInts(b, c.starts...)
		b = appendBools(b, c.answered)
	}
	return string(b)
}

func (m Message) fingerprint() string {
	b := append([]byte(nil), m.Kind...)
	b = appendInts(b, int64(m.From), int64(m.To), m.Fence, m.Granted, m.Change.Version, m.Change.Step)
	b = appendInts(b, m.Current.Version, m.Current.Step, m.Prepared.Version, m.Prepared.Step)
	return string(appendInts(b, m.Starts...))
}

func appendInts(b []byte, list ...int64) []byte {
	for _, n := range list {
		b = append(strconv.AppendInt(b, n, 10), ' ')
	}
	return append(b, '|')
}

func appendBools(b []byte, list []bool) []byte {
	for _, f := range list {
		b = strconv.AppendBool(b, f)
	}
	return append(b, '|')
}

// explore visits every order of events within a budget of proposals, takeovers,
// restarts and steps, up to maxStates states. It records the visited states in seen
// and returns the first violation.
func explore(g *group, budget [4]int, seen map[string]bool, maxStates int) string {
	key := g.fingerprint(budget)
	if seen[key] || len(seen) >= maxStates {
		return ""
	}
	seen[key] = true
	for n := range g.InFlight {
		next := g.clone()
		next.deliver(n, false)
		if violation := explore(next, budget, seen, maxStates); violation != "" {
			return violation
		}
	}
	for id := range g.Ranks {
		if violation := exploreRank(g, id, budget, seen, maxStates); violation != "" {
			return violation
		}
	}
	if budget[0] > 0 {
		for n := range g.Coordinators {
			next := g.clone()
			if !next.propose(n, 0) {
				continue
			}
			if violation := explore(next, [4]int{budget[0] - 1, budget[1], budget[2], budget[3]}, seen, maxStates); violation != "" {
				return violation
			}
		}
	}
	if budget[1] > 0 {
		next := g.clone()
		next.addCoordinator()
		return explore(next, [4]int{budget[0], budget[1] - 1, budget[2], budget[3]}, seen, maxStates)
	}
	return ""
}

// exploreRank explores a step and a restart of one rank.
func exploreRank(g *group, id int, budget [4]int, seen map[string]bool, maxStates int) string {
	if g.NextSteps[id] < int64(budget[3]) {
		next := g.clone()
		ran, violation := next.step(id)
		if violation != "" {
			return violation
		}
		if ran {
			if violation := explore(next, budget, seen, maxStates); violation != "" {
				return violation
			}
		}
	}
	if budget[2] == 0 {
		return ""
	}
	next := g.clone()
	next.restart(id)
	return explore(next, [4]int{budget[0], budget[1], budget[2] - 1, budget[3]}, seen, maxStates)
}

// newRecoveredGroup returns a group whose first coordinator knows every rank's state.
func newRecoveredGroup(ranks int, v variant) *group {
	g := newGroup(ranks, v)
	for len(g.InFlight) > 0 {
		g.deliver(0, false)
	}
	return g
}

// TestExplored checks that no order of events within a small budget makes ranks use
// different maps in one step.
func TestExplored(t *testing.T) {
	tests := []struct {
		name      string
		ranks     int
		budget    [4]int // proposals, takeovers, restarts, steps
		maxStates int
	}{
		{"3 ranks, one change", 3, [4]int{1, 0, 0, 4}, 2_000_000},
		{"2 ranks, one change, a takeover", 2, [4]int{1, 1, 0, 3}, 2_000_000},
		{"2 ranks, one change, a restart", 2, [4]int{1, 0, 1, 3}, 2_000_000},
		{"3 ranks, one change, a takeover or a restart, within a bound", 3, [4]int{1, 1, 1, 3}, 20_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			seen := map[string]bool{}
			if violation := explore(newRecoveredGroup(tt.ranks, unmodified), tt.budget, seen, tt.maxStates); violation != "" {
				t.Fatal(violation)
			}
			t.Logf("%d states, complete: %v", len(seen), len(seen) < tt.maxStates)
		})
	}
}
