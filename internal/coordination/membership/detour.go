package membership

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// detourTime is how long reads go through peers before the straight way is
	// tried again: a try may hang for as long as a watch, 2.7 s, in which no
	// news arrives.
	detourTime = 10 * time.Second
	// detourPeers is how many peers one read tries: with half of them cut off
	// as well, seven reads of eight find one that is not.
	detourPeers = 3
)

// Direct is the way without a peer.
const Direct = ""

// RelaySelector says which way an instance's reads of the store take: straight, or
// through a peer while the store does not answer this instance. It is safe for
// concurrent use.
type RelaySelector struct {
	mu    sync.Mutex
	rand  *rand.Rand
	peers []string
	// good is the peer that passed on the last read.
	good string
	// away says that the last read on the straight way got no answer.
	away bool
	// until is when the straight way is tried first again.
	until time.Time
}

// NewRelaySelector returns a detour that knows no peers.
func NewRelaySelector(r *rand.Rand) *RelaySelector {
	return &RelaySelector{rand: r}
}

// SetPeers takes the addresses of the other instances.
func (d *RelaySelector) SetPeers(peers []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = peers
}

// Paths returns the ways that a read tries, in order.
func (d *RelaySelector) Paths(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(d.until) {
		return []string{Direct}
	}
	var ways []string
	if d.good != "" {
		ways = append(ways, d.good)
	}
	for _, n := range d.rand.Perm(len(d.peers)) {
		if len(ways) == detourPeers {
			break
		}
		if d.peers[n] != d.good {
			ways = append(ways, d.peers[n])
		}
	}
	return append(ways, Direct)
}

// RecordRead takes whether a read got an answer on its way, and reports whether the
// straight way was lost or found by it.
func (d *RelaySelector) RecordRead(way string, answered bool, now time.Time) (turned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case way == Direct:
		turned = d.away == answered
		d.away, d.until = !answered, time.Time{}
		if !answered {
			d.until = now.Add(detourTime)
		}
	case answered:
		d.good = way
	case way == d.good:
		d.good = ""
	}
	return turned
}

// IsDirect reports whether reads go straight, so that peers may send theirs
// through this instance.
func (d *RelaySelector) IsDirect(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !now.Before(d.until)
}
