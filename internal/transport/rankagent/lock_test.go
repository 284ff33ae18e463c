package rankagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLock has agents that start together agree on the one of the lowest rank.
func TestLock(t *testing.T) {
	start := time.Unix(100, 0)
	tests := []struct {
		name   string
		leader string
		rank   int
		after  time.Duration
		want   bool
		holder int
	}{
		{"the holder renews it", "b", 3, 0, true, 3},
		{"a higher rank is denied", "c", 4, 0, false, 3},
		{"a lower rank takes it", "a", 0, 0, true, 0},
		{"a higher rank takes it once it has expired", "c", 4, lockLife, true, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var l lock
			granted, _ := l.take("b", 3, start)
			c.Assert(granted, qt.IsTrue)
			granted, holder := l.take(tt.leader, tt.rank, start.Add(tt.after))
			c.Check(granted, qt.Equals, tt.want)
			c.Check(holder, qt.Equals, tt.holder)
			c.Check(l.renew(tt.leader, start), qt.Equals, tt.want)
		})
	}
}
