package placement

import (
	"cmp"
	"slices"

	"bluebellcrank/internal/state/expert"
)

// Rebuild places everything anew: it gives the copies that the slots allow to
// the experts with most tokens a copy, and packs them, largest first, on the
// rank that is fastest then. It is the baseline that Improve is measured by.
func Rebuild(g Group, from *expert.Map) *expert.Map {
	copies := copies(g.popularity, from.Ranks()*from.Slots(), from.Ranks())
	type piece struct {
		expert int
		load   float64
	}
	var pieces []piece
	for e, n := range copies {
		for range n {
			pieces = append(pieces, piece{expert: e, load: g.popularity[e] / float64(n)})
		}
	}
	slices.SortStableFunc(pieces, func(a, b piece) int { return cmp.Compare(b.load, a.load) })
	out := expert.Defaults(from.Experts(), from.Ranks(), from.Slots())
	for e := range copies {
		out.SetReplicas(e, nil)
	}
	load := make([]float64, from.Ranks())
	used := make([]int, from.Ranks())
	for _, p := range pieces {
		r := fastest(g, out, load, used, p.expert, p.load)
		if r < 0 {
			continue
		}
		load[r] += p.load
		used[r]++
		out.SetReplicas(p.expert, append(out.Replicas(p.expert), expert.Replica{Rank: r}))
	}
	evenly(out)
	return out
}

// copies gives each expert one copy and the other slots to the expert with
// most tokens a copy.
func copies(popularity []float64, slots, ranks int) []int {
	out := make([]int, len(popularity))
	for e := range out {
		out[e] = 1
	}
	for free := slots - len(out); free > 0; free-- {
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

func fastest(g Group, m *expert.Map, load []float64, used []int, e int, more float64) int {
	best := -1
	for r := range load {
		if used[r] >= m.Slots() || m.Holds(e, r) {
			continue
		}
		if best < 0 || (load[r]+more)/g.speed[r] < (load[best]+more)/g.speed[best] {
			best = r
		}
	}
	return best
}

// evenly shares each expert's tokens evenly among its copies.
func evenly(m *expert.Map) {
	for e := range m.Experts() {
		list := slices.Clone(m.Replicas(e))
		for i := range list {
			list[i].Share = 1 / float64(len(list))
		}
		m.SetReplicas(e, list)
	}
}
