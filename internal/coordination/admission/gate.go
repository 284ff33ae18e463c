package admission

import (
	"slices"
	"time"

	"bluebellcrank/internal/state/refusal"
)

// Verdict is the gate's decision on a request.
type Verdict string

const (
	// Granted lets the request run now.
	Granted Verdict = "granted"
	// Queued keeps the request waiting.
	Queued Verdict = "queued"
	// Refused rejects the request before it runs.
	Refused Verdict = "refused"
)

// Ticket represents one request at the gate.
type Ticket struct {
	id       uint64
	account  string
	weight   int
	cost     int
	deadline time.Time
	suspect  bool
	// startTag is the virtual time at which the request is due to start.
	startTag float64
}

// NewTicket returns the ticket of a request. Accounts share the target in
// proportion to weight, and cost is the number of units that the request uses.
// A suspect is a request that may crash the target; only one suspect runs at a
// time.
func NewTicket(id uint64, account string, weight, cost int, deadline time.Time, suspect bool) Ticket {
	if suspect {
		// Suspects get a flow of their own, so that they do not delay the
		// account's other requests.
		account += suspectSuffix
	}
	return Ticket{id: id, account: account, weight: max(weight, 1), cost: max(cost, 1), deadline: deadline, suspect: suspect}
}

const suspectSuffix = "\x00suspect"

// ID returns the request's ID.
func (t Ticket) ID() uint64 { return t.id }

// Decision is the result of Offer.
type Decision struct {
	verdict      Verdict
	reason       refusal.Reason
	evicted      []uint64
	expectedWait time.Duration
}

// Verdict returns the decision on the offered ticket.
func (d Decision) Verdict() Verdict { return d.verdict }

// Reason returns why the ticket was refused.
func (d Decision) Reason() refusal.Reason { return d.reason }

// Evicted returns the IDs of the queued tickets that were removed to make space
// for the offered one. Their requests are refused.
func (d Decision) Evicted() []uint64 { return d.evicted }

// ExpectedWait returns the estimated time that the offered ticket spends in the
// queue.
func (d Decision) ExpectedWait() time.Duration { return d.expectedWait }

// flow holds the queued tickets of one account.
type flow struct {
	account     string
	queue       []Ticket
	queuedUnits int
}

// Gate shares the capacity of one target among client accounts by start-time
// fair queueing (Goyal, Vin and Cheng, 1996). It is not safe for concurrent use.
type Gate struct {
	// limit is in units, queueLimit in requests.
	limit          int
	queueLimit     int
	running        map[uint64]Ticket
	runningUnits   int
	suspectRunning bool
	queuedRequests int
	queuedUnits    int
	// backlogged holds the accounts with queued tickets.
	backlogged      map[string]*flow
	clock           *FairClock
	meanServiceTime time.Duration
}

// NewGate returns a gate that admits up to limit running units and queues up to
// queueLimit requests.
func NewGate(limit, queueLimit int) *Gate {
	return &Gate{
		limit:      limit,
		queueLimit: queueLimit,
		running:    map[uint64]Ticket{},
		backlogged: map[string]*flow{},
		clock:      NewFairClock(),
	}
}

// SetLimits sets the limits of running units and of queued requests. Lowering
// them affects neither running nor queued requests.
func (g *Gate) SetLimits(limit, queueLimit int) {
	g.limit = limit
	g.queueLimit = queueLimit
}

// SetMeanServiceTime sets the mean time that one unit runs on the target, from
// which the expected wait is calculated.
func (g *Gate) SetMeanServiceTime(d time.Duration) { g.meanServiceTime = d }

// MeanServiceTime returns the mean time that one unit runs on the target.
func (g *Gate) MeanServiceTime() time.Duration { return g.meanServiceTime }

// RunningUnits returns the number of running units.
func (g *Gate) RunningUnits() int { return g.runningUnits }

// QueuedRequests returns the number of queued requests.
func (g *Gate) QueuedRequests() int { return g.queuedRequests }

// RunningRequests returns the number of running requests.
func (g *Gate) RunningRequests() int { return len(g.running) }

// Offer grants, queues or refuses a request that has just arrived. It refuses
// requests that are expected to wait past their deadline.
func (g *Gate) Offer(t Ticket, now time.Time) Decision {
	if !now.Before(t.deadline) {
		return Decision{verdict: Refused, reason: refusal.TimedOut}
	}
	if g.nextFlow() == nil && g.fits(t) {
		g.assignTag(&t)
		g.admit(t)
		return Decision{verdict: Granted}
	}
	wait := g.expectedWait()
	if now.Add(wait).After(t.deadline) {
		return Decision{verdict: Refused, reason: refusal.Full, expectedWait: wait}
	}
	d := Decision{verdict: Queued, expectedWait: wait}
	if g.queuedRequests >= g.queueLimit {
		evicted, found := g.evict(t)
		if !found {
			return Decision{verdict: Refused, reason: refusal.Full, expectedWait: wait}
		}
		d.evicted = append(d.evicted, evicted)
	}
	g.enqueue(t)
	return d
}

// Dispatch removes from the queue the tickets that may run now and those whose
// deadline has passed, and returns the IDs of both. It counts the granted tickets
// as running.
func (g *Gate) Dispatch(now time.Time) (granted, expired []uint64) {
	expired = g.expire(now)
	for {
		f := g.nextFlow()
		if f == nil || !g.fits(f.queue[0]) {
			return granted, expired
		}
		t := g.dequeue(f, 0)
		g.admit(t)
		granted = append(granted, t.id)
	}
}

// Done removes a request that has ended at the target, or a queued one whose
// caller has cancelled.
func (g *Gate) Done(id uint64) {
	if t, found := g.running[id]; found {
		delete(g.running, id)
		g.runningUnits -= t.cost
		if t.suspect {
			g.suspectRunning = false
		}
		return
	}
	for _, f := range g.backlogged {
		for i, t := range f.queue {
			if t.id == id {
				g.dequeue(f, i)
				return
			}
		}
	}
}

func (g *Gate) fits(t Ticket) bool {
	if t.suspect && g.suspectRunning {
		return false
	}
	return g.runningUnits+t.cost <= g.limit
}

func (g *Gate) admit(t Ticket) {
	g.running[t.id] = t
	g.runningUnits += t.cost
	g.suspectRunning = g.suspectRunning || t.suspect
	g.clock.Admit(t.startTag)
}

// assignTag sets the ticket's start tag.
func (g *Gate) assignTag(t *Ticket) {
	t.startTag = g.clock.Tag(t.account, float64(t.cost)/float64(t.weight))
}

func (g *Gate) enqueue(t Ticket) {
	g.assignTag(&t)
	f := g.backlogged[t.account]
	if f == nil {
		f = &flow{account: t.account}
		g.backlogged[t.account] = f
	}
	f.queue = append(f.queue, t)
	f.queuedUnits += t.cost
	g.queuedUnits += t.cost
	g.queuedRequests++
}

func (g *Gate) dequeue(f *flow, i int) Ticket {
	t := f.queue[i]
	f.queue = append(f.queue[:i], f.queue[i+1:]...)
	f.queuedUnits -= t.cost
	if len(f.queue) == 0 {
		delete(g.backlogged, f.account)
	}
	g.queuedUnits -= t.cost
	g.queuedRequests--
	return t
}

// nextFlow returns the flow whose first ticket has the lowest start tag, or nil.
// It skips suspects while one is running.
func (g *Gate) nextFlow() *flow {
	var best *flow
	for _, f := range g.backlogged {
		if f.queue[0].suspect && g.suspectRunning {
			continue
		}
		if best == nil || startsEarlier(f.queue[0], best.queue[0]) {
			best = f
		}
	}
	return best
}

func startsEarlier(a, b Ticket) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.id < b.id
}

// evict removes the last ticket of the account with the most queued units for
// its weight, to make space for t. It evicts nothing unless that account has more
// for its weight than t's own account with t included.
func (g *Gate) evict(t Ticket) (uint64, bool) {
	var largest *flow
	largestLoad := float64(t.cost) / float64(t.weight)
	if own := g.backlogged[t.account]; own != nil {
		largestLoad += float64(own.queuedUnits) / float64(t.weight)
	}
	for _, f := range g.backlogged {
		load := float64(f.queuedUnits) / float64(f.queue[0].weight)
		if f.account == t.account || load < largestLoad || load == largestLoad && (largest == nil || largest.account < f.account) {
			continue
		}
		largest, largestLoad = f, load
	}
	if largest == nil {
		return 0, false
	}
	evicted := g.dequeue(largest, len(largest.queue)-1)
	g.clock.Withdraw(evicted.account, evicted.startTag)
	return evicted.id, true
}

// expire removes the queued tickets whose deadline has passed and returns their IDs.
func (g *Gate) expire(now time.Time) []uint64 {
	var expired []uint64
	for _, f := range g.backlogged {
		for i := 0; i < len(f.queue); {
			if now.Before(f.queue[i].deadline) {
				i++
				continue
			}
			expired = append(expired, g.dequeue(f, i).id)
		}
	}
	slices.Sort(expired)
	return expired
}

// expectedWait returns how long the target needs for the units queued now.
func (g *Gate) expectedWait() time.Duration {
	return time.Duration(g.queuedUnits) * g.meanServiceTime / time.Duration(max(g.limit, 1))
}
