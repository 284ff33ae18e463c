package expert

import "slices"

// Layout names the experts that each rank of a group holds, by layer set. A
// rank's copy of an expert serves an equal part of the expert's tokens.
type Layout [][][]int

// Clone returns a layout that can be changed on its own.
func (l Layout) Clone() Layout {
	out := make(Layout, len(l))
	for s, ranks := range l {
		out[s] = make([][]int, len(ranks))
		for r, experts := range ranks {
			out[s][r] = slices.Clone(experts)
		}
	}
	return out
}

// AssignMissing gives a rank every expert that no other rank holds; the rank's own
// list is dropped. Experts are numbered from 0 in each set.
func (l Layout) AssignMissing(rank, experts int) {
	for _, ranks := range l {
		held := make([]bool, experts)
		for r, on := range ranks {
			for _, e := range on {
				held[e] = held[e] || r != rank
			}
		}
		ranks[rank] = nil
		for e, is := range held {
			if !is {
				ranks[rank] = append(ranks[rank], e)
			}
		}
	}
}

// RankReport is what the engine of one rank says about itself. The fields are
// exported because the platform's adapter sets them.
type RankReport struct {
	// Group names the rank's group, Rank is the place in it, Ranks its size.
	Group string
	Rank  int
	Ranks int
	// Epoch counts how often the group was formed.
	Epoch int64
	// Open says that all ranks of the group are there.
	Open bool
	// Step is the last pass that was begun.
	Step int64
	// Version is that of the map in force.
	Version int64
	// Prepared is the version whose experts are loaded; 0 for none.
	Prepared int64
	// Armed is the version that the rank switches to; 0 for none.
	Armed int64
	// Held is the pass that does not begin; 0 for none.
	Held int64
	// Slowdown is 1 for a sound engine and more for a slow one.
	Slowdown float64
	// Running is how many requests the rank works on.
	Running int
}
