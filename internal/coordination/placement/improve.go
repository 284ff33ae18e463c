package placement

import (
	"slices"
	"time"

	"bluebellcrank/internal/state/expert"
)

const (
	// splitRounds is the maximum number of rounds in which the tokens of all
	// experts are split anew, and trialSplitRounds the maximum while moves are
	// compared.
	splitRounds      = 24
	trialSplitRounds = 4
	// acceptableSkew is the skew up to which nothing is moved.
	acceptableSkew = 1.04
	// minMoveGain is the smallest relative reduction of the slowest rank's time
	// for which a copy is moved.
	minMoveGain = 0.002
	// minRoundGain is the relative gain of a splitting round below which no
	// further round follows.
	minRoundGain = 0.00005
)

// Costs are the cost of moving a copy, the time over which a move has to pay
// off, and the maximum number of moves.
type Costs struct {
	moveTime time.Duration
	horizon  time.Duration
	maxMoves int
}

// NewCosts returns costs where moving one copy occupies the rank and the store
// that it loads weights from for moveTime, the gain lasts for the horizon, and
// one change moves at most maxMoves copies.
func NewCosts(moveTime, horizon time.Duration, maxMoves int) Costs {
	return Costs{moveTime: moveTime, horizon: horizon, maxMoves: maxMoves}
}

// Improve changes a map only as far as it pays off. It first splits tokens anew
// among the existing copies, which moves no weights. It then moves single
// copies away from the slowest rank, as long as the gain of each move over the
// horizon exceeds its cost. It reports whether the map changed.
func Improve(g Group, from *expert.Map, c Costs) (*expert.Map, bool) {
	before := g.SlowestTime(from)
	out := from.Clone()
	if g.Skew(from) <= acceptableSkew {
		return from, false
	}
	splitTokens(g, out, splitRounds)
	for range c.maxMoves {
		if g.Skew(out) <= acceptableSkew {
			break
		}
		next, gain := bestMove(g, out)
		if next == nil || gain < c.minGain() {
			break
		}
		splitTokens(g, next, splitRounds)
		out = next
	}
	if before-g.SlowestTime(out) < minMoveGain*before {
		return from, false
	}
	return out, true
}

// minGain returns the relative gain that one move must bring.
func (c Costs) minGain() float64 {
	return max(minMoveGain, float64(c.moveTime)/float64(c.horizon))
}

// splitTokens splits each expert's tokens among its copies so that the slowest
// of their ranks is as fast as possible. In each round it fills the ranks of
// one expert after another to a common level.
func splitTokens(g Group, m *expert.Map, rounds int) {
	load := m.RankLoads(g.popularity)
	for range rounds {
		before := maxTime(g.timesForLoad(load))
		for e := range m.Experts() {
			if list := m.Replicas(e); len(list) > 1 && g.popularity[e] > 0 {
				splitExpertTokens(g, m, e, load)
			}
		}
		if before-maxTime(g.timesForLoad(load)) < minRoundGain*before {
			return
		}
	}
}

// splitExpertTokens levels the times of the ranks that hold one expert; the
// tokens of all other experts stay where they are.
func splitExpertTokens(g Group, m *expert.Map, e int, load []float64) {
	list := m.Replicas(e)
	expertTokens := g.popularity[e]
	for _, r := range list {
		load[r.Rank] -= expertTokens * r.Share
	}
	level := fillLevel(g, list, load, expertTokens)
	sum := 0.0
	for i, r := range list {
		list[i].Share = max(0, level*g.speed[r.Rank]-load[r.Rank]) / expertTokens
		sum += list[i].Share
	}
	for i, r := range list {
		list[i].Share /= sum
		load[r.Rank] += expertTokens * list[i].Share
	}
}

// fillLevel returns the common time that the ranks of the list reach when they
// share the tokens; ranks that are already above that time get none.
func fillLevel(g Group, list []expert.Replica, load []float64, tokens float64) float64 {
	byTime := make([]expert.Replica, len(list))
	copy(byTime, list)
	slices.SortFunc(byTime, func(a, b expert.Replica) int {
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
	for i, r := range byTime {
		work += load[r.Rank]
		speed += g.speed[r.Rank]
		level = work / speed
		if i+1 < len(byTime) && level <= load[byTime[i+1].Rank]/g.speed[byTime[i+1].Rank] {
			break
		}
	}
	return level
}

// bestMove returns the map after the move that shortens the slowest rank's time
// most, and the relative gain; nil if no move helps.
func bestMove(g Group, m *expert.Map) (*expert.Map, float64) {
	times := g.times(m)
	slow := indexOfMax(times)
	before := times[slow]
	var best *expert.Map
	bestAfter := before
	for _, e := range heaviestExperts(g, m, slow) {
		for _, to := range fastestRanks(times) {
			if m.Holds(e, to) {
				continue
			}
			next := withCopy(g, m, e, slow, to)
			if next == nil {
				continue
			}
			if after := maxTime(g.times(next)); after < bestAfter {
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
	// maxExpertsTried and maxRanksTried limit the moves that are compared.
	maxExpertsTried = 2
	maxRanksTried   = 6
)

func indexOfMax(times []float64) int {
	slow := 0
	for r, t := range times {
		if t > times[slow] {
			slow = r
		}
	}
	return slow
}

func maxTime(times []float64) float64 { return times[indexOfMax(times)] }

// heaviestExperts returns the experts that bring the most tokens to a rank.
func heaviestExperts(g Group, m *expert.Map, rank int) []int {
	var experts []int
	tokens := make([]float64, m.Experts())
	for e := range m.Experts() {
		for _, r := range m.Replicas(e) {
			if r.Rank == rank {
				experts = append(experts, e)
				tokens[e] = g.popularity[e] * r.Share
			}
		}
	}
	slices.SortFunc(experts, func(a, b int) int {
		if tokens[a] > tokens[b] {
			return -1
		}
		return 1
	})
	return experts[:min(len(experts), maxExpertsTried)]
}

// fastestRanks returns the ranks with the shortest times.
func fastestRanks(times []float64) []int {
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
	return ranks[:min(len(ranks), maxRanksTried)]
}

// withCopy returns the map with a copy of expert e on rank to: in a free slot,
// in place of the copy with the smallest share of its expert's tokens, among the
// experts there that have other copies, or in exchange for the lightest expert
// of that rank, which moves to rank from. It returns nil if no such exchange is
// possible.
func withCopy(g Group, m *expert.Map, e, from, to int) *expert.Map {
	next := m.Clone()
	switch hasFree, spare := findSlot(next, to); {
	case hasFree:
		next.SetReplicas(e, append(next.Replicas(e), expert.Replica{Rank: to}))
	case spare >= 0:
		dropCopy(next, spare, to)
		next.SetReplicas(e, append(next.Replicas(e), expert.Replica{Rank: to}))
	default:
		light := lightestExpert(g, next, to)
		if light < 0 || next.Holds(light, from) {
			return nil
		}
		swapExperts(next, e, from, light, to)
	}
	splitTokens(g, next, trialSplitRounds)
	return next
}

// findSlot reports whether a rank has a free slot. It also returns the expert
// whose copy on the rank has the smallest share of its tokens, among the
// experts that have other copies; -1 if there is none.
func findSlot(m *expert.Map, rank int) (hasFree bool, spare int) {
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

// dropCopy removes a copy and divides its share among the other copies.
func dropCopy(m *expert.Map, e, rank int) {
	var kept []expert.Replica
	droppedShare := 0.0
	for _, r := range m.Replicas(e) {
		if r.Rank == rank {
			droppedShare = r.Share
			continue
		}
		kept = append(kept, r)
	}
	for i := range kept {
		kept[i].Share += droppedShare / float64(len(kept))
	}
	m.SetReplicas(e, kept)
}

// lightestExpert returns the expert that brings the fewest tokens to a rank, or
// -1 if the rank holds none.
func lightestExpert(g Group, m *expert.Map, rank int) int {
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

// swapExperts moves expert a from rank from to rank to, and expert b the other
// way.
func swapExperts(m *expert.Map, a, from, b, to int) {
	moveCopy(m, a, from, to)
	moveCopy(m, b, to, from)
}

func moveCopy(m *expert.Map, e, from, to int) {
	list := slices.Clone(m.Replicas(e))
	for i := range list {
		if list[i].Rank == from {
			list[i].Rank = to
		}
	}
	m.SetReplicas(e, list)
}
