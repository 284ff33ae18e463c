package rankagent

import (
	"sync"
	"time"
)

const (
	// lockTimeout is how long the lock of a silent leader keeps other leaders
	// out. It is longer than a round of calls, and short enough for another
	// agent to release a held group before clients give up on a silent stream
	// after 2 s.
	lockTimeout = 700 * time.Millisecond
	// holderTimeout replaces lockTimeout for the agent whose rank holds a step. The
	// group stands still meanwhile, and the leader sends that agent an order in
	// each round. It is longer than a round in which an agent does not reply.
	holderTimeout = 400 * time.Millisecond
	// lockStaggerDelay is the additional wait per rank before an agent tries to
	// lead, so that the agents do not try at the same time.
	lockStaggerDelay = 150 * time.Millisecond
	// maxFirstAcquisition bounds the number from which a process counts acquisitions
	// of its lock. Longer numbers take more of the leader's link.
	maxFirstAcquisition = 1 << 31
)

// lock records the leader from which an agent accepts orders. It is safe for
// concurrent use.
type lock struct {
	mu        sync.Mutex
	leader    string
	rank      int
	renewedAt time.Time
	// acquisition identifies the leader's acquisition of the lock, since which no other
	// leader has held it. It starts at random, to differ from that of an earlier process.
	acquisition int64
}

// lockGrant is the result of a request for the lock.
type lockGrant struct {
	granted bool
	// holder is the rank of the agent that holds the lock.
	holder      int
	acquisition int64
}

// acquire acquires or renews the lock for a leader. A lower rank preempts a higher one, so
// that agents which start together agree on one leader, and the lock expires after
// holderTimeout for a leader whose rank holds a step. The new leader completes
// or undoes a change that the previous one left unfinished.
func (l *lock) acquire(leader string, rank int, holdsStep bool, now time.Time) lockGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout := lockTimeout
	if holdsStep {
		timeout = holderTimeout
	}
	if l.leader != leader && now.Sub(l.renewedAt) < timeout && rank >= l.rank {
		return lockGrant{holder: l.rank, acquisition: l.acquisition}
	}
	if l.leader != leader {
		l.acquisition++
	}
	l.leader, l.rank, l.renewedAt = leader, rank, now
	return lockGrant{granted: true, holder: rank, acquisition: l.acquisition}
}

// renew renews the lock and reports whether the leader holds it.
func (l *lock) renew(leader string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != leader {
		return false
	}
	l.renewedAt = now
	return true
}

// freeFor reports whether the lock was not renewed for at least the given time.
func (l *lock) freeFor(duration time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.renewedAt) >= duration
}

// heldBy reports whether the leader was the last to acquire the lock.
func (l *lock) heldBy(leader string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader == leader
}
