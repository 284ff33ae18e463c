package expert

import "slices"

// Layout lists the experts that each rank of a group holds, indexed by layer set
// and rank. The tokens of an expert are split equally among its copies.
type Layout [][][]int

// Clone returns a deep copy of the layout.
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

// InTurn returns the layout that assigns the experts of each set to the ranks in
// turn: expert e is on rank e modulo the number of ranks.
func InTurn(sets, ranks, experts int) Layout {
	out := make(Layout, sets)
	for s := range out {
		out[s] = make([][]int, ranks)
		for e := range experts {
			out[s][e%ranks] = append(out[s][e%ranks], e)
		}
	}
	return out
}

// Sort sorts each list of experts, so that layouts with the same content are equal.
func (l Layout) Sort() {
	for _, ranks := range l {
		for _, experts := range ranks {
			slices.Sort(experts)
		}
	}
}

// Covers reports whether each expert of each layer set is on some rank. Experts are
// numbered from 0 in each set.
func (l Layout) Covers(experts int) bool {
	for _, ranks := range l {
		for e := range experts {
			if !slices.ContainsFunc(ranks, func(held []int) bool { return slices.Contains(held, e) }) {
				return false
			}
		}
	}
	return true
}

// AssignMissing replaces a rank's experts with all experts that no other rank
// holds, in each layer set. Experts are numbered from 0 in each set.
func (l Layout) AssignMissing(rank, experts int) {
	for _, ranks := range l {
		heldElsewhere := make([]bool, experts)
		for r, held := range ranks {
			for _, e := range held {
				heldElsewhere[e] = heldElsewhere[e] || r != rank
			}
		}
		ranks[rank] = nil
		for e, isHeld := range heldElsewhere {
			if !isHeld {
				ranks[rank] = append(ranks[rank], e)
			}
		}
	}
}
