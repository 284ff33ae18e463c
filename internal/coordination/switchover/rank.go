package switchover

import "slices"

// maxEarlierChanges is how many changes before the current one a rank remembers,
// for granted steps that its engine has not run yet. An engine is granted fewer
// steps ahead than this.
const maxEarlierChanges = 8

// Rank is one rank's side of a switch and runs in the rank's agent. Steps are
// numbered from zero. It is not safe for concurrent use.
type Rank struct {
	id       int
	ranks    int
	fence    int64
	starts   []int64 // start number of each rank, as far as known; rises with each restart
	current  Change
	earlier  []Change // changes before current, oldest first
	prepared Change
	granted  int64  // the engine may run the steps before this one
	awaiting []bool // ranks that have not answered a Rejoin yet; nil without a restart
}

// NewRank returns a rank that has never run a step and uses map version 1.
func NewRank(id, ranks int) *Rank {
	return &Rank{id: id, ranks: ranks, starts: make([]int64, ranks), current: Change{Version: 1}}
}

// NewRestartedRank returns a rank whose agent restarted and lost its state, and the
// messages that announce the restart. The engine's report supplies granted, the
// step before which it may run, and changes, the maps it was told of, the last one
// in force. The rank grants no further steps until every other rank has answered.
func NewRestartedRank(id, ranks int, start, granted int64, changes []Change) (*Rank, []Message) {
	r := NewRank(id, ranks)
	r.starts[id] = start
	r.granted = granted
	last := len(changes) - 1
	r.current = changes[last]
	r.earlier = slices.Clone(changes[:last])
	r.awaiting = make([]bool, ranks)
	var out []Message
	for other := range ranks {
		if other != id {
			r.awaiting[other] = true
			out = append(out, r.message(Rejoin, other))
		}
	}
	return r, out
}

// PendingMessages returns the messages to send again: a Rejoin to each rank that has
// not answered one, and an OutcomeQuery to all others while a change is prepared.
func (r *Rank) PendingMessages() []Message {
	var out []Message
	for other, isAwaited := range r.awaiting {
		if isAwaited {
			out = append(out, r.message(Rejoin, other))
		}
	}
	if r.prepared.Version == 0 {
		return out
	}
	for other := range r.ranks {
		if other != r.id {
			out = append(out, r.message(OutcomeQuery, other))
		}
	}
	return out
}

// Grant lets the engine run the steps before want, as far as it is certain which
// map they use. It returns the step before which the engine may run.
func (r *Rank) Grant(want int64) int64 {
	if r.isRejoining() {
		return r.granted
	}
	if r.prepared.Version != 0 {
		want = min(want, r.prepared.Step)
	}
	r.granted = max(r.granted, want)
	return r.granted
}

// MapVersionFor returns the version of the map that a granted step uses.
func (r *Rank) MapVersionFor(step int64) int64 {
	if step >= r.current.Step {
		return r.current.Version
	}
	for n := len(r.earlier) - 1; n > 0; n-- {
		if step >= r.earlier[n].Step {
			return r.earlier[n].Version
		}
	}
	return r.earlier[0].Version
}

// Current returns the map in force and the step from which it is used.
func (r *Rank) Current() Change { return r.current }

// Changes returns the maps of the granted steps, oldest first, the last one in
// force.
func (r *Rank) Changes() []Change { return append(slices.Clone(r.earlier), r.current) }

// Prepared returns the change whose outcome is unknown. Its version is 0 if there
// is none.
func (r *Rank) Prepared() Change { return r.prepared }

// Granted returns the step before which the engine may run.
func (r *Rank) Granted() int64 { return r.granted }

// Fence returns the highest fencing number seen.
func (r *Rank) Fence() int64 { return r.fence }

// isRejoining reports whether some rank has not answered this rank's Rejoin yet.
func (r *Rank) isRejoining() bool { return slices.Contains(r.awaiting, true) }

// Handle processes a message and returns the answers.
func (r *Rank) Handle(m Message) []Message {
	switch m.Kind {
	case Query:
		return r.handleQuery(m)
	case Prepare:
		return r.handlePrepare(m)
	case Commit:
		return r.handleCommit(m)
	case Abort:
		r.handleAbort(m)
	case OutcomeQuery:
		return r.handleOutcomeQuery(m)
	case Rejoin:
		return r.handleRejoin(m)
	case PeerState:
		r.handlePeerState(m)
	}
	return nil
}

// message returns a message that carries the rank's state.
func (r *Rank) message(k Kind, to int) Message {
	return Message{
		Kind:     k,
		From:     r.id,
		To:       to,
		Fence:    r.fence,
		Starts:   slices.Clone(r.starts),
		Current:  r.current,
		Prepared: r.prepared,
		Granted:  r.granted,
	}
}

// acceptFence raises the rank's fencing number to the message's. It reports false
// for a message with an older number.
func (r *Rank) acceptFence(m Message) bool {
	if m.Fence < r.fence {
		return false
	}
	r.fence = m.Fence
	return true
}

func (r *Rank) handleQuery(m Message) []Message {
	if !r.acceptFence(m) {
		return nil
	}
	return []Message{r.message(State, CoordinatorID)}
}

// handlePrepare records a prepared change. It replaces an earlier prepared change,
// which must have been aborted by a message that was lost: a coordinator proposes a
// change only after it has committed or aborted the previous one.
func (r *Rank) handlePrepare(m Message) []Message {
	if m.Change.Version < r.prepared.Version || !r.acceptFence(m) {
		return nil
	}
	isTooLate := m.Change.Step < r.granted || m.Change.Version <= r.current.Version
	// The previous change must have begun, which limits the changes that a rank
	// has to remember for granted steps.
	isTooEarly := r.granted < r.current.Step || m.Change.Step <= r.current.Step
	if r.isRejoining() || isTooLate || isTooEarly {
		return []Message{r.reply(Nack, m)}
	}
	r.prepared = m.Change
	return []Message{r.reply(Ack, m)}
}

// reply returns an answer to the coordinator about the change in its message.
func (r *Rank) reply(k Kind, m Message) Message {
	out := r.message(k, CoordinatorID)
	out.Fence = m.Fence
	out.Change = m.Change
	return out
}

// handleCommit puts a change into force. It refuses if some rank has restarted since
// its acknowledgement: the restart lost the hold, so that rank may already have been
// granted the step with the old map.
func (r *Rank) handleCommit(m Message) []Message {
	if !r.acceptFence(m) {
		return nil
	}
	if m.Change.Version <= r.current.Version {
		return []Message{r.reply(Committed, m)}
	}
	for rank, start := range r.starts {
		if rank >= len(m.Starts) || m.Starts[rank] < start {
			return []Message{r.reply(Refused, m)}
		}
	}
	r.adopt(m.Change)
	return []Message{r.reply(Committed, m)}
}

// learnChange adopts a newer change that another rank uses, since all ranks must
// have acknowledged it.
func (r *Rank) learnChange(c Change) {
	if c.Version > r.current.Version {
		r.adopt(c)
	}
}

// adopt puts a change into force and ends the hold of a prepared one.
func (r *Rank) adopt(c Change) {
	r.earlier = append(r.earlier, r.current)
	r.earlier = r.earlier[max(0, len(r.earlier)-maxEarlierChanges):]
	r.current = c
	r.prepared = Change{}
}

func (r *Rank) handleAbort(m Message) {
	if m.Change == r.prepared && r.acceptFence(m) {
		r.prepared = Change{}
	}
}

// handleOutcomeQuery answers only if this rank uses the change that the sender has
// prepared, and so knows that it was committed.
func (r *Rank) handleOutcomeQuery(m Message) []Message {
	if m.Prepared.Version != r.current.Version {
		return nil
	}
	out := r.message(PeerState, m.From)
	return []Message{out}
}

// handleRejoin records another rank's restart and answers with this rank's state.
// The restarted rank's engine may use a change that this rank does not know yet.
func (r *Rank) handleRejoin(m Message) []Message {
	r.starts[m.From] = max(r.starts[m.From], m.Starts[m.From])
	r.learnChange(m.Current)
	return []Message{r.message(PeerState, m.From)}
}

// handlePeerState applies another rank's state: its fencing number, the change it
// uses and, if this rank has restarted, the start numbers. The sender has answered
// the Rejoin once its state includes this rank's latest start.
func (r *Rank) handlePeerState(m Message) {
	r.fence = max(r.fence, m.Fence)
	r.learnChange(m.Current)
	if r.awaiting == nil {
		return
	}
	for rank := range r.starts {
		r.starts[rank] = max(r.starts[rank], m.Starts[rank])
	}
	if m.Starts[r.id] == r.starts[r.id] {
		r.awaiting[m.From] = false
	}
}
