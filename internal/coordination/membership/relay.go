package membership

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// relayPeriod is how long after a failed direct call reads are also relayed
	// through peers. A direct read may hang for 2.7 s, as long as a watch lasts,
	// and no changes arrive meanwhile.
	relayPeriod = 10 * time.Second
	// maxRelayPeers is the number of peers that one read tries. If half of the
	// peers cannot reach the store either, seven of eight reads find one that
	// can.
	maxRelayPeers = 3
)

// Direct is the path of a read that goes to the store and not through a peer.
const Direct = ""

// RelaySelector selects the paths of an instance's reads of the store: directly
// only, or also relayed through a peer while the store does not respond to this
// instance. A path is the address of a peer, or Direct. RelaySelector is safe for
// concurrent use.
type RelaySelector struct {
	mu    sync.Mutex
	rand  *rand.Rand
	peers []string
	// lastRelay is the peer that relayed the last read successfully.
	lastRelay string
	// directFailed is set if the last direct call got no response.
	directFailed bool
	// retryDirectAt is when reads try the direct path first again.
	retryDirectAt time.Time
}

// NewRelaySelector returns a selector without peers.
func NewRelaySelector(r *rand.Rand) *RelaySelector {
	return &RelaySelector{rand: r}
}

// SetPeers sets the addresses of the other instances.
func (r *RelaySelector) SetPeers(peers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = peers
}

// Relays returns the peers through which a read is tried in order, at the same time
// as directly; none if the direct path suffices.
func (r *RelaySelector) Relays(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.retryDirectAt) {
		return nil
	}
	var paths []string
	if r.lastRelay != "" {
		paths = append(paths, r.lastRelay)
	}
	for _, n := range r.rand.Perm(len(r.peers)) {
		if len(paths) == maxRelayPeers {
			break
		}
		if r.peers[n] != r.lastRelay {
			paths = append(paths, r.peers[n])
		}
	}
	return paths
}

// RecordCall records whether a call to the store got a response on a path. The
// caller counts the statuses 429 and 5xx as no response. Writes count too; they are
// always direct. RecordCall reports whether the direct path failed or recovered with
// this call.
func (r *RelaySelector) RecordCall(path string, responded bool, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case path == Direct:
		changed = r.directFailed == responded
		r.directFailed, r.retryDirectAt = !responded, time.Time{}
		if !responded {
			r.retryDirectAt = now.Add(relayPeriod)
		}
	case responded:
		r.lastRelay = path
	case path == r.lastRelay:
		r.lastRelay = ""
	}
	return changed
}

// IsAnswered reports whether the latest direct call that has ended got a response. Those that are
// cancelled because a relayed read was faster tell nothing.
func (r *RelaySelector) IsAnswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.directFailed
}

// IsDirect reports whether reads go directly to the store, so that this instance
// can relay the reads of its peers.
func (r *RelaySelector) IsDirect(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.retryDirectAt)
}
