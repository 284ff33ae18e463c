package clientlimit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Phase is what a connection does.
type Phase int

// The phases of a connection.
const (
	// Silent is a connection that has sent nothing.
	Silent Phase = iota
	// Head is one that sends the head of a request.
	Head
	// Body is one that sends a body, read or discarded.
	Body
	// Waiting is one whose bytes are not read until there is memory for them.
	Waiting
	// Running is one whose request is with a target.
	Running
	// Reading is one that a response is being written to.
	Reading
	// Idle is one between two requests.
	Idle
	// Closed is one that was closed, or is about to be, whose memory is still in use.
	Closed
)

// String returns the name of the phase in metrics.
func (p Phase) String() string {
	return [...]string{"silent", "head", "body", "waiting", "running", "reading", "idle", "closed"}[p]
}

const (
	// minBytesPerSecond is the pace below which a client that sends or reads may be
	// closed, while the budget is short.
	minBytesPerSecond = 32 << 10
	// silentGrace, headGrace and grace are how long a connection may fall short of the
	// pace. Clients send their request right after the connection is open, and its head at
	// once.
	silentGrace = 100 * time.Millisecond
	headGrace   = 250 * time.Millisecond
	grace       = 500 * time.Millisecond
	// minIdleTime is how long a connection has been idle at least before it is closed for
	// another one, because the client may be about to use it.
	minIdleTime = time.Second
	// largerFactor is how many times more than a client another one must hold to be closed
	// for it although it is not slow.
	largerFactor = 4
	// soleShare is the part of the budget up to which the others may use it while one
	// request exceeds it, so that a single request within the limits is served.
	soleShare = 0.25
)

// Budget is what the clients of one listener use. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu   sync.Mutex
	used int64
	// holders has the connections whose memory is in use, and open counts those of them
	// that are not closed.
	holders map[*Holder]bool
	open    int
	// freed is closed when memory becomes free, if isAwaited is set.
	freed     chan struct{}
	isAwaited bool
}

// Holder is one connection of a client. It is safe for concurrent use.
type Holder struct {
	budget *Budget
	close  func(Phase)

	// The fields below are guarded by the lock of the budget.
	bytes int64
	phase Phase
	// last is the phase before Closed.
	last  Phase
	since time.Time
	// due is when the connection falls short of the pace unless it moves bytes.
	due time.Time
}

// NewBudget returns a budget that is not used.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, holders: map[*Holder]bool{}, freed: make(chan struct{})}
}

// Usage returns the bytes and the number of connections in use.
func (b *Budget) Usage() (bytes int64, conns int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.open
}

// Freed returns a channel that is closed when memory becomes free the next time.
func (b *Budget) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isAwaited = true
	return b.freed
}

// Open adds a connection, unless there are too many that are not slow. It may return another
// one that the caller must close. The function closes the connection, which is in the given
// phase.
func (b *Budget) Open(now time.Time, closeConn func(Phase)) (opened, victim *Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= b.limits.Conns {
		if victim = b.connVictim(now); victim == nil {
			return nil, nil
		}
		victim.take()
	}
	h := &Holder{budget: b, close: closeConn, bytes: ConnBytes}
	h.setPhase(Silent, now)
	b.holders[h] = true
	b.open++
	b.used += ConnBytes
	return h, victim
}

// connVictim returns the connection to close for a new one: the slowest, or else the one
// that has been idle longest; nil if all others are in use.
func (b *Budget) connVictim(now time.Time) *Holder {
	var slowest, idlest *Holder
	for h := range b.holders {
		switch {
		case h.lag(now) > 0 && (slowest == nil || h.due.Before(slowest.due)):
			slowest = h
		case h.phase == Idle && now.Sub(h.since) >= minIdleTime && (idlest == nil || h.since.Before(idlest.since)):
			idlest = h
		}
	}
	return cmp.Or(slowest, idlest)
}

// Close closes a connection that is a victim of another one.
func (h *Holder) Close() { h.close(h.last) }

// take marks the connection as closed. Its phase stays as it is, so that it is known what the
// client did, and nothing that it sends from now on is served.
func (h *Holder) take() {
	if h.phase != Closed {
		h.last, h.phase = h.phase, Closed
		h.budget.open--
	}
}

// Closed records that the connection was closed. Its memory stays in use until Ended.
func (h *Holder) Closed() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.take()
}

// IsOpen reports whether the connection was not closed.
func (h *Holder) IsOpen() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.phase != Closed
}

// Ended records that the memory of a closed connection is no longer in use.
func (h *Holder) Ended() {
	h.Closed()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.budget.holders[h] {
		delete(h.budget.holders, h)
		h.release(h.bytes)
	}
}

// SetPhase records what the connection does from now on.
func (h *Holder) SetPhase(p Phase, now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.setPhase(p, now)
}

// Wait records that the bytes of the connection are not read from now on, and returns the
// phase before.
func (h *Holder) Wait(now time.Time) Phase {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	before := h.phase
	h.setPhase(Waiting, now)
	return before
}

func (h *Holder) setPhase(p Phase, now time.Time) {
	if h.phase == Closed {
		return
	}
	h.phase, h.since = p, now
	switch p {
	case Silent:
		h.due = now.Add(silentGrace)
	case Head:
		h.due = now.Add(headGrace)
	default:
		h.due = now.Add(grace)
	}
}

// Write records that a number of bytes are being written to the client and returns the phase
// before.
func (h *Holder) Write(bytes int, now time.Time) Phase {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	before := h.phase
	h.setPhase(Reading, now)
	h.due = h.due.Add(timeFor(bytes))
	return before
}

// Receive records that a number of bytes were received. The first ones of a request begin
// its head. It returns the phase.
func (h *Holder) Receive(bytes int, now time.Time) Phase {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	switch h.phase {
	case Silent, Idle:
		h.setPhase(Head, now)
	case Head:
		h.extend(bytes, now.Add(headGrace))
	case Body:
		h.extend(bytes, now.Add(grace))
	}
	return h.phase
}

// extend gives the connection time for more bytes, up to the latest time.
func (h *Holder) extend(bytes int, latest time.Time) {
	if h.due = h.due.Add(timeFor(bytes)); h.due.After(latest) {
		h.due = latest
	}
}

// timeFor returns the time in which a client must send or read a number of bytes.
func timeFor(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minBytesPerSecond
}

// lag returns how long the connection has fallen short of the pace; it is not positive if it
// has not.
func (h *Holder) lag(now time.Time) time.Duration {
	switch h.phase {
	case Silent, Head, Body, Reading:
		return now.Sub(h.due)
	}
	return 0
}

// Charge adds memory to a connection if the budget has it. Otherwise it returns the other
// connections that the caller must close to make room, which Freed then reports.
func (h *Holder) Charge(bytes int64, now time.Time) (granted bool, victims []*Holder) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.holders[h] {
		return false, nil // it has ended
	}
	if b.used+bytes <= b.limits.Bytes || float64(b.used-h.bytes) <= soleShare*float64(b.limits.Bytes) {
		b.used += bytes
		h.bytes += bytes
		return true, nil
	}
	return false, b.victims(h, bytes, now)
}

// MustCharge adds memory that is in use already to a connection. It returns the other
// connections that the caller must close if the budget is exceeded.
func (h *Holder) MustCharge(bytes int64, now time.Time) []*Holder {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.holders[h] {
		return nil // it has ended
	}
	var out []*Holder
	if b.used+bytes > b.limits.Bytes {
		out = b.victims(h, bytes, now)
	}
	b.used += bytes
	h.bytes += bytes
	return out
}

// Release gives memory of a connection back.
func (h *Holder) Release(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.release(bytes)
}

// EndRequest gives the memory of a request back when the connection is idle again.
func (h *Holder) EndRequest(now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.setPhase(Idle, now)
	if h.bytes > ConnBytes {
		h.release(h.bytes - ConnBytes)
	}
}

func (h *Holder) release(bytes int64) {
	b := h.budget
	h.bytes -= bytes
	b.used -= bytes
	if b.isAwaited {
		close(b.freed)
		b.freed, b.isAwaited = make(chan struct{}), false
	}
}

// victims returns the connections to close so that a connection gets memory: the slow ones,
// those that hold the most for the longest time first, and then much larger ones than this
// one that are still sending. A slow connection gets none.
func (b *Budget) victims(h *Holder, bytes int64, now time.Time) []*Holder {
	excess := b.used + bytes - b.limits.Bytes
	if h.lag(now) > 0 {
		return nil
	}
	var slow, larger []*Holder
	for other := range b.holders {
		switch {
		case other == h:
		case other.phase == Closed:
			excess -= other.bytes // it will be free soon
		case other.lag(now) > 0:
			slow = append(slow, other)
		case other.isSending() && other.bytes >= largerFactor*(h.bytes+bytes):
			larger = append(larger, other)
		}
	}
	slices.SortFunc(slow, func(x, y *Holder) int { return cmp.Compare(y.weight(now), x.weight(now)) })
	slices.SortFunc(larger, func(x, y *Holder) int { return cmp.Compare(y.bytes, x.bytes) })
	var out []*Holder
	for _, other := range append(slow, larger...) {
		if excess <= 0 {
			break
		}
		excess -= other.bytes
		other.take()
		out = append(out, other)
	}
	return out
}

// weight is the memory of a slow connection times how long it has fallen short of the pace.
func (h *Holder) weight(now time.Time) float64 { return float64(h.bytes) * h.lag(now).Seconds() }

// isSending reports whether the connection is sending a request, which no target has.
func (h *Holder) isSending() bool { return h.phase == Head || h.phase == Body || h.phase == Waiting }
