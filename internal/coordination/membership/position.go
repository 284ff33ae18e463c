package membership

import "github.com/cespare/xxhash/v2"

// Position returns the place of an instance in an order of the instances that is
// different for each subject, and on which all instances agree. While the names are not
// known, it is a place among count instances.
func Position(subject, self string, names []string, count int) int {
	own := xxhash.Sum64String(subject + "/" + self)
	if len(names) == 0 {
		return int(own % uint64(max(count, 1)))
	}
	ahead := 0
	for _, name := range names {
		if name != self && xxhash.Sum64String(subject+"/"+name) < own {
			ahead++
		}
	}
	return ahead
}
