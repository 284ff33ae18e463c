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
	// Whole gets whether an answer came whole and is the request's own.
	Whole func(bool) bool
	// Drains gets whether a planned stop waits for requests in flight.
	Drains func(bool) bool
	// Newer compares the current revision with an offered one.
	Newer func(current, offered int64) bool
}

// DefaultGuards returns the guards as they run in production.
func DefaultGuards() Guards {
	same := func(b bool) bool { return b }
	return Guards{
		Effect: func(e refusal.Effect) refusal.Effect { return e },
		Whole:  same,
		Drains: same,
		Newer:  member.IsNewer,
	}
}
