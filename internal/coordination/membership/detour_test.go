package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDetour plays reads of an instance that the store does not answer.
func TestDetour(t *testing.T) {
	type read struct {
		at time.Duration
		// answers are the ways that get an answer at that moment.
		answers []string
		want    string
		ways    int
		// turned says that the straight way is lost or found.
		turned bool
	}
	tests := []struct {
		name  string
		peers []string
		reads []read
	}{
		{"the store answers", []string{"a", "b"}, []read{
			{0, []string{Direct, "a", "b"}, Direct, 1, false},
		}},
		{"the store turns this instance away, then no longer", []string{"a", "b"}, []read{
			{0, []string{"a"}, "none", 1, true},
			{time.Second, []string{"a"}, "a", 3, false},
			{9 * time.Second, []string{Direct, "a"}, "a", 3, false},
			{11 * time.Second, []string{Direct, "a"}, Direct, 1, true},
		}},
		{"the peer goes, another one is there", []string{"a", "b"}, []read{
			{0, nil, "none", 1, true},
			{1 * time.Second, []string{"a"}, "a", 3, false},
			{2 * time.Second, []string{"b"}, "b", 3, false},
		}},
		{"the store is down for all and comes back", []string{"a", "b", "c", "d"}, []read{
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
			d := NewRelaySelector(rand.New(rand.NewPCG(1, 2)))
			d.SetPeers(tt.peers)
			for _, r := range tt.reads {
				now := start.Add(r.at)
				ways := d.Paths(now)
				c.Check(ways, qt.HasLen, r.ways, qt.Commentf("at %s", r.at))
				got, turned := "none", false
				for _, way := range ways {
					answered := slices.Contains(r.answers, way)
					turned = d.RecordRead(way, answered, now) || turned
					if answered {
						got = way
						break
					}
				}
				c.Check(got, qt.Equals, r.want, qt.Commentf("at %s", r.at))
				c.Check(turned, qt.Equals, r.turned, qt.Commentf("at %s", r.at))
				c.Check(d.IsDirect(now), qt.Equals, got == Direct, qt.Commentf("at %s", r.at))
			}
		})
	}
}
