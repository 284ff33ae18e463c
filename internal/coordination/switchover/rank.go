package switchover

import "slices"

// changesKept is how many changes a rank remembers for granted steps that
// its engine has not run yet; an engine asks for fewer steps ahead than this.
const changesKept = 8

// Rank is one rank's side of the switch; it belongs to the agent beside it.
// The zero step is the first. It is not safe for concurrent use.
type Rank struct {
	id       int
	ranks    int
	fence    int64
	starts   []int64
	current  Change
	earlier  []Change
	prepared Change
	granted  int64
	waiting  []bool
}

// NewRank returns a rank that has never run a step and uses map version 1.
func NewRank(id, ranks int) *Rank {
	return &Rank{id: id, ranks: ranks, starts: make([]int64, ranks), current: Change{Version: 1}}
}

// NewRestartedRank returns a rank whose agent lost its memory: granted is the step
// before which the engine says it may run, changes the maps that the engine
// was told of, the last one in force. It grants nothing until every other rank
// has heard of the start.
func NewRestartedRank(id, ranks int, start, granted int64, changes []Change) (*Rank, []Message) {
	r := NewRank(id, ranks)
	r.starts[id] = start
	r.granted = granted
	last := len(changes) - 1
	r.current = changes[last]
	r.earlier = slices.Clone(changes[:last])
	r.waiting = make([]bool, ranks)
	var out []Message
	for other := range ranks {
		if other != id {
			r.waiting[other] = true
			out = append(out, r.message(Rejoin, other))
		}
	}
	return r, out
}

// PendingMessages repeats what a restarted rank still waits for, and asks the others
// about a change whose outcome is unknown.
func (r *Rank) PendingMessages() []Message {
	var out []Message
	for other, waits := range r.waiting {
		if waits {
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

// Grant lets the engine run steps up to, and without, want, as far as it is
// certain which map they use; it returns the step up to which that is so.
func (r *Rank) Grant(want int64) int64 {
	if r.rejoining() {
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

// Current returns the map in use and the step it is used from.
func (r *Rank) Current() Change { return r.current }

// Changes returns the maps of the granted steps, the last one in force.
func (r *Rank) Changes() []Change { return append(slices.Clone(r.earlier), r.current) }

// Prepared returns the change whose outcome is unknown; its version is 0
// where there is none.
func (r *Rank) Prepared() Change { return r.prepared }

// Granted returns the step before which the engine may run.
func (r *Rank) Granted() int64 { return r.granted }

// Fence returns the highest fencing number seen.
func (r *Rank) Fence() int64 { return r.fence }

func (r *Rank) rejoining() bool { return slices.Contains(r.waiting, true) }

// Handle takes a message and returns the answers.
func (r *Rank) Handle(m Message) []Message {
	switch m.Kind {
	case Query:
		return r.query(m)
	case Prepare:
		return r.prepare(m)
	case Commit:
		return r.commit(m)
	case Abort:
		r.abort(m)
	case OutcomeQuery:
		return r.tell(m)
	case Rejoin:
		return r.rejoin(m)
	case PeerState:
		r.welcome(m)
	}
	return nil
}

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

// admits raises the fencing number, or refuses an order from before it.
func (r *Rank) admits(m Message) bool {
	if m.Fence < r.fence {
		return false
	}
	r.fence = m.Fence
	return true
}

func (r *Rank) query(m Message) []Message {
	if !r.admits(m) {
		return nil
	}
	return []Message{r.message(State, CoordinatorID)}
}

// prepare holds a change. An earlier one that is still held was aborted, and
// the abort lost: a coordinator proposes only once it has ended what was there.
func (r *Rank) prepare(m Message) []Message {
	if m.Change.Version < r.prepared.Version || !r.admits(m) {
		return nil
	}
	late := m.Change.Step < r.granted || m.Change.Version <= r.current.Version
	// The change before has to have begun, so that few are ever ahead.
	early := r.granted < r.current.Step || m.Change.Step <= r.current.Step
	if r.rejoining() || late || early {
		return []Message{r.answer(Nack, m)}
	}
	r.prepared = m.Change
	return []Message{r.answer(Ack, m)}
}

func (r *Rank) answer(k Kind, m Message) Message {
	out := r.message(k, CoordinatorID)
	out.Fence = m.Fence
	out.Change = m.Change
	return out
}

// commit puts a prepared change into force, unless a rank has started anew
// since it acknowledged: its promise not to begin the step died with it.
func (r *Rank) commit(m Message) []Message {
	if !r.admits(m) {
		return nil
	}
	if m.Change.Version <= r.current.Version {
		return []Message{r.answer(Committed, m)}
	}
	for rank, start := range r.starts {
		if rank >= len(m.Starts) || m.Starts[rank] < start {
			return []Message{r.answer(Refused, m)}
		}
	}
	r.adopt(m.Change)
	return []Message{r.answer(Committed, m)}
}

// learn takes a change that another rank uses: all have acknowledged it.
func (r *Rank) learn(c Change) {
	if c.Version > r.current.Version {
		r.adopt(c)
	}
}

func (r *Rank) adopt(c Change) {
	r.earlier = append(r.earlier, r.current)
	r.earlier = r.earlier[max(0, len(r.earlier)-changesKept):]
	r.current = c
	r.prepared = Change{}
}

func (r *Rank) abort(m Message) {
	if m.Change == r.prepared && r.admits(m) {
		r.prepared = Change{}
	}
}

// tell answers a rank that waits for an outcome which this one knows.
func (r *Rank) tell(m Message) []Message {
	if m.Prepared.Version != r.current.Version {
		return nil
	}
	out := r.message(PeerState, m.From)
	return []Message{out}
}

// rejoin notes that another rank started anew, and tells it what it missed;
// its engine may also use a change that this rank has not heard of yet.
func (r *Rank) rejoin(m Message) []Message {
	r.starts[m.From] = max(r.starts[m.From], m.Starts[m.From])
	r.learn(m.Current)
	return []Message{r.message(PeerState, m.From)}
}

// welcome takes what another rank knows: a change that it uses was
// acknowledged by all.
func (r *Rank) welcome(m Message) {
	r.fence = max(r.fence, m.Fence)
	r.learn(m.Current)
	if r.waiting == nil {
		return
	}
	for rank := range r.starts {
		r.starts[rank] = max(r.starts[rank], m.Starts[rank])
	}
	if m.Starts[r.id] == r.starts[r.id] {
		r.waiting[m.From] = false
	}
}
