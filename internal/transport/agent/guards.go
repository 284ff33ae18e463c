package agent

import (
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/member"
)

// Guards are the decisions on which the guarantees of the agent depend. Each
// function receives a decision and returns the one to apply. A test replaces a
// function to disable its guard, and shows that the test's checker then detects the
// violated guarantee.
type Guards struct {
	// BlockedReason receives why the agent accepts no new work, or "" if it does.
	BlockedReason func(refusal.Reason) refusal.Reason
	// MustClaim receives whether a request has to claim its key before it runs.
	MustClaim func(bool) bool
	// IsInTime receives whether a request is within its deadline just before it runs.
	IsInTime func(bool) bool
	// Limit receives the current limit of the target, up to which it has proven its
	// capacity, and the limit of a warm target, both in units. It returns the limit
	// to apply.
	Limit func(proven, warm int) int
	// AnswerMatches receives whether the target's answer belongs to the request.
	AnswerMatches func(bool) bool
	// IsIdle receives whether nothing is in flight during a drain.
	IsIdle func(bool) bool
	// IsNewer reports whether an offered revision replaces the current one.
	IsNewer func(current, offered int64) bool
}

// DefaultGuards returns the guards for production, which apply each decision
// unchanged.
func DefaultGuards() Guards {
	unchanged := func(b bool) bool { return b }
	return Guards{
		BlockedReason: func(r refusal.Reason) refusal.Reason { return r },
		MustClaim:     unchanged,
		IsInTime:      unchanged,
		Limit:         func(proven, _ int) int { return proven },
		AnswerMatches:   unchanged,
		IsIdle:        unchanged,
		IsNewer:       member.IsNewer,
	}
}
