package switchover

import "slices"

// Phase is the progress of a coordinator.
type Phase string

const (
	// Recovering waits for the state of every rank.
	Recovering Phase = "recovering"
	// Idle has no change in progress and accepts a proposal.
	Idle Phase = "idle"
	// Preparing waits for every rank's acknowledgement.
	Preparing Phase = "preparing"
	// Committing repeats a commit until every rank has confirmed it.
	Committing Phase = "committing"
	// Aborting repeats an abort until FinishAbort is called.
	Aborting Phase = "aborting"
)

// stepMargin is the least number of steps between the furthest known grant and
// the step at which a change begins.
const stepMargin = 1

// Coordinator is the lease holder's side of a switch. Its fencing numbers are
// derived from the version of the lease. It is not safe for concurrent use.
type Coordinator struct {
	fence        int64
	ranks        int
	phase        Phase
	change       Change // in progress
	states       []Message
	answered     []bool  // ranks that have answered in this phase
	starts       []int64 // start number of each rank, see Message
	version      int64   // of the map in force
	furthestStep int64   // latest granted or change step that any rank reported
}

// fencesPerLease is the number of fencing numbers reserved for one lease version.
// A coordinator uses the next one each time a refused commit makes it query all
// ranks again.
const fencesPerLease = 1 << 16

// NewCoordinator returns a coordinator that first queries the state of every rank.
// The leaseVersion is the version of the lease object that names this coordinator.
func NewCoordinator(leaseVersion int64, ranks int) *Coordinator {
	return &Coordinator{
		fence:    leaseVersion * fencesPerLease,
		ranks:    ranks,
		phase:    Recovering,
		states:   make([]Message, ranks),
		answered: make([]bool, ranks),
		starts:   make([]int64, ranks),
	}
}

// Phase returns the coordinator's current phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// Version returns the version of the map in force, as far as it is known.
func (c *Coordinator) Version() int64 { return c.version }

// PendingMessages returns the messages to send in the current phase. The caller
// sends them again until the ranks have answered.
func (c *Coordinator) PendingMessages() []Message {
	kind, found := map[Phase]Kind{Recovering: Query, Preparing: Prepare, Committing: Commit, Aborting: Abort}[c.phase]
	if !found {
		return nil
	}
	var out []Message
	for rank := range c.ranks {
		if c.answered[rank] && kind != Abort {
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

// Refresh queries the state of every rank again if the coordinator is idle, so that
// the next proposal is based on the steps that the ranks have reached.
func (c *Coordinator) Refresh() []Message {
	if c.phase == Idle {
		c.enterPhase(Recovering, Change{})
	}
	return c.PendingMessages()
}

// Propose starts a change to a map version, which begins lead steps and a margin
// after the furthest known grant. It reports false unless the coordinator is idle
// and the version is newer than the one in force.
func (c *Coordinator) Propose(version, lead int64) ([]Message, bool) {
	if c.phase != Idle || version <= c.version {
		return nil, false
	}
	c.enterPhase(Preparing, Change{Version: version, Step: c.furthestStep + stepMargin + lead})
	return c.PendingMessages(), true
}

// enterPhase begins a phase for a change, in which no rank has answered yet.
func (c *Coordinator) enterPhase(p Phase, change Change) {
	c.phase = p
	c.change = change
	clear(c.answered)
}

// Handle processes a rank's answer and returns the messages to send next.
func (c *Coordinator) Handle(m Message) []Message {
	if m.Fence > c.fence {
		// Another coordinator has taken over. No version exceeds this one, so that
		// Propose always fails from now on.
		c.phase = Idle
		c.version = 1 << 62
		return nil
	}
	if m.Fence < c.fence {
		return nil
	}
	c.furthestStep = max(c.furthestStep, m.Granted, m.Current.Step)
	switch {
	case m.Kind == State && c.phase == Recovering:
		return c.handleState(m)
	case m.Change != c.change:
		return nil
	case m.Kind == Ack && c.phase == Preparing:
		return c.handleAck(m)
	case m.Kind == Committed && c.phase == Committing:
		c.handleCommitted(m)
	case m.Kind == Nack && c.phase == Preparing:
		c.enterPhase(Aborting, c.change)
		return c.PendingMessages()
	case m.Kind == Refused && c.phase == Committing:
		return c.requeryRanks()
	}
	return nil
}

// requeryRanks queries all ranks after one rank refused a commit, since another
// rank may have accepted it. It uses the next fencing number, so that ranks reject
// commits that are still in transit.
func (c *Coordinator) requeryRanks() []Message {
	c.fence++
	c.enterPhase(Recovering, Change{})
	return c.PendingMessages()
}

// handleState records a rank's state. Once all states are known, it commits the
// newest change that any rank uses, since all ranks must have acknowledged it, and
// otherwise aborts a change that is only prepared.
func (c *Coordinator) handleState(m Message) []Message {
	c.states[m.From] = m
	c.answered[m.From] = true
	if slices.Contains(c.answered, false) {
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
		c.enterPhase(Committing, newest)
	case prepared.Version != 0:
		c.enterPhase(Aborting, prepared)
	default:
		c.phase = Idle
	}
	return c.PendingMessages()
}

// mergeStarts records the highest known start number of each rank.
func (c *Coordinator) mergeStarts(m Message) {
	for rank, s := range m.Starts {
		c.starts[rank] = max(c.starts[rank], s)
	}
}

// handleAck records an acknowledgement, and commits once all ranks have sent one.
func (c *Coordinator) handleAck(m Message) []Message {
	c.answered[m.From] = true
	// Only the sender's own start number is certain to be current.
	c.starts[m.From] = m.Starts[m.From]
	if slices.Contains(c.answered, false) {
		return nil
	}
	c.enterPhase(Committing, c.change)
	return c.PendingMessages()
}

// handleCommitted records a confirmed commit, and becomes idle once all ranks have
// confirmed.
func (c *Coordinator) handleCommitted(m Message) {
	c.answered[m.From] = true
	if slices.Contains(c.answered, false) {
		return
	}
	c.version = c.change.Version
	c.phase = Idle
}

// FinishAbort makes an aborting coordinator idle. The caller decides when the abort
// has been repeated often enough: a rank that missed it drops the change when the
// next one is prepared.
func (c *Coordinator) FinishAbort() {
	if c.phase == Aborting {
		c.phase = Idle
	}
}
