package entry

import (
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/member"
)

// Guards are the safeguards behind the guarantees to callers. Each function receives a
// decision and returns the one to apply. A test variant disables one safeguard, to show
// that the test for its guarantee fails.
type Guards struct {
	// Effect receives whether an attempt without an answer may have run.
	Effect func(refusal.Effect) refusal.Effect
	// AnswerMatches receives whether an answer belongs to the request, and whether its
	// length and digest match.
	AnswerMatches func(bool) bool
	// MustDrain receives whether a planned stop waits for requests in flight.
	MustDrain func(bool) bool
	// IsNewer reports whether an offered revision replaces the current one.
	IsNewer func(current, offered int64) bool
}

// DefaultGuards returns the guards for production, with every safeguard enabled.
func DefaultGuards() Guards {
	same := func(b bool) bool { return b }
	return Guards{
		Effect:        func(e refusal.Effect) refusal.Effect { return e },
		AnswerMatches: same,
		MustDrain:        same,
		IsNewer:       member.IsNewer,
	}
}
