package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellcrank/internal/state/target"
)

// remoteDivisor is the size of a subset divided by the number of its instances
// in other data centres.
const remoteDivisor = 4

// Hash returns a hash of a pair of strings. In rendezvous hashing it is the weight
// of the pair.
func Hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// Subset returns the instances that the entry named self uses, at most size of all.
// It chooses them by rendezvous hashing, so that the subset changes little when
// instances are added or removed. Three in four are from the entry's own data
// centre, the others are spread over the other data centres.
func Subset(self, dataCentre string, all []target.Instance, size int) []target.Instance {
	if len(all) <= size {
		return all
	}
	byDataCentre := map[string][]target.Instance{}
	for _, i := range all {
		byDataCentre[i.DataCentre] = append(byDataCentre[i.DataCentre], i)
	}
	for _, list := range byDataCentre {
		sortByWeight(self, list)
	}
	remote := min(size/remoteDivisor, len(all)-len(byDataCentre[dataCentre]))
	local := min(size-remote, len(byDataCentre[dataCentre]))
	out := slices.Clone(byDataCentre[dataCentre][:local])
	delete(byDataCentre, dataCentre)
	return append(out, roundRobin(byDataCentre, size-local)...)
}

// sortByWeight sorts instances by their weight for self, highest first.
func sortByWeight(self string, list []target.Instance) {
	slices.SortFunc(list, func(a, b target.Instance) int {
		return cmp.Compare(Hash(self, b.ID), Hash(self, a.ID))
	})
}

// roundRobin returns up to size instances, one from each data centre in turn.
func roundRobin(byDataCentre map[string][]target.Instance, size int) []target.Instance {
	names := make([]string, 0, len(byDataCentre))
	for n := range byDataCentre {
		names = append(names, n)
	}
	slices.Sort(names)
	var out []target.Instance
	for round := 0; len(out) < size; round++ {
		before := len(out)
		for _, n := range names {
			if round < len(byDataCentre[n]) && len(out) < size {
				out = append(out, byDataCentre[n][round])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}
