package membership

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bluebellcrank/internal/state/target"
)

var epoch = time.Unix(0, 0)

func instances(n int) []target.Instance {
	out := make([]target.Instance, n)
	for i := range out {
		out[i] = target.Instance{ID: fmt.Sprintf("agent-%d", i), Role: target.Agent, Service: "advisor", DataCentre: "east", Peer: "10.0.0.1:7001", Traffic: "10.0.0.1:7002"}
	}
	return out
}

func TestPartsBringAnyListUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		build := func(label string) List {
			list := instances(rapid.IntRange(0, 60).Draw(t, label))
			for n := range list {
				list[n].Leaving = rapid.Bool().Draw(t, "leaving")
			}
			return New(list, epoch)
		}
		mine, theirs := build("mine"), build("theirs")
		got := mine.WithParts(theirs.DifferingParts(mine.Digest()), epoch)
		if got.Digest() != theirs.Digest() || len(got.Instances()) != len(theirs.Instances()) {
			t.Fatalf("%d instances, want %d", len(got.Instances()), len(theirs.Instances()))
		}
	})
}

func TestOneChangeCostsOnePart(t *testing.T) {
	c := qt.New(t)
	list := instances(7390)
	before := New(list, epoch)
	list[17].Leaving = true
	parts := New(list, epoch).DifferingParts(before.Digest())
	c.Assert(parts, qt.HasLen, 1)
	c.Assert(len(parts[0].Instances) < 2*7390/Buckets, qt.IsTrue)
}
