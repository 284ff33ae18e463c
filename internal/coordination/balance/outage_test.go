package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOutage plays callers that come while a service has no targets, and asks
// how many of them are asked back before it has some again: each of those has
// lost an attempt. Callers follow the bounds evenly.
func TestOutage(t *testing.T) {
	const every = 10 * time.Millisecond
	tests := []struct {
		name string
		// lasts is how long there is no target.
		lasts time.Duration
		// early is the part of the callers that may come back too early, late
		// the longest that one may be asked to wait for targets that are there.
		early float64
		late  time.Duration
	}{
		{"a restart of everything", 1900 * time.Millisecond, 0, 1600 * time.Millisecond},
		{"a little longer", 2200 * time.Millisecond, 0.2, 2700 * time.Millisecond},
		{"long", 10 * time.Second, 0.85, 2700 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1000, 0)
			var o Outage
			early, all := 0.0, 0.0
			for at := time.Duration(0); at < tt.lasts; at += every {
				now := start.Add(at)
				o.RecordNoTarget(now)
				soonest, latest := o.RetryAfter(now)
				c.Assert(soonest >= 0 && soonest < latest, qt.IsTrue)
				all++
				if missing := tt.lasts - at - soonest; missing > 0 {
					early += min(1, missing.Seconds()/(latest-soonest).Seconds())
				}
				c.Check(at+latest-tt.lasts <= tt.late, qt.IsTrue, qt.Commentf("at %s until %s", at, at+latest))
			}
			c.Check(early/all <= tt.early, qt.IsTrue, qt.Commentf("%.2f too early", early/all))
			// The next outage is a new one.
			next := start.Add(tt.lasts + 5*time.Second)
			o.RecordNoTarget(next)
			soonest, _ := o.RetryAfter(next)
			c.Check(soonest, qt.Equals, outageUsual)
		})
	}
}
