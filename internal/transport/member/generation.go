package member

import (
	"time"

	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
)

// watchGenerations logs each restore of the platform's store, tells peers of it, and
// calls onRestored.
func (m *Member) watchGenerations() {
	generation, changed := m.platform.Generation()
	for {
		select {
		case <-m.stop:
			return
		case <-changed:
		}
		before := generation
		generation, changed = m.platform.Generation()
		m.loop.Post(func(now time.Time) { m.restoreClock.Record(generation, now) })
		if before >= 0 {
			event.ObjectsRestored.Log(m.log, "generation", generation, "before", before)
			m.loop.Post(func(time.Time) { m.refusals.Restore() })
			m.notifyPeers()
			m.onRestored()
		}
	}
}

// learnGeneration records the store's generation that a peer knows.
func (m *Member) learnGeneration(e peer.Exchange, at time.Time) {
	if e.Generation == 0 {
		return
	}
	since := at.Add(-time.Duration(e.GenerationMs) * time.Millisecond)
	m.loop.Post(func(time.Time) { m.restoreClock.Record(e.Generation, since) })
	m.platform.LearnGeneration(e.Generation)
}

// IsSettled reports whether the store of the platform was not restored in the last
// seconds, so that all processes have had the time to write again what it lost.
func (m *Member) IsSettled() bool {
	generation, _ := m.platform.Generation()
	return process.Call(m.loop, func(now time.Time) bool {
		m.restoreClock.Record(generation, now)
		return m.restoreClock.IsSettled(now)
	})
}
