package refusal

import (
	"time"

	"github.com/samber/lo"
)

// writtenPeriod is how long written refusals are kept. A store that is restored may lose
// what was written in the seconds before.
const writtenPeriod = time.Minute

// Log buffers the refusals that are not yet written to the platform, oldest
// first, and counts those that were dropped because the buffer was full. It is
// not safe for concurrent use.
type Log struct {
	limit   int
	pending []Refusal
	added   []Refusal
	written []Refusal
	dropped int
	total   int
}

// NewLog returns a log that buffers at most limit refusals.
func NewLog(limit int) *Log {
	return &Log{limit: limit}
}

// Add records a refusal; in a full log it replaces the oldest one.
func (l *Log) Add(r Refusal) {
	l.total++
	l.pending = append(l.pending, r)
	l.added = append(l.added, r)
	if len(l.pending) > l.limit {
		l.pending = l.pending[1:]
		l.dropped++
	}
}

// TakeNew returns the refusals that were added since the previous call of TakeNew.
func (l *Log) TakeNew() []Refusal {
	out := l.added
	l.added = nil
	return out
}

// Oldest returns up to limit of the oldest refusals. They stay in the log until
// RemoveWritten is called with their IDs.
func (l *Log) Oldest(limit int) []Refusal {
	n := min(limit, len(l.pending))
	return append([]Refusal(nil), l.pending[:n]...)
}

// RemoveWritten removes the refusals that the platform has stored. Up to limit of them
// are kept for a minute from their time on, to be restored.
func (l *Log) RemoveWritten(ids []string, now time.Time) {
	written := lo.SliceToMap(ids, func(id string) (string, bool) { return id, true })
	removed, pending := lo.FilterReject(l.pending, func(r Refusal, _ int) bool { return written[r.ID] })
	l.pending = pending
	l.written = lo.Filter(append(l.written, removed...), func(r Refusal, _ int) bool { return now.Sub(r.Time) <= writtenPeriod })
	l.written = l.written[max(0, len(l.written)-l.limit):]
}

// Restore makes the refusals that were written in the last minute pending again, as far
// as the limit allows.
func (l *Log) Restore() {
	room := max(0, l.limit-len(l.pending))
	l.pending = append(l.written[max(0, len(l.written)-room):], l.pending...)
	l.written = nil
}

// Pending returns how many refusals are not yet written.
func (l *Log) Pending() int { return len(l.pending) }

// Dropped returns how many refusals were dropped because the log was full.
func (l *Log) Dropped() int { return l.dropped }

// Total returns how many refusals were ever added.
func (l *Log) Total() int { return l.total }

// Batch is the stored form of the refusals that one process writes at once.
type Batch struct {
	Process  string    `json:"process"`
	Time     time.Time `json:"time"`
	Dropped  int       `json:"dropped"`
	Refusals []Refusal `json:"refusals"`
}
