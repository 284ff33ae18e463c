package balance

import "time"

const (
	// outageUsual is how long targets that were all lost together are usually
	// away from an entry's first sight of it: a process starts within a second,
	// and a rank group forms within another.
	outageUsual = 2 * time.Second
	// outageSpread is the time over which callers are asked back once targets
	// are expected.
	outageSpread = 1400 * time.Millisecond
	// outageAgain is the time after which callers of a longer outage are asked
	// back, from which on they are spread.
	outageAgain = 1200 * time.Millisecond
	// outageOver is the time without a word of it after which an outage has
	// ended.
	outageOver = time.Second
)

// Outage is the time for which a service has no targets. It answers the callers
// that are refused meanwhile: those that are asked back before targets return
// have lost an attempt. It is not safe for concurrent use.
type Outage struct{ since, seen time.Time }

// RecordNoTarget takes that no target was there.
func (o *Outage) RecordNoTarget(now time.Time) {
	if now.Sub(o.seen) > outageOver {
		o.since = now
	}
	o.seen = now
}

// RetryAfter returns the bounds of the time after which a caller that is
// refused now is asked back.
func (o *Outage) RetryAfter(now time.Time) (soonest, latest time.Duration) {
	soonest = outageUsual - now.Sub(o.since)
	if soonest < 0 {
		soonest = outageAgain
	}
	return soonest, soonest + outageSpread
}
