package balance

import "time"

// Choice names the rule by which a request's target is chosen among those that
// have room.
type Choice string

const (
	// ShortestExpectedDelay takes the target of the group whose pauses are expected to be the
	// shortest, and of a plain service the one that works off its load first.
	ShortestExpectedDelay Choice = "pace"
	// LeastInFlight takes the target with the lowest load.
	LeastInFlight Choice = "least-in-flight"
	// TwoChoices takes the less loaded of two random targets.
	TwoChoices Choice = "two-choices"
	// AtRandom takes any target.
	AtRandom Choice = "random"
)

// SetChoice has targets chosen by another rule than ByPace, to compare with.
func (f *Fleet) SetChoice(c Choice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.choice = c
}

// choose takes one of the targets that have room; nil if there are none.
func (f *Fleet) choose(open []*member, n Request, now time.Time) *member {
	if len(open) == 0 {
		return nil
	}
	score := f.score
	switch f.choice {
	case LeastInFlight:
		score = f.byLoad
	case TwoChoices:
		open = []*member{f.any(open), f.any(open)}
		score = f.byLoad
	case AtRandom:
		return f.any(open)
	}
	best, least := open[0], score(open[0], n, now)
	for _, m := range open[1:] {
		if s := score(m, n, now); s < least {
			best, least = m, s
		}
	}
	return best
}

func (f *Fleet) any(open []*member) *member { return open[f.random.IntN(len(open))] }

func (f *Fleet) byLoad(m *member, _ Request, now time.Time) float64 {
	return float64(m.load(now)) + f.random.Float64()
}
