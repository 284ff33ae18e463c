package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellcrank/internal/state/target"
)

// otherCentresPart is the part of a subset, one in so many, that comes from
// other data centres.
const otherCentresPart = 4

// Hash is the rendezvous weight of a pair of names.
func Hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// Subset returns the instances that one entry uses out of many: by rendezvous
// hashing, so that it is stable while others come and go, with three in four
// from the entry's own data centre and the rest spread over the others.
func Subset(self, centre string, all []target.Instance, size int) []target.Instance {
	if len(all) <= size {
		return all
	}
	byCentre := map[string][]target.Instance{}
	for _, i := range all {
		byCentre[i.DataCentre] = append(byCentre[i.DataCentre], i)
	}
	for _, list := range byCentre {
		rank(self, list)
	}
	away := min(size/otherCentresPart, len(all)-len(byCentre[centre]))
	own := min(size-away, len(byCentre[centre]))
	out := slices.Clone(byCentre[centre][:own])
	delete(byCentre, centre)
	return append(out, spread(byCentre, size-own)...)
}

func rank(self string, list []target.Instance) {
	slices.SortFunc(list, func(a, b target.Instance) int {
		return cmp.Compare(Hash(self, b.ID), Hash(self, a.ID))
	})
}

// spread takes from each data centre in turn.
func spread(byCentre map[string][]target.Instance, size int) []target.Instance {
	names := make([]string, 0, len(byCentre))
	for n := range byCentre {
		names = append(names, n)
	}
	slices.Sort(names)
	var out []target.Instance
	for round := 0; len(out) < size; round++ {
		before := len(out)
		for _, n := range names {
			if round < len(byCentre[n]) && len(out) < size {
				out = append(out, byCentre[n][round])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}
