package balance

import (
	"sort"
	"time"
)

// attemptMemory is how long attempts are remembered. It covers the window of every limit
// of at least one attempt in that time.
const attemptMemory = 10 * time.Second

// attemptLog has the times of this entry's attempts at a target, in their order.
type attemptLog struct{ times []time.Time }

func (l *attemptLog) add(now time.Time) {
	expired := len(l.times) - len(l.since(now.Add(-attemptMemory)))
	l.times = append(l.times[expired:], now)
}

// since returns the times after t.
func (l *attemptLog) since(t time.Time) []time.Time {
	return l.times[sort.Search(len(l.times), func(n int) bool { return l.times[n].After(t) }):]
}
