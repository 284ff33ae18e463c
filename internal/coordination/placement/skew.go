package placement

import "bluebellcrank/internal/state/expert"

// Group is what a decision knows of a rank group: the part of all tokens that
// each expert gets, and the speed of each rank, 1 for a sound one.
type Group struct {
	popularity []float64
	speed      []float64
}

// NewGroup returns a group; the slices are not changed.
func NewGroup(popularity, speed []float64) Group {
	return Group{popularity: popularity, speed: speed}
}

// times returns each rank's time for a step, up to a common factor.
func (g Group) times(m *expert.Map) []float64 {
	return g.over(m.RankLoads(g.popularity))
}

// over turns the ranks' loads into times.
func (g Group) over(load []float64) []float64 {
	out := make([]float64, len(load))
	for r := range out {
		out[r] = load[r] / g.speed[r]
	}
	return out
}

// Skew returns the step time of the slowest rank over the mean.
func (g Group) Skew(m *expert.Map) float64 {
	times := g.times(m)
	sum, most := 0.0, 0.0
	for _, t := range times {
		sum += t
		most = max(most, t)
	}
	if sum == 0 {
		return 1
	}
	return most * float64(len(times)) / sum
}

// SlowestTime returns the step time of the slowest rank, where 1 is the time of
// perfectly shared work on sound ranks.
func (g Group) SlowestTime(m *expert.Map) float64 {
	most := 0.0
	for _, t := range g.times(m) {
		most = max(most, t)
	}
	return most * float64(m.Ranks())
}
