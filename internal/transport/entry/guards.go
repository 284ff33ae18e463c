package entry

import (
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/member"
)

// Guards are the decisions that carry the promises. Each field gets the
// decision that was made and returns the one that holds; a test switches a
// guard off by its field, to show that its checker notices.
type Guards struct {
	// Effect gets what is known of an attempt whose answer does not come.
	Effect func(refusal.Effect) refusal.Effect
	// AnswerMatches gets whether an answer came whole and is the request's own.
	AnswerMatches func(bool) bool
	// Drains gets whether a planned stop waits for requests in flight.
	Drains func(bool) bool
	// IsNewer compares the current revision with an offered one.
	IsNewer func(current, offered int64) bool
}

// DefaultGuards returns the guards as they run in production.
func DefaultGuards() Guards {
	same := func(b bool) bool { return b }
	return Guards{
		Effect: func(e refusal.Effect) refusal.Effect { return e },
		AnswerMatches:  same,
		Drains: same,
		IsNewer:  member.IsNewer,
	}
}
