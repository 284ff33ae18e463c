package agent

import (
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/member"
)

// Guards are the decisions that carry the promises. Each field gets the
// decision that was made and returns the one that holds; a test switches a
// guard off by its field, to show that its checker notices.
type Guards struct {
	// Blocked gets why no new work is taken, or "".
	Blocked func(refusal.Reason) refusal.Reason
	// Claims gets whether a request is claimed before it runs.
	Claims func(bool) bool
	// InTime gets whether the deadline still lies ahead just before a run.
	InTime func(bool) bool
	// Limit gets the proven room at the target and the room of a warm one.
	Limit func(proven, warm int) int
	// OwnAnswer gets whether the target's answer belongs to the request.
	OwnAnswer func(bool) bool
	// Idle gets whether nothing is in flight, at a planned stop.
	Idle func(bool) bool
	// Newer compares the current revision with an offered one.
	Newer func(current, offered int64) bool
}

// DefaultGuards returns the guards as they run in production.
func DefaultGuards() Guards {
	same := func(b bool) bool { return b }
	return Guards{
		Blocked:   func(r refusal.Reason) refusal.Reason { return r },
		Claims:    same,
		InTime:    same,
		Limit:     func(proven, _ int) int { return proven },
		OwnAnswer: same,
		Idle:      same,
		Newer:     member.IsNewer,
	}
}
