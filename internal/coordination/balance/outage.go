package balance

import "time"

const (
	// typicalOutage is how long an outage usually lasts after an entry first
	// notices that all targets are gone: a process starts within a second, and a
	// rank group forms within another.
	typicalOutage = 2 * time.Second
	// retryWindow is the time over which retries are spread once targets are
	// expected.
	retryWindow = 1400 * time.Millisecond
	// longOutageRetryDelay is the shortest time after which callers are told to
	// retry once an outage has lasted longer than typicalOutage.
	longOutageRetryDelay = 1200 * time.Millisecond
	// outageEndTimeout is the time without a request that finds no target after
	// which an outage counts as ended.
	outageEndTimeout = time.Second
)

// Outage tracks a period in which a service has no targets, and determines when
// the callers refused meanwhile should retry. A caller that retries before the
// targets return has wasted an attempt. It is not safe for concurrent use.
type Outage struct{ start, lastNoTargetAt time.Time }

// RecordNoTarget records that a request found no target.
func (o *Outage) RecordNoTarget(now time.Time) {
	if now.Sub(o.lastNoTargetAt) > outageEndTimeout {
		o.start = now
	}
	o.lastNoTargetAt = now
}

// Remaining returns the time until the outage is expected to end, and false if it has
// lasted longer than usual.
func (o *Outage) Remaining(now time.Time) (time.Duration, bool) {
	remaining := typicalOutage - now.Sub(o.start)
	return remaining, remaining >= 0
}

// RetryAfter returns the shortest and the longest time after which a caller
// refused now should be told to retry.
func (o *Outage) RetryAfter(now time.Time) (soonest, latest time.Duration) {
	soonest = typicalOutage - now.Sub(o.start)
	if soonest < 0 {
		soonest = longOutageRetryDelay
	}
	return soonest, soonest + retryWindow
}
