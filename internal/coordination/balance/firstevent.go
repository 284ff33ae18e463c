package balance

import "time"

// firstEventWeight is the weight of one stream in the mean time to the first event.
const firstEventWeight = 0.1

// recordFirstEvent records the time from the grant of a stream to its first event.
func (g *group) recordFirstEvent(elapsed time.Duration) {
	if g.firstEventTime == 0 {
		g.firstEventTime = elapsed
		return
	}
	g.firstEventTime = blend(g.firstEventTime, elapsed, firstEventWeight)
}

// FirstEventTime returns the mean time from the grant to the first event of a service's
// streams, in the group where it is shortest; 0 while it is not known.
func (f *Fleet) FirstEventTime(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out time.Duration
	for _, m := range f.services[service] {
		if t := m.group.firstEventTime; t > 0 && (out == 0 || t < out) {
			out = t
		}
	}
	return out
}
