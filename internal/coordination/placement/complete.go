package placement

import (
	"slices"

	"bluebellcrank/internal/state/expert"
)

// Complete returns a layout that differs little from the experts that the ranks hold, and
// has each expert on some rank. It is meant for ranks that use different maps, where an
// expert may be on none. It reports false if a rank would have to load more than maxLoads
// experts of a layer set, or to hold more than slots.
func Complete(held expert.Layout, experts, slots, maxLoads int) (expert.Layout, bool) {
	out := held.Clone()
	for _, ranks := range out {
		copies := make([]int, experts)
		for _, list := range ranks {
			for _, e := range list {
				copies[e]++
			}
		}
		loads := make([]int, len(ranks))
		for e := range copies {
			if copies[e] == 0 && !placeMissing(ranks, e, copies, loads, slots, maxLoads) {
				return nil, false
			}
		}
	}
	out.Sort()
	return out, true
}

// placeMissing places an expert without copies on the rank that has loaded fewest, then
// on the one that holds fewest. A rank without a free slot gives up an expert that
// another rank holds as well.
func placeMissing(ranks [][]int, e int, copies, loads []int, slots, maxLoads int) bool {
	best, bestEvicted := -1, -1
	for r, list := range ranks {
		evicted := -1
		if len(list) >= slots {
			evicted = slices.IndexFunc(list, func(held int) bool { return copies[held] > 1 })
			if evicted < 0 {
				continue
			}
		}
		isBetter := best < 0 || loads[r] < loads[best] || loads[r] == loads[best] && len(list) < len(ranks[best])
		if loads[r] < maxLoads && isBetter {
			best, bestEvicted = r, evicted
		}
	}
	if best < 0 {
		return false
	}
	if bestEvicted >= 0 {
		copies[ranks[best][bestEvicted]]--
		ranks[best] = slices.Delete(ranks[best], bestEvicted, bestEvicted+1)
	}
	ranks[best] = append(ranks[best], e)
	copies[e]++
	loads[best]++
	return true
}
