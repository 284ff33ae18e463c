package membership

import "slices"

// missesToGone is the number of consecutive failed checks after which an instance
// counts as gone. With 20 s between checks, this is longer than any restart or
// temporary network partition.
const missesToGone = 3

// Neighbour is the instance that this one monitors: its successor in the order
// of names. Each instance is monitored by exactly one other, however many there
// are. It is not safe for concurrent use.
type Neighbour struct {
	name   string
	misses int
}

// Choose returns the name that follows self in the order of names; the first
// name follows the last one. It returns "" if there is no other name. The count
// of failed checks starts again at 0 if the chosen name changes.
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

// RecordCheck records whether the chosen instance responded to a check, and reports
// whether the instance counts as gone.
func (n *Neighbour) RecordCheck(responded bool) bool {
	if responded {
		n.misses = 0
		return false
	}
	n.misses++
	return n.misses >= missesToGone
}
