package admission

import (
	"slices"
	"time"

	"bluebellcrank/internal/state/refusal"
)

// minSweep is how many accounts a gate remembers at least before it forgets
// those without work here.
const minSweep = 1024

// Verdict is what becomes of a request at the gate.
type Verdict string

const (
	// Granted lets the request run now.
	Granted Verdict = "granted"
	// Queued keeps the request waiting.
	Queued Verdict = "queued"
	// Refused turns the request away before it runs.
	Refused Verdict = "refused"
)

// Ticket is one request at the gate.
type Ticket struct {
	id       uint64
	account  string
	weight   int
	cost     int
	deadline time.Time
	suspect  bool
	start    float64
}

// NewTicket returns a request's ticket: weight is the account's share, cost
// is in units; of suspects only one is in work at a time.
func NewTicket(id uint64, account string, weight, cost int, deadline time.Time, suspect bool) Ticket {
	if suspect {
		// A queue of their own, so that they hold up nobody else.
		account += suspectSuffix
	}
	return Ticket{id: id, account: account, weight: max(weight, 1), cost: max(cost, 1), deadline: deadline, suspect: suspect}
}

const suspectSuffix = "\x00suspect"

// ID returns the ticket's number.
func (t Ticket) ID() uint64 { return t.id }

// Decision answers an Offer; evicted are tickets that had to leave the queue
// for this one, and are refused.
type Decision struct {
	verdict Verdict
	reason  refusal.Reason
	evicted []uint64
	wait    time.Duration
}

// Verdict returns what becomes of the offered ticket.
func (d Decision) Verdict() Verdict { return d.verdict }

// Reason returns why the ticket was refused.
func (d Decision) Reason() refusal.Reason { return d.reason }

// Evicted returns the tickets that left the queue.
func (d Decision) Evicted() []uint64 { return d.evicted }

// ExpectedWait returns how long the queue is expected to take.
func (d Decision) ExpectedWait() time.Duration { return d.wait }

// flow is what one account has at the gate.
type flow struct {
	account string
	queue   []Ticket
	finish  float64
	units   int
}

// Gate shares the room at one target among client accounts by start-time
// fair queueing (Goyal, Vin and Cheng, 1996).
type Gate struct {
	limit      int
	queueLimit int
	running    map[uint64]Ticket
	units      int
	suspect    bool
	waiting    int
	queued     int
	flows      map[string]*flow
	backlog    map[string]*flow
	sweepAt    int
	virtual    float64
	mean       time.Duration
}

// NewGate returns a gate for limit units in work and queueLimit waiting.
func NewGate(limit, queueLimit int) *Gate {
	return &Gate{
		limit:      limit,
		queueLimit: queueLimit,
		running:    map[uint64]Ticket{},
		flows:      map[string]*flow{},
		backlog:    map[string]*flow{},
		sweepAt:    minSweep,
	}
}

// SetLimits takes the room that the target has now.
func (g *Gate) SetLimits(limit, queueLimit int) {
	g.limit = limit
	g.queueLimit = queueLimit
}

// SetMeanServiceTime takes how long a unit of work stays at the target.
func (g *Gate) SetMeanServiceTime(mean time.Duration) { g.mean = mean }

// MeanServiceTime returns how long a unit of work stays at the target.
func (g *Gate) MeanServiceTime() time.Duration { return g.mean }

// RunningUnits returns the units in work.
func (g *Gate) RunningUnits() int { return g.units }

// QueuedRequests returns the number of queued tickets.
func (g *Gate) QueuedRequests() int { return g.waiting }

// RunningRequests returns the number of requests in work.
func (g *Gate) RunningRequests() int { return len(g.running) }

// Offer takes a request that has just arrived.
func (g *Gate) Offer(t Ticket, now time.Time) Decision {
	if !now.Before(t.deadline) {
		return Decision{verdict: Refused, reason: refusal.TimedOut}
	}
	if g.first() == nil && g.fits(t) {
		g.tag(&t)
		g.admit(t)
		return Decision{verdict: Granted}
	}
	wait := g.expectedWait()
	if now.Add(wait).After(t.deadline) {
		return Decision{verdict: Refused, reason: refusal.Full, wait: wait}
	}
	d := Decision{verdict: Queued, wait: wait}
	if g.waiting >= g.queueLimit {
		evicted, found := g.evict(t)
		if !found {
			return Decision{verdict: Refused, reason: refusal.Full, wait: wait}
		}
		d.evicted = append(d.evicted, evicted)
	}
	g.enqueue(t)
	return d
}

// Dispatch returns the tickets that may run now, and those whose deadline passed
// while they waited.
func (g *Gate) Dispatch(now time.Time) (granted, expired []uint64) {
	expired = g.expire(now)
	for {
		f := g.first()
		if f == nil || !g.fits(f.queue[0]) {
			return granted, expired
		}
		t := g.dequeue(f, 0)
		g.admit(t)
		granted = append(granted, t.id)
	}
}

// Done takes a request that has left the target, or a queued one whose
// caller has gone.
func (g *Gate) Done(id uint64) {
	if t, found := g.running[id]; found {
		delete(g.running, id)
		g.units -= t.cost
		if t.suspect {
			g.suspect = false
		}
		return
	}
	for _, f := range g.backlog {
		for i, t := range f.queue {
			if t.id == id {
				g.dequeue(f, i)
				return
			}
		}
	}
}

func (g *Gate) fits(t Ticket) bool {
	if t.suspect && g.suspect {
		return false
	}
	return g.units+t.cost <= g.limit
}

func (g *Gate) admit(t Ticket) {
	g.running[t.id] = t
	g.units += t.cost
	g.suspect = g.suspect || t.suspect
	g.virtual = max(g.virtual, t.start)
}

// tag gives a ticket its place in virtual time and charges its account.
func (g *Gate) tag(t *Ticket) *flow {
	f := g.flows[t.account]
	if f == nil {
		g.sweep()
		f = &flow{account: t.account}
		g.flows[t.account] = f
	}
	t.start = max(g.virtual, f.finish)
	f.finish = t.start + float64(t.cost)/float64(t.weight)
	return f
}

// sweep forgets the accounts that owe nothing any more, each time that their
// number has doubled.
func (g *Gate) sweep() {
	if len(g.flows) < g.sweepAt {
		return
	}
	defer func() { g.sweepAt = max(minSweep, 2*len(g.flows)) }()
	for name, f := range g.flows {
		if len(f.queue) == 0 && f.finish <= g.virtual {
			delete(g.flows, name)
		}
	}
}

func (g *Gate) enqueue(t Ticket) {
	f := g.tag(&t)
	f.queue = append(f.queue, t)
	f.units += t.cost
	g.backlog[t.account] = f
	g.queued += t.cost
	g.waiting++
}

func (g *Gate) dequeue(f *flow, i int) Ticket {
	t := f.queue[i]
	f.queue = append(f.queue[:i], f.queue[i+1:]...)
	f.units -= t.cost
	if len(f.queue) == 0 {
		delete(g.backlog, f.account)
	}
	g.queued -= t.cost
	g.waiting--
	return t
}

// first returns the flow whose head has the earliest virtual start.
func (g *Gate) first() *flow {
	var best *flow
	for _, f := range g.backlog {
		if f.queue[0].suspect && g.suspect {
			continue
		}
		if best == nil || earlier(f.queue[0], best.queue[0]) {
			best = f
		}
	}
	return best
}

func earlier(a, b Ticket) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.id < b.id
}

// evict makes room for t by taking the last ticket of the account that has
// most waiting for its weight, unless that is t's own.
func (g *Gate) evict(t Ticket) (uint64, bool) {
	var most *flow
	heaviest := float64(t.cost) / float64(t.weight)
	if own := g.backlog[t.account]; own != nil {
		heaviest += float64(own.units) / float64(t.weight)
	}
	for _, f := range g.backlog {
		load := float64(f.units) / float64(f.queue[0].weight)
		if f.account == t.account || load < heaviest || load == heaviest && (most == nil || most.account < f.account) {
			continue
		}
		most, heaviest = f, load
	}
	if most == nil {
		return 0, false
	}
	out := g.dequeue(most, len(most.queue)-1)
	most.finish = out.start
	return out.id, true
}

func (g *Gate) expire(now time.Time) []uint64 {
	var out []uint64
	for _, f := range g.backlog {
		for i := 0; i < len(f.queue); {
			if now.Before(f.queue[i].deadline) {
				i++
				continue
			}
			out = append(out, g.dequeue(f, i).id)
		}
	}
	slices.Sort(out)
	return out
}

// expectedWait is how long the units before a new ticket stay.
func (g *Gate) expectedWait() time.Duration {
	return time.Duration(g.queued) * g.mean / time.Duration(max(g.limit, 1))
}
