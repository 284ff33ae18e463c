package rankagent

import (
	"sync"
	"time"

	"bluebellcrank/internal/state/expert"
)

// ownRank is what an agent remembers of the rank beside it.
type ownRank struct {
	mu     sync.Mutex
	report expert.RankReport
	// openSince is when the group of this epoch was seen open first.
	openSince time.Time
	// beginner is the rank of the agent whose change of the map was prepared
	// here last; mapswitch.NoRank where this process knows of none.
	beginner int
}

// note takes a report of the rank.
func (o *ownRank) note(r expert.RankReport, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !r.Open || r.Group != o.report.Group || r.Epoch != o.report.Epoch {
		o.openSince = now
	}
	o.report = r
}

// last returns the last report, and for how long the group has been open.
func (o *ownRank) last(now time.Time) (expert.RankReport, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.report, now.Sub(o.openSince)
}

// begun notes whose change of the map is prepared.
func (o *ownRank) begun(rank int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.beginner = rank
}

// begunBy returns the rank whose change was prepared last.
func (o *ownRank) begunBy() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.beginner
}
