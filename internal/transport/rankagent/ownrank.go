package rankagent

import (
	"sync"
	"time"

	"bluebellcrank/internal/state/expert"
)

// ownRank records the state of the rank beside this agent. It is safe for
// concurrent use.
type ownRank struct {
	mu     sync.Mutex
	report expert.RankReport
	// openSince is when the current epoch of the group was first seen open.
	openSince time.Time
	// heldSince is when the step that the rank holds was first seen held.
	heldSince time.Time
	// coordinator is the rank of the agent whose change of the map this rank
	// prepared last; mapswitch.NoRank if this process has seen none.
	coordinator int
}

// record records a report of the rank.
func (o *ownRank) record(r expert.RankReport, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !r.Open || r.Group != o.report.Group || r.Epoch != o.report.Epoch {
		o.openSince = now
	}
	if r.Held != o.report.Held {
		o.heldSince = now
	}
	o.report = r
}

// latest returns the latest report, and for how long the group has been open.
func (o *ownRank) latest(now time.Time) (expert.RankReport, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.report, now.Sub(o.openSince)
}

// heldFor returns for how long the rank has held the same step, and 0 if it holds
// none.
func (o *ownRank) heldFor(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.report.Held == 0 {
		return 0
	}
	return now.Sub(o.heldSince)
}

// recordCoordinator records the rank of the agent whose change is being
// prepared.
func (o *ownRank) recordCoordinator(rank int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.coordinator = rank
}

// lastCoordinator returns the rank of the agent whose change was prepared last,
// or mapswitch.NoRank.
func (o *ownRank) lastCoordinator() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.coordinator
}
