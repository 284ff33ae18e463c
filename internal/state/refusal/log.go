package refusal

import (
	"time"

	"github.com/samber/lo"
)

// Log holds the refusals that are not yet written, oldest first, and counts
// those it had to drop.
type Log struct {
	limit   int
	pending []Refusal
	fresh   []Refusal
	dropped int
	total   int
}

// NewLog returns a log that holds at most limit refusals.
func NewLog(limit int) *Log {
	return &Log{limit: limit}
}

// Add records a refusal; the oldest goes where there is no room.
func (l *Log) Add(r Refusal) {
	l.total++
	l.pending = append(l.pending, r)
	l.fresh = append(l.fresh, r)
	if len(l.pending) > l.limit {
		l.pending = l.pending[1:]
		l.dropped++
	}
}

// TakeNew returns the refusals that were added since it was last called.
func (l *Log) TakeNew() []Refusal {
	out := l.fresh
	l.fresh = nil
	return out
}

// Batch returns up to limit of the oldest refusals, which stay in the log
// until Written names them.
func (l *Log) Batch(limit int) []Refusal {
	n := min(limit, len(l.pending))
	return append([]Refusal(nil), l.pending[:n]...)
}

// RemoveWritten removes the refusals that are safe in the platform.
func (l *Log) RemoveWritten(ids []string) {
	done := lo.SliceToMap(ids, func(id string) (string, bool) { return id, true })
	l.pending = lo.Reject(l.pending, func(r Refusal, _ int) bool { return done[r.ID] })
}

// Pending returns how many refusals are not yet written.
func (l *Log) Pending() int { return len(l.pending) }

// Dropped returns how many refusals were lost for want of room.
func (l *Log) Dropped() int { return l.dropped }

// Total returns how many refusals were ever added.
func (l *Log) Total() int { return l.total }

// Batch is the object that one process writes for one batch.
type Batch struct {
	Process  string    `json:"process"`
	Time     time.Time `json:"time"`
	Dropped  int       `json:"dropped"`
	Refusals []Refusal `json:"refusals"`
}
