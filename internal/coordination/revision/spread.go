package revision

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"bluebellcrank/internal/coordination/route"
	"bluebellcrank/internal/state/target"
)

const (
	// watchersPerDataCentre is the number of processes of each data centre that
	// watch the platform's head object, which names the current revision.
	watchersPerDataCentre = 2
	// fanout is the number of random peers that a process notifies of a
	// revision that is new to it.
	fanout = 4
	// maxDraws bounds the random draws for fanout different peers.
	maxDraws = 16
)

// IsWatcher reports whether an instance is one of the watchers of its data centre.
// Each process decides from its own copy of the instance list. Copies that differ
// can lead to one watcher more or less, which does no harm. An instance that is
// not listed or is leaving is a watcher only if the data centre has too few others.
func IsWatcher(self, dataCentre string, all []target.Instance) bool {
	var ids []string
	listed := false
	for _, i := range all {
		if i.DataCentre != dataCentre || i.Leaving {
			continue
		}
		listed = listed || i.ID == self
		ids = append(ids, i.ID)
	}
	if !listed {
		return len(ids) < watchersPerDataCentre
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(route.Hash("watch", b), route.Hash("watch", a))
	})
	return slices.Index(ids, self) < watchersPerDataCentre
}

// PeersToNotify returns the peers to notify of a new revision: up to fanout random
// ones, and another one outside the data centre if all of those are inside.
func PeersToNotify(self, dataCentre string, all []target.Instance, random *rand.Rand) []target.Instance {
	var out []target.Instance
	for n := 0; n < maxDraws && len(out) < fanout; n++ {
		i, found := RandomPeer(self, all, random)
		if found && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	if slices.ContainsFunc(out, func(i target.Instance) bool { return i.DataCentre != dataCentre }) {
		return out
	}
	if remote, found := RandomRemotePeer(self, dataCentre, all, random); found {
		out = append(out, remote)
	}
	return out
}

// RandomPeer returns a random peer in any data centre, to notify or to compare
// revisions with, and whether there is one.
func RandomPeer(self string, all []target.Instance, random *rand.Rand) (target.Instance, bool) {
	return randomMatch(all, random, func(i target.Instance) bool { return i.ID != self })
}

// RandomRemotePeer returns a random peer outside the data centre, and whether
// there is one.
func RandomRemotePeer(self, dataCentre string, all []target.Instance, random *rand.Rand) (target.Instance, bool) {
	return randomMatch(all, random, func(i target.Instance) bool { return i.ID != self && i.DataCentre != dataCentre })
}

// randomMatch returns an instance that matches, and whether there is one. It walks
// the list from a random position with a random step and returns the first match,
// mostly after one or two steps. If the walk meets none, which is possible because
// it may not visit every instance, the first match in the list is returned.
func randomMatch(all []target.Instance, random *rand.Rand, matches func(target.Instance) bool) (target.Instance, bool) {
	if len(all) == 0 {
		return target.Instance{}, false
	}
	start, step := random.IntN(len(all)), 1+random.IntN(len(all))
	for n := range len(all) {
		if i := all[(start+n*step)%len(all)]; matches(i) {
			return i, true
		}
	}
	for _, i := range all {
		if matches(i) {
			return i, true
		}
	}
	return target.Instance{}, false
}

// BackupPeer returns the peer that keeps an instance's refusals until the instance
// has written them to the platform, and writes them if the instance does not. It
// also returns whether there is a peer. The choice is by
// rendezvous hashing: it changes only if that peer is no longer listed, or if a new
// peer has a higher weight.
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
