package member

import "bluebellcrank/internal/state/event"

// watchGenerations logs each restore of the platform's store.
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
		if before >= 0 {
			event.ObjectsRestored.Log(m.log, "generation", generation, "before", before)
		}
	}
}
