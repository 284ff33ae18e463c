package process

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPauseWatch(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name       string
		ticks      []int
		since, now int
		want       bool
	}{
		{"runs", []int{100, 200, 300}, 50, 310, false},
		{"no tick since the pause", []int{100, 200}, 150, 3200, true},
		{"a tick since the pause", []int{100, 200, 3200, 3300}, 150, 3310, true},
		{"the pause was before", []int{100, 200, 3200, 3300}, 3250, 3310, false},
		{"a late tick", []int{100, 400, 700}, 50, 710, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := NewPauseWatch(start)
			for _, ms := range tt.ticks {
				w.Tick(at(ms))
			}
			qt.Assert(t, w.HasPaused(at(tt.since), at(tt.now)), qt.Equals, tt.want)
		})
	}
}
