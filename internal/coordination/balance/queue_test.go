package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWaitOfAnEntryThatHasJustStarted has a full service and an entry that has
// granted nothing yet: it knows nothing of the service's rhythm, and must not
// take that for a long time without room.
func TestWaitOfAnEntryThatHasJustStarted(t *testing.T) {
	c := qt.New(t)
	const patience = 250 * time.Millisecond
	f := newTestFleet(ranks(8))
	now := start
	ticket := f.Enqueue(stream, 12, patience, now)
	c.Assert(ticket, qt.IsNotNil)
	f.Poll(now.Add(50 * time.Millisecond))
	c.Check(ticket.Granted(), qt.HasLen, 1)

	f = newTestFleet(nil)
	c.Assert(f.Enqueue(stream, 12, patience, now), qt.IsNotNil)
	late := now.Add(2 * time.Second)
	c.Check(f.Enqueue(stream, 12, patience, late), qt.IsNil, qt.Commentf("no room for 2 s"))
}

func TestPatience(t *testing.T) {
	const ms = time.Millisecond
	var d RetryDetector
	c := qt.New(t)
	c.Check(d.IsRetry(time.Second), qt.IsFalse, qt.Commentf("no deadline was seen yet"))
	for _, seen := range []time.Duration{7200 * ms, 8000 * ms, 6900 * ms, 0} {
		d.RecordDeadline(seen)
	}
	tests := []struct {
		name         string
		toGoal, left time.Duration
		want         time.Duration
	}{
		{"first attempt", 500 * ms, 7000 * ms, 250 * ms},
		{"no deadline", 500 * ms, 0, 250 * ms},
		{"came back", 500 * ms, 5900 * ms, 800 * ms},
		{"came back with little time left", 500 * ms, 2000 * ms, 500 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.New(t).Check(MaxQueueTime(tt.toGoal, tt.left, d.IsRetry(tt.left)), qt.Equals, tt.want)
		})
	}
}
