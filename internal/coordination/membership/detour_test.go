package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRelaySelector simulates reads of an instance that the store answers at some
// times and not at others.
func TestRelaySelector(t *testing.T) {
	type read struct {
		at time.Duration
		// answering are the paths on which a read gets an answer at that time.
		answering []string
		want      string
		paths     int
		// changed reports that the direct path fails or recovers.
		changed bool
	}
	tests := []struct {
		name  string
		peers []string
		reads []read
	}{
		{"the store answers", []string{"a", "b"}, []read{
			{0, []string{Direct, "a", "b"}, Direct, 1, false},
		}},
		{"the store does not answer this instance, then answers again", []string{"a", "b"}, []read{
			{0, []string{"a"}, "none", 1, true},
			{time.Second, []string{"a"}, "a", 3, false},
			{9 * time.Second, []string{Direct, "a"}, "a", 3, false},
			{11 * time.Second, []string{Direct, "a"}, Direct, 1, true},
		}},
		{"the relaying peer fails, another one relays", []string{"a", "b"}, []read{
			{0, nil, "none", 1, true},
			{1 * time.Second, []string{"a"}, "a", 3, false},
			{2 * time.Second, []string{"b"}, "b", 3, false},
		}},
		{"the store is down for all instances and comes back", []string{"a", "b", "c", "d"}, []read{
			{0, nil, "none", 1, true},
			{1 * time.Second, nil, "none", 4, false},
			{2 * time.Second, []string{Direct}, Direct, 4, true},
			{3 * time.Second, []string{Direct}, Direct, 1, false},
		}},
		{"no peers", nil, []read{
			{0, nil, "none", 1, true},
			{time.Second, []string{Direct}, Direct, 1, true},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1000, 0)
			selector := NewRelaySelector(rand.New(rand.NewPCG(1, 2)))
			selector.SetPeers(tt.peers)
			for _, r := range tt.reads {
				now := start.Add(r.at)
				paths := selector.Paths(now)
				c.Check(paths, qt.HasLen, r.paths, qt.Commentf("at %s", r.at))
				got, changed := "none", false
				for _, path := range paths {
					answered := slices.Contains(r.answering, path)
					changed = selector.RecordCall(path, answered, now) || changed
					if answered {
						got = path
						break
					}
				}
				c.Check(got, qt.Equals, r.want, qt.Commentf("at %s", r.at))
				c.Check(changed, qt.Equals, r.changed, qt.Commentf("at %s", r.at))
				c.Check(selector.IsDirect(now), qt.Equals, got == Direct, qt.Commentf("at %s", r.at))
			}
		})
	}
}
