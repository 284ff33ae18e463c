package placement

import "bluebellcrank/internal/state/expert"

// Group describes a rank group for a placement decision: the fraction of all
// tokens that each expert receives, and the speed of each rank, 1 for a healthy
// one.
type Group struct {
	popularity []float64
	speed      []float64
}

// NewGroup returns a group. It retains the slices, and does not change them.
func NewGroup(popularity, speed []float64) Group {
	return Group{popularity: popularity, speed: speed}
}

// times returns each rank's time for a step, up to a common factor.
func (g Group) times(m *expert.Map) []float64 {
	return g.timesForLoad(m.RankLoads(g.popularity))
}

// timesForLoad converts the ranks' loads into times.
func (g Group) timesForLoad(load []float64) []float64 {
	times := make([]float64, len(load))
	for r := range times {
		times[r] = load[r] / g.speed[r]
	}
	return times
}

// Skew returns the slowest rank's step time divided by the mean over all ranks.
func (g Group) Skew(m *expert.Map) float64 {
	times := g.times(m)
	sum, slowest := 0.0, 0.0
	for _, t := range times {
		sum += t
		slowest = max(slowest, t)
	}
	if sum == 0 {
		return 1
	}
	return slowest * float64(len(times)) / sum
}

// SlowestTime returns the slowest rank's step time, where 1 is the time of
// perfectly balanced work on healthy ranks.
func (g Group) SlowestTime(m *expert.Map) float64 {
	slowest := 0.0
	for _, t := range g.times(m) {
		slowest = max(slowest, t)
	}
	return slowest * float64(m.Ranks())
}
