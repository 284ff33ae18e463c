package switchover

import "slices"

// Phase is how far a coordinator is.
type Phase string

const (
	// Recovering waits for the state of every rank.
	Recovering Phase = "recovering"
	// Idle may propose a change.
	Idle Phase = "idle"
	// Preparing waits for every rank's acknowledgement.
	Preparing Phase = "preparing"
	// Committing repeats a commit until every rank has it.
	Committing Phase = "committing"
	// Aborting repeats an abort until it is told to go on.
	Aborting Phase = "aborting"
)

// margin is how many steps behind the furthest grant a change begins.
const margin = 1

// Coordinator is the side of the lease holder; its fencing number is the
// version of the lease. It is not safe for concurrent use.
type Coordinator struct {
	fence   int64
	ranks   int
	phase   Phase
	change  Change
	states  []Message
	acks    []bool
	starts  []int64
	version int64
	step    int64
}

// rounds is how many fencing numbers one lease has: a coordinator uses the
// next one when it asks all ranks again.
const rounds = 1 << 16

// NewCoordinator returns a coordinator that first asks every rank for its
// state; the lease is the version of the object that names it.
func NewCoordinator(lease int64, ranks int) *Coordinator {
	return &Coordinator{
		fence:  lease * rounds,
		ranks:  ranks,
		phase:  Recovering,
		states: make([]Message, ranks),
		acks:   make([]bool, ranks),
		starts: make([]int64, ranks),
	}
}

// Phase returns how far the coordinator is.
func (c *Coordinator) Phase() Phase { return c.phase }

// Version returns the map in force, as far as known.
func (c *Coordinator) Version() int64 { return c.version }

// PendingMessages returns what to send now, and again until it is answered.
func (c *Coordinator) PendingMessages() []Message {
	kind, found := map[Phase]Kind{Recovering: Query, Preparing: Prepare, Committing: Commit, Aborting: Abort}[c.phase]
	if !found {
		return nil
	}
	var out []Message
	for rank := range c.ranks {
		if c.acks[rank] && kind != Abort {
			continue
		}
		m := Message{Kind: kind, From: CoordinatorID, To: rank, Fence: c.fence, Change: c.change}
		if kind == Commit {
			m.Starts = slices.Clone(c.starts)
		}
		out = append(out, m)
	}
	return out
}

// Refresh asks every rank for its state again, so that the next proposal knows
// which step they are at.
func (c *Coordinator) Refresh() []Message {
	if c.phase == Idle {
		c.begin(Recovering, Change{})
	}
	return c.PendingMessages()
}

// Propose starts a change to a map that begins lead steps behind the
// furthest grant; it is refused unless the coordinator is idle.
func (c *Coordinator) Propose(version, lead int64) ([]Message, bool) {
	if c.phase != Idle || version <= c.version {
		return nil, false
	}
	c.begin(Preparing, Change{Version: version, Step: c.step + margin + lead})
	return c.PendingMessages(), true
}

func (c *Coordinator) begin(p Phase, change Change) {
	c.phase = p
	c.change = change
	clear(c.acks)
}

// Handle takes a rank's answer and returns what follows from it.
func (c *Coordinator) Handle(m Message) []Message {
	if m.Fence > c.fence {
		// Another coordinator has taken over.
		c.phase = Idle
		c.version = 1 << 62
		return nil
	}
	if m.Fence < c.fence {
		return nil
	}
	c.step = max(c.step, m.Granted, m.Current.Step)
	switch {
	case m.Kind == State && c.phase == Recovering:
		return c.recover(m)
	case m.Change != c.change:
		return nil
	case m.Kind == Ack && c.phase == Preparing:
		return c.acknowledged(m)
	case m.Kind == Committed && c.phase == Committing:
		c.committed(m)
	case m.Kind == Nack && c.phase == Preparing:
		c.begin(Aborting, c.change)
		return c.PendingMessages()
	case m.Kind == Refused && c.phase == Committing:
		return c.askAgain()
	}
	return nil
}

// askAgain finds out whether a commit that one rank refused was taken by
// another. The next fencing number keeps the commits that are still on their
// way from being taken later.
func (c *Coordinator) askAgain() []Message {
	c.fence++
	c.begin(Recovering, Change{})
	return c.PendingMessages()
}

// recover waits for all states: a change that somebody uses was acknowledged
// by all and is committed, any other is aborted.
func (c *Coordinator) recover(m Message) []Message {
	c.states[m.From] = m
	c.acks[m.From] = true
	if slices.Contains(c.acks, false) {
		return nil
	}
	newest, prepared := c.states[0].Current, Change{}
	for _, s := range c.states {
		if s.Current.Version > newest.Version {
			newest = s.Current
		}
		if s.Prepared.Version > prepared.Version {
			prepared = s.Prepared
		}
		c.mergeStarts(s)
	}
	c.version = newest.Version
	switch {
	case slices.ContainsFunc(c.states, func(s Message) bool { return s.Current.Version < newest.Version }):
		c.begin(Committing, newest)
	case prepared.Version != 0:
		c.begin(Aborting, prepared)
	default:
		c.phase = Idle
	}
	return c.PendingMessages()
}

func (c *Coordinator) mergeStarts(m Message) {
	for rank, s := range m.Starts {
		c.starts[rank] = max(c.starts[rank], s)
	}
}

func (c *Coordinator) acknowledged(m Message) []Message {
	c.acks[m.From] = true
	// Only the sender's own word counts for when it started.
	c.starts[m.From] = m.Starts[m.From]
	if slices.Contains(c.acks, false) {
		return nil
	}
	c.begin(Committing, c.change)
	return c.PendingMessages()
}

func (c *Coordinator) committed(m Message) {
	c.acks[m.From] = true
	if slices.Contains(c.acks, false) {
		return
	}
	c.version = c.change.Version
	c.phase = Idle
}

// FinishAbort ends an abort that was sent often enough: a rank that missed it drops
// the change when the next one is prepared.
func (c *Coordinator) FinishAbort() {
	if c.phase == Aborting {
		c.phase = Idle
	}
}
