package entry

import (
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/member"
)

// Guards are the decisions on which the guarantees of the entry depend. Each function
// receives a decision and returns the one to apply. A test variant of the entry has one
// guard disabled, to show that the test of its guarantee then fails.
type Guards struct {
	// Effect receives the effect that is reported for a request that may have run.
	Effect func(refusal.Effect) refusal.Effect
	// AnswerMatches receives whether an answer belongs to the request, and whether its
	// length and digest match.
	AnswerMatches func(bool) bool
	// MustDrain receives whether a planned stop has to wait for requests in flight.
	MustDrain func(bool) bool
	// IsNewer reports whether an offered revision replaces the current one.
	IsNewer func(current, offered int64) bool
}

// DefaultGuards returns the guards for production, which apply each decision
// unchanged.
func DefaultGuards() Guards {
	unchanged := func(b bool) bool { return b }
	return Guards{
		Effect:        func(e refusal.Effect) refusal.Effect { return e },
		AnswerMatches: unchanged,
		MustDrain:     unchanged,
		IsNewer:       member.IsNewer,
	}
}
