package membership

import "slices"

// missesMost is how many checks in a row an instance fails before it counts as
// gone: with 20 s between two, longer than any restart or cut that heals.
const missesMost = 3

// Neighbour is the instance that this one looks after: the next one by name.
// Each instance is looked after by one other, whatever their number. It is not
// safe for concurrent use.
type Neighbour struct {
	name   string
	misses int
}

// Choose returns the name behind self in the order of names, the first one
// behind the last; empty if there is no other.
func (n *Neighbour) Choose(self string, names []string) string {
	sorted := slices.Sorted(slices.Values(names))
	next := ""
	for _, name := range sorted {
		if name > self {
			next = name
			break
		}
	}
	if next == "" && len(sorted) > 0 && sorted[0] != self {
		next = sorted[0]
	}
	if next != n.name {
		n.name, n.misses = next, 0
	}
	return next
}

// RecordCheck takes whether the chosen instance answered, and reports whether it
// counts as gone.
func (n *Neighbour) RecordCheck(answered bool) bool {
	if answered {
		n.misses = 0
		return false
	}
	n.misses++
	return n.misses >= missesMost
}
