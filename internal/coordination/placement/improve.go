package placement

import (
	"slices"
	"time"

	"bluebellcrank/internal/state/expert"
)

const (
	// splitRounds is how often the parts of all experts are shared anew, and
	// trialRounds how often while moves are compared.
	splitRounds = 24
	trialRounds = 4
	// enough is the skew below which nothing is moved.
	enough = 1.04
	// gainPerMove is the least relative gain of the slowest rank's time for
	// which one expert copy is moved at all.
	gainPerMove = 0.002
	// settled is the relative gain of a round below which no other follows.
	settled = 0.00005
)

// Costs are what a move costs against what it gains.
type Costs struct {
	perMove time.Duration
	horizon time.Duration
	most    int
}

// NewCosts returns costs: moving one copy takes the weight store and the rank
// perMove, the gain lasts for the horizon, and at most so many copies move in
// one change.
func NewCosts(perMove, horizon time.Duration, most int) Costs {
	return Costs{perMove: perMove, horizon: horizon, most: most}
}

// Improve changes a map as little as pays: first by sharing tokens anew among
// the copies that are there, which moves no weights; then by moving single
// copies from the slowest rank, for as long as each one's gain over the
// horizon is worth its move. It reports whether the map changed.
func Improve(g Group, from *expert.Map, c Costs) (*expert.Map, bool) {
	before := g.SlowestTime(from)
	out := from.Clone()
	if g.Skew(from) <= enough {
		return from, false
	}
	split(g, out, splitRounds)
	for range c.most {
		if g.Skew(out) <= enough {
			break
		}
		next, gain := bestMove(g, out)
		if next == nil || gain < c.least() {
			break
		}
		split(g, next, splitRounds)
		out = next
	}
	if before-g.SlowestTime(out) < gainPerMove*before {
		return from, false
	}
	return out, true
}

// least is the relative gain that one move must bring.
func (c Costs) least() float64 {
	return max(gainPerMove, float64(c.perMove)/float64(c.horizon))
}

// split shares each expert's tokens among its copies so that the slowest of
// their ranks is as fast as it can be: a few rounds of filling the ranks of
// one expert after another to a common level.
func split(g Group, m *expert.Map, rounds int) {
	load := m.RankLoads(g.popularity)
	for range rounds {
		before := maxOf(g.over(load))
		for e := range m.Experts() {
			if list := m.Replicas(e); len(list) > 1 && g.popularity[e] > 0 {
				splitOne(g, m, e, load)
			}
		}
		if before-maxOf(g.over(load)) < settled*before {
			return
		}
	}
}

// splitOne levels the ranks of one expert, the others' tokens staying.
func splitOne(g Group, m *expert.Map, e int, load []float64) {
	list := m.Replicas(e)
	tokens := g.popularity[e]
	for _, r := range list {
		load[r.Rank] -= tokens * r.Share
	}
	level := fill(g, list, load, tokens)
	sum := 0.0
	for i, r := range list {
		list[i].Share = max(0, level*g.speed[r.Rank]-load[r.Rank]) / tokens
		sum += list[i].Share
	}
	for i, r := range list {
		list[i].Share /= sum
		load[r.Rank] += tokens * list[i].Share
	}
}

// fill returns the time up to which the ranks take the tokens.
func fill(g Group, list []expert.Replica, load []float64, tokens float64) float64 {
	order := make([]expert.Replica, len(list))
	copy(order, list)
	slices.SortFunc(order, func(a, b expert.Replica) int {
		x, y := load[a.Rank]/g.speed[a.Rank], load[b.Rank]/g.speed[b.Rank]
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return a.Rank - b.Rank
	})
	work, speed := tokens, 0.0
	level := 0.0
	for i, r := range order {
		work += load[r.Rank]
		speed += g.speed[r.Rank]
		level = work / speed
		if i+1 < len(order) && level <= load[order[i+1].Rank]/g.speed[order[i+1].Rank] {
			break
		}
	}
	return level
}

// bestMove returns the map after the one move that helps the slowest rank
// most, and its relative gain.
func bestMove(g Group, m *expert.Map) (*expert.Map, float64) {
	times := g.times(m)
	slow := slowestOf(times)
	before := times[slow]
	var best *expert.Map
	bestAfter := before
	for _, e := range heaviest(g, m, slow) {
		for _, to := range coolest(times) {
			if m.Holds(e, to) {
				continue
			}
			next := withCopy(g, m, e, slow, to)
			if next == nil {
				continue
			}
			if after := maxOf(g.times(next)); after < bestAfter {
				best, bestAfter = next, after
			}
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, (before - bestAfter) / before
}

const (
	// expertsTried and ranksTried bound the moves that are compared.
	expertsTried = 2
	ranksTried   = 6
)

func slowestOf(times []float64) int {
	slow := 0
	for r, t := range times {
		if t > times[slow] {
			slow = r
		}
	}
	return slow
}

func maxOf(times []float64) float64 { return times[slowestOf(times)] }

// heaviest are the experts that bring a rank most tokens.
func heaviest(g Group, m *expert.Map, rank int) []int {
	var on []int
	tokens := make([]float64, m.Experts())
	for e := range m.Experts() {
		for _, r := range m.Replicas(e) {
			if r.Rank == rank {
				on = append(on, e)
				tokens[e] = g.popularity[e] * r.Share
			}
		}
	}
	slices.SortFunc(on, func(a, b int) int {
		if tokens[a] > tokens[b] {
			return -1
		}
		return 1
	})
	return on[:min(len(on), expertsTried)]
}

// coolest are the ranks with the shortest times.
func coolest(times []float64) []int {
	ranks := make([]int, len(times))
	for r := range ranks {
		ranks[r] = r
	}
	slices.SortStableFunc(ranks, func(a, b int) int {
		if times[a] < times[b] {
			return -1
		}
		if times[a] > times[b] {
			return 1
		}
		return 0
	})
	return ranks[:min(len(ranks), ranksTried)]
}

// withCopy gives a rank a copy of an expert, in a free slot, in that of a
// copy that is hardly used, or in exchange for a light expert of the rank
// that is to be relieved.
func withCopy(g Group, m *expert.Map, e, from, to int) *expert.Map {
	next := m.Clone()
	switch free, spare := room(next, to); {
	case free:
		next.SetReplicas(e, append(next.Replicas(e), expert.Replica{Rank: to}))
	case spare >= 0:
		drop(next, spare, to)
		next.SetReplicas(e, append(next.Replicas(e), expert.Replica{Rank: to}))
	default:
		light := lightest(g, next, to)
		if light < 0 || next.Holds(light, from) {
			return nil
		}
		exchange(next, e, from, light, to)
	}
	split(g, next, trialRounds)
	return next
}

// room reports whether a rank has a free slot, or else an expert there that
// has other copies and hardly uses this one.
func room(m *expert.Map, rank int) (free bool, spare int) {
	used := 0
	spare = -1
	least := 2.0
	for e := range m.Experts() {
		for _, r := range m.Replicas(e) {
			if r.Rank != rank {
				continue
			}
			used++
			if len(m.Replicas(e)) > 1 && r.Share < least {
				spare, least = e, r.Share
			}
		}
	}
	return used < m.Slots(), spare
}

// drop takes a copy away and gives its part to the others.
func drop(m *expert.Map, e, rank int) {
	var kept []expert.Replica
	lost := 0.0
	for _, r := range m.Replicas(e) {
		if r.Rank == rank {
			lost = r.Share
			continue
		}
		kept = append(kept, r)
	}
	for i := range kept {
		kept[i].Share += lost / float64(len(kept))
	}
	m.SetReplicas(e, kept)
}

// lightest is the expert that brings a rank fewest tokens.
func lightest(g Group, m *expert.Map, rank int) int {
	best, least := -1, 0.0
	for e := range m.Experts() {
		for _, r := range m.Replicas(e) {
			if t := g.popularity[e] * r.Share; r.Rank == rank && (best < 0 || t < least) {
				best, least = e, t
			}
		}
	}
	return best
}

// exchange moves expert a from one rank to another and b the other way.
func exchange(m *expert.Map, a, from, b, to int) {
	replace(m, a, from, to)
	replace(m, b, to, from)
}

func replace(m *expert.Map, e, from, to int) {
	list := slices.Clone(m.Replicas(e))
	for i := range list {
		if list[i].Rank == from {
			list[i].Rank = to
		}
	}
	m.SetReplicas(e, list)
}
