package follower

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestProofStaysYoung plays watches of which some bring news: between two
// proofs the age must stay below the 3.5 s up to which keys are served.
func TestProofStaysYoung(t *testing.T) {
	const answer = 20 * time.Millisecond
	const most = 3500 * time.Millisecond
	tests := []struct {
		name string
		// news is when a watch brings news, from its start; 0 for none.
		news []time.Duration
	}{
		{"no news", make([]time.Duration, 5)},
		{"news just before the end of a watch", []time.Duration{1990 * time.Millisecond, 0, 0}},
		{"news in each watch", []time.Duration{1990 * time.Millisecond, 690 * time.Millisecond, 190 * time.Millisecond, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now, proof := 10*time.Second, 10*time.Second
			for _, news := range tt.news {
				asked, wait := now, nextWait(now-proof)
				spent := wait
				if news > 0 {
					spent = min(news, wait)
				}
				now += spent + answer
				c.Check(now-proof < most, qt.IsTrue, qt.Commentf("age %s", now-proof))
				proof = max(proof, provenAt(asked, now, wait, news > 0))
			}
		})
	}
}
