package revision

import "time"

// settlePeriod is how long after a restore of the store claims are not relied on. It is
// the time within which all processes learn of the restore and write theirs again.
const settlePeriod = 5 * time.Second

// RestoreClock records the store's newest generation, and since when a process of the
// fleet has known it. It is not safe for concurrent use.
type RestoreClock struct {
	generation int64
	since      time.Time
}

// Record records that a process has known a generation since a time. The earliest time
// counts; an earlier generation is ignored.
func (c *RestoreClock) Record(generation int64, since time.Time) {
	if generation > c.generation || generation == c.generation && since.Before(c.since) {
		c.generation, c.since = generation, since
	}
}

// Generation returns the newest generation; 0 if the store was never restored.
func (c *RestoreClock) Generation() int64 { return c.generation }

// Age returns how long the newest generation has been known.
func (c *RestoreClock) Age(now time.Time) time.Duration { return now.Sub(c.since) }

// IsSettled reports whether the processes have had the time to write again what the store
// lost.
func (c *RestoreClock) IsSettled(now time.Time) bool {
	return c.generation == 0 || c.Age(now) >= settlePeriod
}
