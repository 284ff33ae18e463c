package balance

import "time"

// Choice names the rule by which a target is chosen among those with capacity.
type Choice string

const (
	// ShortestExpectedDelay chooses, for a stream, a target in the group with the
	// lowest expected step time and, for a request to a plain service, the target
	// with the shortest expected time to finish its requests in flight.
	ShortestExpectedDelay Choice = "pace"
	// LeastInFlight chooses the target with the lowest load.
	LeastInFlight Choice = "least-in-flight"
	// TwoChoices chooses the less loaded of two random targets.
	TwoChoices Choice = "two-choices"
	// AtRandom chooses any target with equal probability.
	AtRandom Choice = "random"
)

// SetChoice sets the rule by which targets are chosen. Without a call it is
// ShortestExpectedDelay; the others serve for comparison.
func (f *Fleet) SetChoice(c Choice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.choice = c
}

// choose returns the best of the candidates by the fleet's rule, or nil if there
// are none.
func (f *Fleet) choose(candidates []*member, r Request, now time.Time) *member {
	if len(candidates) == 0 {
		return nil
	}
	score := f.delayScore
	switch f.choice {
	case LeastInFlight:
		score = f.loadScore
	case TwoChoices:
		candidates = []*member{f.randomMember(candidates), f.randomMember(candidates)}
		score = f.loadScore
	case AtRandom:
		return f.randomMember(candidates)
	}
	best, bestScore := candidates[0], score(candidates[0], r, now)
	for _, m := range candidates[1:] {
		if s := score(m, r, now); s < bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

func (f *Fleet) randomMember(candidates []*member) *member {
	return candidates[f.random.IntN(len(candidates))]
}

// loadScore is the number of requests in flight, with ties broken at random.
func (f *Fleet) loadScore(m *member, _ Request, now time.Time) float64 {
	return float64(m.load(now)) + f.random.Float64()
}
