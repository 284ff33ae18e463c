package revision

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"bluebellcrank/internal/coordination/route"
	"bluebellcrank/internal/state/target"
)

const (
	// watchersPerCentre is how many processes of a data centre watch the
	// platform's head object.
	watchersPerCentre = 2
	// fanout is how many peers a process tells at once about a revision that
	// is new to it.
	fanout = 4
)

// Watches reports whether an instance is one of its data centre's watchers.
// Every process decides for itself, from its own view of the instance list;
// two views that differ make a watcher more or less, which does no harm.
func Watches(self, centre string, all []target.Instance) bool {
	var ids []string
	listed := false
	for _, i := range all {
		if i.DataCentre != centre || i.Leaving {
			continue
		}
		listed = listed || i.ID == self
		ids = append(ids, i.ID)
	}
	if !listed {
		return len(ids) < watchersPerCentre
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(route.Hash("watch", b), route.Hash("watch", a))
	})
	return slices.Index(ids, self) < watchersPerCentre
}

// Tell returns the peers to tell about a new revision: one in another data
// centre where there is one, the others at random.
func Tell(self, centre string, all []target.Instance, random *rand.Rand) []target.Instance {
	peers := others(self, all)
	out := sample(peers, fanout, random)
	if slices.ContainsFunc(out, func(i target.Instance) bool { return i.DataCentre != centre }) {
		return out
	}
	if far, found := Far(self, centre, all, random); found {
		out = append(out, far)
	}
	return out
}

// Near returns a random peer of any data centre to compare revisions with.
func Near(self string, all []target.Instance, random *rand.Rand) (target.Instance, bool) {
	return one(others(self, all), random)
}

// Far returns a random peer outside the data centre.
func Far(self, centre string, all []target.Instance, random *rand.Rand) (target.Instance, bool) {
	peers := slices.DeleteFunc(others(self, all), func(i target.Instance) bool { return i.DataCentre == centre })
	return one(peers, random)
}

func others(self string, all []target.Instance) []target.Instance {
	out := make([]target.Instance, 0, len(all))
	for _, i := range all {
		if i.ID != self {
			out = append(out, i)
		}
	}
	return out
}

func one(peers []target.Instance, random *rand.Rand) (target.Instance, bool) {
	if len(peers) == 0 {
		return target.Instance{}, false
	}
	return peers[random.IntN(len(peers))], true
}

func sample(peers []target.Instance, n int, random *rand.Rand) []target.Instance {
	random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return slices.Clone(peers[:min(n, len(peers))])
}
