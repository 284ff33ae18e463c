package balance

import "time"

const (
	// briefOverload is how long a service refuses requests for lack of capacity before
	// the overload is expected to last.
	briefOverload = 300 * time.Millisecond
	// overloadEndTimeout is the time without such a refusal after which an overload
	// counts as ended.
	overloadEndTimeout = time.Second
	// maxRetryWaitFraction is the largest part of the time until their deadline that
	// callers wait before they retry, whatever they are told.
	maxRetryWaitFraction = 1.0 / 3
	// maxRetryWait is the longest time after which a caller is told to retry.
	maxRetryWait = 3 * time.Second
)

// Overload tracks a period in which a service refuses requests for lack of capacity, and
// determines when their callers should retry. A caller that returns during the same
// overload is refused for good. It is not safe for concurrent use.
type Overload struct{ start, lastRefusalAt time.Time }

// RecordRefusal records that a request was refused for lack of capacity. It reports whether
// an overload has begun with it.
func (o *Overload) RecordRefusal(now time.Time) bool {
	begins := now.Sub(o.lastRefusalAt) > overloadEndTimeout
	if begins {
		o.start = now
	}
	o.lastRefusalAt = now
	return begins
}

// RetryAfter returns the shortest and the longest time after which a caller refused now
// should be told to retry, given the time until its deadline. It returns false while the
// overload is brief or the deadline is not known: room is then expected soon. In a lasting
// overload callers are spread over the second half of the time for which they wait, since an
// answer past its goal is worth as much a second later.
func (o *Overload) RetryAfter(untilDeadline time.Duration, now time.Time) (soonest, latest time.Duration, lasts bool) {
	if now.Sub(o.start) < briefOverload || untilDeadline <= 0 {
		return 0, 0, false
	}
	latest = min(time.Duration(maxRetryWaitFraction*float64(untilDeadline)), maxRetryWait)
	return latest / 2, latest, true
}
