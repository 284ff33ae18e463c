package agent

import (
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/member"
)

// Guards are the decisions that carry the promises. Each field gets the
// decision that was made and returns the one that holds; a test switches a
// guard off by its field, to show that its checker notices.
type Guards struct {
	// BlockedReason gets why no new work is taken, or "".
	BlockedReason func(refusal.Reason) refusal.Reason
	// MustClaim gets whether a request is claimed before it runs.
	MustClaim func(bool) bool
	// IsInTime gets whether the deadline still lies ahead just before a run.
	IsInTime func(bool) bool
	// Limit gets the proven room at the target and the room of a warm one.
	Limit func(proven, warm int) int
	// IsOwnAnswer gets whether the target's answer belongs to the request.
	IsOwnAnswer func(bool) bool
	// IsIdle gets whether nothing is in flight, at a planned stop.
	IsIdle func(bool) bool
	// IsNewer compares the current revision with an offered one.
	IsNewer func(current, offered int64) bool
}

// DefaultGuards returns the guards as they run in production.
func DefaultGuards() Guards {
	same := func(b bool) bool { return b }
	return Guards{
		BlockedReason:   func(r refusal.Reason) refusal.Reason { return r },
		MustClaim:    same,
		IsInTime:    same,
		Limit:     func(proven, _ int) int { return proven },
		IsOwnAnswer: same,
		IsIdle:      same,
		IsNewer:     member.IsNewer,
	}
}
