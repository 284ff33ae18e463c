package follower

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConfirmationDoesNotExpire simulates configuration watches of which some
// return a change. A change confirms nothing about the time waited, so if the
// watch after it waited too long, the confirmation would expire between two
// replies.
func TestConfirmationDoesNotExpire(t *testing.T) {
	const roundTrip = 20 * time.Millisecond
	const long, short = 3500 * time.Millisecond, 1500 * time.Millisecond
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := []struct {
		name     string
		lifetime time.Duration
		// changes are the times from the start of each watch to its change; 0
		// for a watch without a change.
		changes []time.Duration
	}{
		{"no change", long, make([]time.Duration, 5)},
		{"a change just before the end of a watch", long, []time.Duration{ms(1990), 0, 0}},
		{"a change in each watch", long, []time.Duration{ms(1990), ms(690), ms(190), 0}},
		{"no change, short lifetime", short, make([]time.Duration, 5)},
		{"a change in each watch, short lifetime", short, []time.Duration{ms(840), ms(290), ms(190), 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now, confirmedAt := 10*time.Second, 10*time.Second
			for _, changeAfter := range tt.changes {
				requestedAt, wait := now, nextConfigWait(now-confirmedAt, tt.lifetime)
				spent := wait
				if changeAfter > 0 {
					spent = min(changeAfter, wait)
				}
				now += spent + roundTrip
				c.Check(now-confirmedAt < tt.lifetime, qt.IsTrue, qt.Commentf("age %s", now-confirmedAt))
				confirmedAt = max(confirmedAt, confirmationTime(requestedAt, now, wait, changeAfter > 0))
			}
		})
	}
}

// TestWaitsAreWholeMilliseconds guards against a watch whose answer comes, within a millisecond,
// before the wait that the store was not told in full, and confirms nothing of it.
func TestWaitsAreWholeMilliseconds(t *testing.T) {
	for _, lifetime := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond} {
		for age := time.Duration(0); age < lifetime; age += 1234567 * time.Nanosecond {
			wait := nextConfigWait(age, lifetime)
			qt.Assert(t, wait%time.Millisecond, qt.Equals, time.Duration(0), qt.Commentf("%s at age %s of %s", wait, age, lifetime))
		}
	}
}
