package balance

import (
	"slices"
	"time"
)

// Ticket is a queued request.
type Ticket struct {
	request Request
	// tag is the start tag of the request's account.
	tag   float64
	grant chan *Lease
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
	// minQueueLimit and minQueueLimitRetries are the numbers of first attempts and of
	// retries of a service that an entry queues at least.
	minQueueLimit        = 12
	minQueueLimitRetries = 100
	// firstAttemptQueueDivisor is the part of the entry's slots that become free while a
	// first attempt is queued: a stream lasts several times as long.
	firstAttemptQueueDivisor = 4
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

// expectedWait returns the expected queueing time behind a number of requests. A service
// without a grant for longer than expertMoveTime is expected to have no capacity for as
// long again.
func (gi *grantInterval) expectedWait(ahead int, now time.Time) time.Duration {
	wait := time.Duration(ahead) * gi.mean
	if sinceGrant := now.Sub(gi.lastGrantAt); sinceGrant > expertMoveTime {
		wait += sinceGrant
	}
	return wait
}

// precedes reports whether a ticket goes before one that is already queued: requests that
// can still meet their latency goal first, then by priority, then by account.
func (t *Ticket) precedes(other *Ticket) bool {
	if t.request.PastGoal != other.request.PastGoal {
		return other.request.PastGoal
	}
	if t.request.Priority != other.request.Priority {
		return t.request.Priority < other.request.Priority
	}
	return t.tag < other.tag
}

// QueueLimit returns how many requests of a service may be queued: as many as this entry's
// share of the slots is likely to serve in the longest time for which they wait.
func (f *Fleet) QueueLimit(service string, isRetry bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := 0
	for _, m := range f.services[service] {
		own += f.ownSlots(m)
	}
	if isRetry {
		return max(minQueueLimitRetries, own)
	}
	return max(minQueueLimit, own/firstAttemptQueueDivisor)
}

// Enqueue queues a request in the order of precedes. It returns nil if maxWaiting or more
// requests of the service are queued ahead, or if a request that can still meet its goal is
// expected to wait longer than maxWait. Such a request is to be refused at once. Late
// requests wait in any case: another refusal may be final, and after an outage the time
// between grants says nothing of the capacity to come. Only while all targets have asked for
// a pause are they refused too, because their callers are told when it ends.
func (f *Fleet) Enqueue(r Request, maxWaiting int, maxWait time.Duration, now time.Time) *Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	accounts := f.fairnessOf(r.Service)
	t := &Ticket{request: r, tag: accounts.tag(r.Account, now), grant: make(chan *Lease, 1)}
	waiting, at := 0, len(f.queue)
	for n, other := range f.queue {
		if t.precedes(other) {
			at = min(at, n)
		} else if other.request.Service == r.Service {
			waiting++
		}
	}
	knowsWait := !r.PastGoal || f.waitForTarget(r.Service, now) > 0
	isTooLate := knowsWait && f.grantIntervalOf(r.Service, now).expectedWait(waiting, now) > maxWait
	if waiting >= maxWaiting || isTooLate {
		accounts.clock.Withdraw(r.Account, t.tag)
		return nil
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

// serveQueue grants leases in queue order. Once a request of a service gets no lease, those
// behind it that leave at least as large a reserve are skipped.
func (f *Fleet) serveQueue(now time.Time) {
	if len(f.queue) == 0 {
		return
	}
	fullFrom := map[string]float64{}
	f.queue = slices.DeleteFunc(f.queue, func(t *Ticket) bool {
		service, reserve := t.request.Service, f.reserveFor(t.request, now)
		if from, isFull := fullFrom[service]; isFull && reserve >= from {
			return false
		}
		l, _ := f.pick(t.request, now)
		if l == nil {
			fullFrom[service] = reserve
			return false
		}
		f.fairnessOf(service).admit(t.request.Account, t.tag, now)
		t.grant <- l
		return true
	})
}
