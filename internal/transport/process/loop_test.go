package process

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEveryPassesThePresentTime delays the first call for longer than the interval, as a
// pause of the process does.
func TestEveryPassesThePresentTime(t *testing.T) {
	const interval = 100 * time.Millisecond
	c := qt.New(t)
	stop := make(chan struct{})
	calls := 0
	Every(interval, stop, func(now time.Time) {
		age := time.Since(now)
		c.Check(age < interval, qt.IsTrue, qt.Commentf("call %d got the time of %s ago", calls, age))
		if calls++; calls == 1 {
			time.Sleep(4 * interval)
			return
		}
		close(stop)
	})
}
