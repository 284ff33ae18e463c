package agent

import (
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/member"
)

// Guards are the decisions on which the guarantees of the agent depend. Each
// function receives a decision and returns the one to apply. A test variant of the
// agent has one guard disabled, to show that the test of its guarantee then fails.
type Guards struct {
	// BlockedReason receives why the agent accepts no new work, or "" if it does.
	BlockedReason func(refusal.Reason) refusal.Reason
	// MustClaim receives whether a request has to claim its key before it runs.
	MustClaim func(bool) bool
	// IsSettled receives whether claims can be relied on: the store was not restored just
	// now, nor since a claim was acknowledged.
	IsSettled func(bool) bool
	// IsInTime receives whether a request is within its deadline just before it runs.
	IsInTime func(bool) bool
	// Limit receives the limit that the target has reached by completed work, and the
	// limit of a warm target, both in units. It returns the limit to apply.
	Limit func(current, warm int) int
	// AnswerMatches receives whether an answer belongs to the request.
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
		IsSettled:     unchanged,
		IsInTime:      unchanged,
		Limit:         func(current, _ int) int { return current },
		AnswerMatches: unchanged,
		IsIdle:        unchanged,
		IsNewer:       member.IsNewer,
	}
}
