package revision

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRestoreClockCountsFromTheFirstProcess checks since when a generation is known, and
// when claims are relied on again.
func TestRestoreClockCountsFromTheFirstProcess(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	type record struct {
		generation int64
		after      time.Duration
	}
	tests := []struct {
		name      string
		records   []record
		settledAt time.Duration
	}{
		{"never restored", []record{{-1, 0}, {0, 0}}, 0},
		{"restored", []record{{1, time.Second}}, time.Second + settlePeriod},
		{"known to a peer before", []record{{1, time.Second}, {1, 0}}, settlePeriod},
		{"known to a peer later", []record{{1, 0}, {1, time.Second}}, settlePeriod},
		{"restored again", []record{{1, 0}, {2, 3 * time.Second}, {1, 0}}, 3*time.Second + settlePeriod},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var clock RestoreClock
			for _, r := range tt.records {
				clock.Record(r.generation, at.Add(r.after))
			}
			c.Check(clock.IsSettled(at.Add(tt.settledAt)), qt.IsTrue)
			if tt.settledAt > 0 {
				c.Check(clock.IsSettled(at.Add(tt.settledAt-1)), qt.IsFalse)
			}
		})
	}
}
