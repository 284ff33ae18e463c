package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/fleet"
)

// TestAttemptsAreForgotten sends requests of a service without a rate for a long time.
func TestAttemptsAreForgotten(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(100, 0)
	f.Replace([]fleet.Target{{ID: "t-0", Service: "drafts"}}, now)
	for range 10_000 {
		now = now.Add(100 * time.Millisecond)
		l, _ := f.Pick(Request{Service: "drafts"}, now)
		l.Done(Answered, 0, now)
	}
	c.Check(cap(f.members["t-0"].attempts.times) <= 1000, qt.IsTrue)
}
