package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// minPaceRatio is the ratio of two paces below which they count as equal, so that
	// measurement noise of the engines moves no experts.
	minPaceRatio = 1.25
	// MaxPace is the pace that counts instead of a higher one. At 100 a rank gets
	// practically no tokens.
	MaxPace = 100
	// restoreDuration is how long the map is changed back after the pace of a rank has
	// improved. A rank of 12 layer sets with 4 experts each loads 48 experts, which takes
	// 7 s at 150 ms each, if no shift of the popularity comes between.
	restoreDuration = 30 * time.Second
)

// PaceChange is a change of a rank's pace that plans take into account.
type PaceChange struct {
	Rank int
	// Before is the pace that counted until now, and Pace the one that counts instead.
	Before, Pace float64
}

// Paces decides which of the paces that the engines of a group report count for plans:
// 1 is the normal pace, and 4 that of an engine that is four times slower. The zero
// value is ready to use. It is not safe for concurrent use.
type Paces struct {
	// current are the paces that count.
	current []float64
	// previous are the paces of the latest sample.
	previous []float64
	// recoveredAt is when the pace of each rank last improved; zero if it got worse since
	// or never changed.
	recoveredAt []time.Time
}

// ValidPace returns the pace that counts for a reported one, and reports whether the
// reported one is a valid pace or missing, which is 0. A pace below minPaceRatio counts
// as 1, also one below 1: it has no meaning in the platform's report, and a small one
// would attract all tokens.
func ValidPace(reported float64) (pace float64, valid bool) {
	switch {
	case math.IsNaN(reported) || reported < 0:
		return 1, false
	case reported > MaxPace:
		return MaxPace, false
	case reported < minPaceRatio:
		return 1, true
	}
	return reported, true
}

// Record records the reported paces of a sample by rank, and returns the changes that
// count from now on. A change counts once two samples in a row show it; of their paces,
// the one closer to the pace before counts. Another number of ranks is another group,
// whose ranks start at the normal pace.
func (p *Paces) Record(reported []float64, now time.Time) []PaceChange {
	if len(reported) != len(p.current) {
		p.current, p.previous = slices.Repeat([]float64{1}, len(reported)), slices.Repeat([]float64{1}, len(reported))
		p.recoveredAt = make([]time.Time, len(reported))
	}
	var changes []PaceChange
	for r, raw := range reported {
		pace, _ := ValidPace(raw)
		before, next := p.current[r], p.current[r]
		switch previous := p.previous[r]; {
		case min(pace, previous) >= minPaceRatio*before:
			next = min(pace, previous)
		case max(pace, previous) <= before/minPaceRatio:
			next = max(pace, previous)
		}
		p.previous[r] = pace
		if next == before {
			continue
		}
		p.current[r], p.recoveredAt[r] = next, time.Time{}
		if next < before {
			p.recoveredAt[r] = now
		}
		changes = append(changes, PaceChange{Rank: r, Before: before, Pace: next})
	}
	return changes
}

// Current returns the paces that count, by rank.
func (p *Paces) Current() []float64 { return slices.Clone(p.current) }

// Speeds returns the speed of each rank relative to the fastest one. Ranks that are slow
// alike have the speed 1.
func (p *Paces) Speeds() []float64 {
	speeds := slices.Repeat([]float64{1}, len(p.current))
	for r, pace := range p.current {
		if ratio := pace / slices.Min(p.current); ratio >= minPaceRatio {
			speeds[r] = 1 / ratio
		}
	}
	return speeds
}

// Recovered returns the ranks whose pace has improved recently, for Restore.
func (p *Paces) Recovered(now time.Time) []int {
	var ranks []int
	for r, at := range p.recoveredAt {
		if !at.IsZero() && now.Sub(at) < restoreDuration {
			ranks = append(ranks, r)
		}
	}
	return ranks
}
