package placement

import (
	"cmp"
	"slices"
	"time"

	"bluebellcrank/internal/state/expert"
)

const (
	// restoredLoad is the fraction of its share of the tokens up to which Restore gives a
	// rank more of them.
	restoredLoad = 0.95
	// maxRestoreTime bounds the time for the copies that one change of Restore loads on
	// a rank, so that the change delays the answer to a shift of the popularity little.
	maxRestoreTime = 600 * time.Millisecond
	// maxRestoredRanks bounds the ranks that one change gives more tokens, and thereby the
	// time of planning.
	maxRestoredRanks = 8
)

// Restore returns a layout that gives more tokens to ranks whose speed has improved, up
// to the share that their speed gives them. Rebalance only relieves the most
// loaded ranks and expects each change to save 3 % within a few seconds; the tokens of a
// slow rank are spread over so many others that it leaves them there. No move raises the
// time of a layer set's slowest rank. It reports false if there is nothing to restore.
func Restore(from expert.Layout, popularity [][]float64, speed []float64, recovered []int, params RebalanceParams) (expert.Layout, bool) {
	p := newCopyPlanner(from, popularity, speed, params)
	enough := restoredLoad / totalSpeed(speed, len(p.loadCounts))
	meanTime := func(r int) float64 {
		sum := 0.0
		for _, b := range p.sets {
			sum += b.rankTime(r)
		}
		return sum / float64(len(p.sets))
	}
	ranks := slices.DeleteFunc(slices.Clone(recovered), func(r int) bool { return meanTime(r) >= enough })
	slices.SortStableFunc(ranks, func(x, y int) int { return cmp.Compare(meanTime(x), meanTime(y)) })
	ranks = ranks[:min(len(ranks), maxRestoredRanks)]
	maxLoads := params.MaxLoadsPerSet * len(from)
	if params.CopyTime > 0 {
		maxLoads = max(1, min(maxLoads, int(maxRestoreTime/params.CopyTime)))
	}
	changed := false
	for _, r := range ranks {
		changed = p.restoreRank(r, enough, maxLoads) || changed
	}
	return p.layout(), changed
}

// totalSpeed returns the sum of the ranks' speeds. Its inverse is the time of each rank
// if the tokens are shared in proportion to the speeds.
func totalSpeed(speed []float64, ranks int) float64 {
	if speed == nil {
		return float64(ranks)
	}
	sum := 0.0
	for _, v := range speed {
		sum += v
	}
	return sum
}

// restoreRank places up to maxLoads copies on a rank, each in the layer set in which the
// rank has the fewest tokens; enough is the time of the rank from which a set needs none.
// It reports whether it placed any.
func (p *copyPlanner) restoreRank(rank int, enough float64, maxLoads int) bool {
	sets := slices.Clone(p.sets)
	for p.loadCounts[rank] < maxLoads {
		sets = slices.DeleteFunc(sets, func(b *setBalance) bool {
			return b.rankTime(rank) >= enough || b.newCopyCount[rank] >= p.params.MaxLoadsPerSet
		})
		if len(sets) == 0 {
			break
		}
		b := slices.MinFunc(sets, func(x, y *setBalance) int { return cmp.Compare(x.load[rank], y.load[rank]) })
		m, dropped := b.bestRestoringMove(rank, p.params)
		if m.gain == 0 {
			sets = slices.DeleteFunc(sets, func(other *setBalance) bool { return other == b })
			continue
		}
		b.applyRestoring(m, dropped)
		b.newCopyCount[rank]++
		b.newCopies[[2]int{m.expert, rank}] = true
		p.loadCounts[rank]++
	}
	return p.loadCounts[rank] > 0
}

// bestRestoringMove returns the move that gives a rank another expert and shortens the
// times of the set most, together with the ranks that drop their copy: all of the
// expert's holders, the most loaded one, or none. Its gain is 0 if there is none.
func (b *setBalance) bestRestoringMove(rank int, params RebalanceParams) (best move, bestDropped []int) {
	before, slowest := b.approxSlowestTime(), b.slowestTime()
	evict := -1
	if len(b.ranks[rank]) >= params.SlotsPerSet {
		if evict = b.leastNeededExpert(rank); evict < 0 {
			return move{}, nil
		}
	}
	for e, holders := range b.holders {
		if slices.Contains(holders, rank) {
			continue
		}
		droppable := slices.DeleteFunc(slices.Clone(holders), func(r int) bool { return b.newCopies[[2]int{e, r}] })
		slices.SortStableFunc(droppable, func(x, y int) int { return cmp.Compare(b.rankTime(y), b.rankTime(x)) })
		counts := []int{0, 1, len(droppable)}
		for _, count := range slices.Compact(counts[:min(len(counts), len(droppable)+1)]) {
			m, dropped := move{expert: e, to: rank, evict: evict, from: -1}, droppable[:count]
			b.applyRestoring(m, dropped)
			m.gain = (before - b.approxSlowestTime()) * float64(len(b.load))
			if m.gain > best.gain && m.gain > minCopyGain && b.slowestTime() <= slowest {
				best, bestDropped = m, dropped
			}
			b.revertRestoring(m, dropped)
		}
	}
	return best, bestDropped
}

func (b *setBalance) applyRestoring(m move, dropped []int) {
	b.apply(m)
	for _, r := range dropped {
		b.drop(m.expert, r)
	}
}

func (b *setBalance) revertRestoring(m move, dropped []int) {
	for _, r := range dropped {
		b.add(m.expert, r)
	}
	b.revert(m)
}
