package balance

import (
	"slices"
	"time"
)

// Ticket is a queued request.
type Ticket struct {
	request Request
	grant   chan *Lease
}

// Granted returns the channel that receives the lease once a target has capacity.
func (t *Ticket) Granted() <-chan *Lease { return t.grant }

const (
	// grantIntervalWeight is the weight of one interval in the moving average of
	// the time between grants.
	grantIntervalWeight = 0.1
	// maxGrantInterval caps a single interval, so that a long time without
	// requests does not distort the average.
	maxGrantInterval = 500 * time.Millisecond
	// expertMoveTime is the time that a rank group needs to move its experts
	// after the set of popular experts has changed. It may have no capacity
	// meanwhile, but is expected to have some again soon.
	expertMoveTime = 700 * time.Millisecond
)

// grantInterval tracks the mean time between two grants of a service.
type grantInterval struct {
	mean        time.Duration
	lastGrantAt time.Time
}

func (gi *grantInterval) recordGrant(now time.Time) {
	interval := min(now.Sub(gi.lastGrantAt), maxGrantInterval)
	gi.mean = blend(gi.mean, interval, grantIntervalWeight)
	gi.lastGrantAt = now
}

// expectedWait returns the expected queueing time behind a number of requests. A
// service without a grant for longer than expertMoveTime is expected to have no
// capacity for as long again.
func (gi *grantInterval) expectedWait(ahead int, now time.Time) time.Duration {
	wait := time.Duration(ahead) * gi.mean
	if sinceGrant := now.Sub(gi.lastGrantAt); sinceGrant > expertMoveTime {
		wait += sinceGrant
	}
	return wait
}

// precedes reports whether the request goes before one that is already queued.
func (r Request) precedes(other Request) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return other.PastGoal && !r.PastGoal
}

// Enqueue queues a request behind those of the same or a higher priority; within a
// priority, requests past their latency goal come last. It returns nil if
// maxWaiting or more requests of the service are queued ahead, or if the request
// is expected to wait longer than maxWait. Such a request is to be refused at once.
func (f *Fleet) Enqueue(r Request, maxWaiting int, maxWait time.Duration, now time.Time) *Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	waiting := 0
	for _, t := range f.queue {
		if t.request.Service == r.Service && !r.precedes(t.request) {
			waiting++
		}
	}
	if waiting >= maxWaiting || f.grantIntervalOf(r.Service, now).expectedWait(waiting, now) > maxWait {
		return nil
	}
	t := &Ticket{request: r, grant: make(chan *Lease, 1)}
	at := len(f.queue)
	for at > 0 && r.precedes(f.queue[at-1].request) {
		at--
	}
	f.queue = slices.Insert(f.queue, at, t)
	return t
}

// grantIntervalOf returns the grant interval of a service. For a service not seen
// before it starts with a last grant at now.
func (f *Fleet) grantIntervalOf(service string, now time.Time) *grantInterval {
	gi := f.grantIntervals[service]
	if gi == nil {
		gi = &grantInterval{lastGrantAt: now}
		f.grantIntervals[service] = gi
	}
	return gi
}

// Cancel removes a request from the queue. It returns the lease if one was granted
// meanwhile, and nil otherwise.
func (f *Fleet) Cancel(t *Ticket) *Lease {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = slices.DeleteFunc(f.queue, func(o *Ticket) bool { return o == t })
	select {
	case l := <-t.grant:
		return l
	default:
		return nil
	}
}

// Poll grants leases to queued requests after the mere passage of time has made
// targets available, such as at the end of a suspension or a probe interval.
func (f *Fleet) Poll(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serveQueue(now)
}

// serveQueue grants leases in queue order. Once a request of a service gets no
// lease, the service's requests behind it are skipped.
func (f *Fleet) serveQueue(now time.Time) {
	if len(f.queue) == 0 {
		return
	}
	full := map[string]bool{}
	f.queue = slices.DeleteFunc(f.queue, func(t *Ticket) bool {
		if full[t.request.Service] {
			return false
		}
		l, _ := f.pick(t.request, now)
		if l == nil {
			full[t.request.Service] = true
			return false
		}
		t.grant <- l
		return true
	})
}
