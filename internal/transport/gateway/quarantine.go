package gateway

import (
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/coordination/quarantine"
	"bluebellcrank/internal/coordination/retry"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/internal/transport/upstream"
)

// provenEvents is the number of events after which a stream does not count as the cause
// if its target ends: a request that crashes targets does so as they begin to answer.
const provenEvents = 3

// newSuspect returns what the request is blamed for if its target ends.
func (x *exchange) newSuspect() quarantine.Suspect {
	s := quarantine.Suspect{
		Request: quarantine.Key(retry.Fingerprint(x.account, x.route.Host, x.request.Method, x.request.RequestURI, x.body)),
	}
	// The last part is the request's or its session's own.
	if parts := x.client.PromptParts; len(parts) > 1 {
		s.Parts = lo.Map(lo.Uniq(parts[:len(parts)-1]), func(part string, _ int) quarantine.Key {
			return quarantine.PartKey(x.service, part)
		})
	}
	return s
}

// quarantineWait returns how much longer the request must not be sent to a target. If
// it returns 0, the request must be sent at once.
func (x *exchange) quarantineWait() time.Duration {
	wait := x.gateway.quarantine.admit(x.suspect, process.BootTime())
	if wait > 0 {
		x.gateway.metrics.quarantined.Inc()
	}
	return wait
}

// recordProof records that the current target has answered and did not end.
func (x *exchange) recordProof() {
	x.gateway.quarantine.recordAnswer(x.suspect, process.BootTime())
}

// recordEnd finds out whether the target of a failed attempt has ended, and blames the
// request if it may be the cause: the target broke the connection while the answer had
// hardly begun, and refuses new ones. A target that is cut off refuses none, and one that
// lives accepts them.
func (x *exchange) recordEnd(lease *balance.Lease, err error) bool {
	if x.attemptEvents >= provenEvents || !x.mayHaveRun || !upstream.IsBrokenByTarget(err) {
		return false
	}
	if !x.gateway.pool.IsRefused(x.request.Context(), lease.Target().Address) {
		return false
	}
	x.gateway.metrics.targetsEnded.Inc()
	x.gateway.quarantine.recordCrash(x.suspect, x.hasAttemptBegun, process.BootTime())
	return true
}
