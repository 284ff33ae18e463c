package gateway

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/membership"
	"bluebellcrank/platform"
)

// TestEntriesThatAreGoneLeaveTheList has entries on the list that were killed
// for good: nothing of theirs expires by itself, and each would shrink the
// shares of the others.
func TestEntriesThatAreGoneLeaveTheList(t *testing.T) {
	tests := []struct {
		name string
		// address is that of the other entry; a machine that is gone refuses
		// connections there.
		address string
		// anew has the other entry register again between the list and the removal.
		anew bool
		want bool
	}{
		{"gone", "127.0.0.2", false, false},
		{"alive", "127.0.0.1", false, true},
		{"registered anew meanwhile", "127.0.0.2", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t)
			const kind, other = "bluebellcrank-entries", "entry-9"
			w.store.Put(kind, other, map[string]any{"address": tt.address})
			w.eventually("the entry is on the list", func() bool { return len(w.store.Names(kind)) == 2 })
			list, err := w.gateway.store.Entries(t.Context(), false)
			c.Assert(err, qt.IsNil)
			if tt.anew {
				w.store.Put(kind, other, map[string]any{"address": tt.address, "data-centre": "west"})
			}
			var n membership.Neighbour
			for reads := range 4 {
				w.gateway.takeEntries(t.Context(), list, reads+1, &n)
			}
			c.Check(strings.Contains(strings.Join(w.store.Names(kind), " "), other), qt.Equals, tt.want)
		})
	}
}

// TestEntryRegistersAgain has the entry's own place on the list removed, as by
// another entry that could not reach it.
func TestEntryRegistersAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	const kind = "bluebellcrank-entries"
	w.eventually("the entry is on the list", func() bool { return len(w.store.Names(kind)) == 1 })
	w.store.Delete(kind, "entry-1")
	w.eventually("the entry is on the list again", func() bool { return len(w.store.Names(kind)) == 1 })
	list, err := w.gateway.store.Entries(t.Context(), false)
	c.Assert(err, qt.IsNil)
	c.Check(list["entry-1"], qt.Not(qt.Equals), platform.Entry{})
}
