package placement

import (
	"cmp"
	"slices"

	"bluebellcrank/internal/state/expert"
)

// Rebuild computes a map from scratch, as the baseline that Improve is compared
// with. It gives the spare slots to the experts with the most tokens per copy,
// and places the copies in descending order of load, each on the rank that
// finishes first with that copy added.
func Rebuild(g Group, from *expert.Map) *expert.Map {
	copies := copyCounts(g.popularity, from.Ranks()*from.Slots(), from.Ranks())
	type weightedCopy struct {
		expert int
		load   float64
	}
	var weightedCopies []weightedCopy
	for e, n := range copies {
		for range n {
			weightedCopies = append(weightedCopies, weightedCopy{expert: e, load: g.popularity[e] / float64(n)})
		}
	}
	slices.SortStableFunc(weightedCopies, func(a, b weightedCopy) int { return cmp.Compare(b.load, a.load) })
	out := expert.Defaults(from.Experts(), from.Ranks(), from.Slots())
	for e := range copies {
		out.SetReplicas(e, nil)
	}
	load := make([]float64, from.Ranks())
	used := make([]int, from.Ranks())
	for _, p := range weightedCopies {
		r := fastestRank(g, out, load, used, p.expert, p.load)
		if r < 0 {
			continue
		}
		load[r] += p.load
		used[r]++
		out.SetReplicas(p.expert, append(out.Replicas(p.expert), expert.Replica{Rank: r}))
	}
	shareEvenly(out)
	return out
}

// copyCounts returns the number of copies of each expert: one for every expert,
// and each further slot to the expert with the most tokens per copy.
func copyCounts(popularity []float64, totalSlots, ranks int) []int {
	out := make([]int, len(popularity))
	for e := range out {
		out[e] = 1
	}
	for free := totalSlots - len(out); free > 0; free-- {
		best := -1
		for e := range out {
			if out[e] < ranks && (best < 0 || popularity[e]/float64(out[e]) > popularity[best]/float64(out[best])) {
				best = e
			}
		}
		if best < 0 {
			break
		}
		out[best]++
	}
	return out
}

// fastestRank returns the rank with the shortest time after receiving
// addedLoad, among those with a free slot and no copy of expert e, or -1.
func fastestRank(g Group, m *expert.Map, load []float64, used []int, e int, addedLoad float64) int {
	best := -1
	for r := range load {
		if used[r] >= m.Slots() || m.Holds(e, r) {
			continue
		}
		if best < 0 || (load[r]+addedLoad)/g.speed[r] < (load[best]+addedLoad)/g.speed[best] {
			best = r
		}
	}
	return best
}

// shareEvenly splits each expert's tokens evenly among its copies.
func shareEvenly(m *expert.Map) {
	for e := range m.Experts() {
		list := slices.Clone(m.Replicas(e))
		for i := range list {
			list[i].Share = 1 / float64(len(list))
		}
		m.SetReplicas(e, list)
	}
}
