package follower

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestProofStaysYoung plays watches of which some bring news: between two
// proofs the age must stay below the time that a proof holds.
func TestProofStaysYoung(t *testing.T) {
	const answer = 20 * time.Millisecond
	const long, short = 3500 * time.Millisecond, 1500 * time.Millisecond
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := []struct {
		name  string
		holds time.Duration
		// news is when a watch brings news, from its start; 0 for none.
		news []time.Duration
	}{
		{"no news", long, make([]time.Duration, 5)},
		{"news just before the end of a watch", long, []time.Duration{ms(1990), 0, 0}},
		{"news in each watch", long, []time.Duration{ms(1990), ms(690), ms(190), 0}},
		{"no news, a short bound", short, make([]time.Duration, 5)},
		{"news in each watch, a short bound", short, []time.Duration{ms(840), ms(290), ms(190), 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now, proof := 10*time.Second, 10*time.Second
			for _, news := range tt.news {
				asked, wait := now, nextWait(now-proof, tt.holds)
				spent := wait
				if news > 0 {
					spent = min(news, wait)
				}
				now += spent + answer
				c.Check(now-proof < tt.holds, qt.IsTrue, qt.Commentf("age %s", now-proof))
				proof = max(proof, provenAt(asked, now, wait, news > 0))
			}
		})
	}
}
