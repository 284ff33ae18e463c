package refusal

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRestoredLogHasWhatTheStoreMayHaveLost checks which refusals are pending after those
// written were restored.
func TestRestoredLogHasWhatTheStoreMayHaveLost(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name    string
		limit   int
		written []string
		want    []string
	}{
		{"nothing written", 10, nil, []string{"r0", "r1", "r2", "r3"}},
		{"the first expired", 10, []string{"r0", "r1"}, []string{"r1", "r2", "r3"}},
		{"all written", 10, []string{"r0", "r1", "r2", "r3"}, []string{"r1", "r2", "r3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l := NewLog(tt.limit)
			for n := range 4 {
				l.Add(Refusal{ID: fmt.Sprintf("r%d", n), Time: at.Add(time.Duration(n) * 20 * time.Second)})
			}
			l.RemoveWritten(tt.written, at.Add(writtenPeriod+time.Second))
			l.Restore()
			var got []string
			for _, r := range l.Oldest(tt.limit) {
				got = append(got, r.ID)
			}
			c.Check(got, qt.DeepEquals, tt.want)
			l.Restore()
			c.Check(l.Pending(), qt.Equals, len(tt.want))
		})
	}
	c := qt.New(t)
	l := NewLog(2)
	for n := range 6 {
		l.Add(Refusal{ID: fmt.Sprintf("r%d", n), Time: at})
		l.RemoveWritten([]string{fmt.Sprintf("r%d", n)}, at)
	}
	l.Add(Refusal{ID: "r6", Time: at})
	l.Restore()
	c.Check(l.Oldest(9), qt.DeepEquals, []Refusal{{ID: "r5", Time: at}, {ID: "r6", Time: at}})
	c.Check(l.Dropped(), qt.Equals, 0)
}
