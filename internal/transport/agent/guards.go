package agent

import (
	"time"

	"bluebellcrank/internal/coordination/claim"
	"bluebellcrank/internal/state/refusal"
)

// Guards are the checks that carry the promises. They are function fields so
// that a test can switch one off and show that its checker notices.
type Guards struct {
	// blocked says why the process takes no new work.
	blocked func(a *Agent, now time.Time) refusal.Reason
	// mayRun is the last look at a claim before the target sees the request.
	mayRun func(c *claim.Claim, now time.Time) bool
	// claims reports whether a keyed request is claimed before it runs.
	claims func() bool
	// limit is the room at the target.
	limit func(a *Agent) int
}

// DefaultGuards returns the guards as they run in production.
func DefaultGuards() Guards {
	return Guards{
		blocked: func(a *Agent, now time.Time) refusal.Reason { return a.blocked(now) },
		mayRun:  func(c *claim.Claim, now time.Time) bool { return c.MayRun(now) },
		claims:  func() bool { return true },
		limit:   func(a *Agent) int { return a.warmth.Limit() },
	}
}
