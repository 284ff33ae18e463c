package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRelaySelector simulates reads of an instance to which the store responds at
// some times and not at others.
func TestRelaySelector(t *testing.T) {
	type read struct {
		at time.Duration
		// responding are the paths on which a read gets a response at that time.
		responding []string
		want       string
		// relays is the number of peers that may relay the read.
		relays int
		// changed is set if the direct path fails or recovers with this read.
		changed bool
	}
	tests := []struct {
		name  string
		peers []string
		reads []read
	}{
		{"the store answers", []string{"a", "b"}, []read{
			{0, []string{Direct, "a", "b"}, Direct, 0, false},
		}},
		{"the store does not answer this instance, then answers again", []string{"a", "b"}, []read{
			{0, []string{"a"}, "none", 0, true},
			{time.Second, []string{"a"}, "a", 2, false},
			{9 * time.Second, []string{Direct, "a"}, Direct, 2, true},
			{9100 * time.Millisecond, []string{Direct, "a"}, Direct, 0, false},
		}},
		{"an instance without reads for a while", []string{"a", "b"}, []read{
			{0, []string{"a"}, "none", 0, true},
			{11 * time.Second, []string{Direct, "a"}, Direct, 0, true},
		}},
		{"the relaying peer fails, another one relays", []string{"a", "b"}, []read{
			{0, nil, "none", 0, true},
			{1 * time.Second, []string{"a"}, "a", 2, false},
			{2 * time.Second, []string{"b"}, "b", 2, false},
		}},
		{"the store is down for all instances and comes back", []string{"a", "b", "c", "d"}, []read{
			{0, nil, "none", 0, true},
			{1 * time.Second, nil, "none", 3, false},
			{2 * time.Second, []string{Direct}, Direct, 3, true},
			{3 * time.Second, []string{Direct}, Direct, 0, false},
		}},
		{"no peers", nil, []read{
			{0, nil, "none", 0, true},
			{time.Second, []string{Direct}, Direct, 0, true},
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
				relays := selector.Relays(now)
				c.Check(relays, qt.HasLen, r.relays, qt.Commentf("at %s", r.at))
				got, changed := "none", false
				for _, path := range append([]string{Direct}, relays...) {
					responded := slices.Contains(r.responding, path)
					changed = selector.RecordCall(path, responded, now) || changed
					if responded {
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
