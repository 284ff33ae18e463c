package gateway

import (
	"time"

	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/process"
)

// The criteria by which a request is recognized that was refused before.
const (
	byRecord   = "record"
	byDeadline = "deadline"
)

// callerReturn is what is known of an earlier attempt at a request; it is the zero value for
// a first attempt.
type callerReturn struct {
	// criterion is byRecord or byDeadline.
	criterion string
	// refusedBy is the entry that refused the first attempt, and after the time since its
	// arrival. Both are known from a record only.
	refusedBy string
	after     time.Duration
}

// logFields returns the fields of the log line of a request that has ended.
func (r callerReturn) logFields() []any {
	switch r.criterion {
	case byRecord:
		return []any{"returned", r.criterion, "refused-by", r.refusedBy, "returned-after-ms", r.after.Milliseconds()}
	case byDeadline:
		return []any{"returned", r.criterion}
	}
	return nil
}

// fingerprint identifies the request; all attempts at it have the same one. It is the key
// under which the request may be quarantined, and thus known without another pass over the
// body. It has the host in place of the service, since each attempt at a route that is split
// among services may get another one.
func (x *exchange) fingerprint() uint64 { return uint64(x.suspect.Request) }

// recognizeReturn finds out whether the request was refused before. The latency goal of one
// that is recorded counts from the arrival of its first attempt. A short deadline, the
// second criterion, does not give that time.
func (x *exchange) recognizeReturn(hasShortDeadline bool) {
	g := x.gateway
	refusedBy, after, found := g.refusals.takeReturn(x.fingerprint(), x.route.Timeout, x.arrivedAt)
	switch {
	case found:
		x.isRepeated = true
		x.latencyGoal = x.latencyGoal.Add(-after)
		x.earlier = callerReturn{criterion: byRecord, refusedBy: refusedBy, after: after}
		g.metrics.returnsByRecord.Inc()
	case hasShortDeadline:
		x.earlier = callerReturn{criterion: byDeadline}
		g.metrics.returnsByDeadline.Inc()
	}
}

// recordRefusal records that the request is refused, if that is for lack of capacity or of
// targets, so that it is recognized when its caller retries.
func (x *exchange) recordRefusal(reason refusal.Reason) {
	switch reason {
	case refusal.Full, refusal.NoTarget, refusal.TargetDown:
	default:
		return
	}
	if x.suspect.Request == 0 {
		return // a route without a service: refused before the body was read
	}
	x.gateway.refusals.record(x.fingerprint(), x.arrivedAt-x.earlier.after, process.BootTime())
}
