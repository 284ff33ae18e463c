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
	// tellTries bounds the search for that many different ones.
	tellTries = 16
)

// IsWatcher reports whether an instance is one of its data centre's watchers.
// Every process decides for itself, from its own view of the instance list;
// two views that differ make a watcher more or less, which does no harm.
func IsWatcher(self, centre string, all []target.Instance) bool {
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

// PeersToNotify returns the peers to tell about a new revision: a few at random, and
// one in another data centre where none of them is.
func PeersToNotify(self, centre string, all []target.Instance, random *rand.Rand) []target.Instance {
	var out []target.Instance
	for n := 0; n < tellTries && len(out) < fanout; n++ {
		i, found := RandomPeer(self, all, random)
		if found && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	if slices.ContainsFunc(out, func(i target.Instance) bool { return i.DataCentre != centre }) {
		return out
	}
	if far, found := RandomRemotePeer(self, centre, all, random); found {
		out = append(out, far)
	}
	return out
}

// RandomPeer returns a random peer of any data centre to compare revisions with.
func RandomPeer(self string, all []target.Instance, random *rand.Rand) (target.Instance, bool) {
	return pick(all, random, func(i target.Instance) bool { return i.ID != self })
}

// RandomRemotePeer returns a random peer outside the data centre.
func RandomRemotePeer(self, centre string, all []target.Instance, random *rand.Rand) (target.Instance, bool) {
	return pick(all, random, func(i target.Instance) bool { return i.ID != self && i.DataCentre != centre })
}

// pick walks from a random place to the first that fits; most lists need a
// step or two.
func pick(all []target.Instance, random *rand.Rand, fits func(target.Instance) bool) (target.Instance, bool) {
	if len(all) == 0 {
		return target.Instance{}, false
	}
	start, step := random.IntN(len(all)), 1+random.IntN(len(all))
	for n := range len(all) {
		if i := all[(start+n*step)%len(all)]; fits(i) {
			return i, true
		}
	}
	for _, i := range all {
		if fits(i) {
			return i, true
		}
	}
	return target.Instance{}, false
}

// BackupPeer returns the peer that holds what an instance cannot save.
func BackupPeer(self string, all []target.Instance) (target.Instance, bool) {
	var best target.Instance
	var weight uint64
	for _, i := range all {
		if w := route.Hash(self, i.ID); i.ID != self && w >= weight {
			best, weight = i, w
		}
	}
	return best, best.ID != ""
}
