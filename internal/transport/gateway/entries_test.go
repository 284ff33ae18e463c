package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/membership"
	"bluebellcrank/platform"
	"bluebellcrank/platform/standin"
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

// TestEntryCutOffFromTheStore has the store turn one entry away: it reads
// through another one, serves keys for as long as it takes, and hears of a key
// that is removed meanwhile. Once the other entry is cut off as well, neither
// serves keys.
func TestEntryCutOffFromTheStore(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.addTargetAs(&standin.Target{ID: "t-0"}, "t-0", "bells")
	other := w.addEntry("entry-2", "127.0.0.2", w.storeAddress)
	w.eventually("entries know each other", func() bool { return w.gateway.entries.Load() == 2 && other.entries.Load() == 2 })
	w.eventually("the target serves", func() bool { return w.do(w.request(order, "a-0", "strike")).status == 200 })
	w.cutOff.Store(true)
	cut := time.Now()
	w.eventually("the entry would refuse keys alone", func() bool {
		c.Assert(w.do(w.request(order, "a-1", "strike")).status, qt.Equals, 200)
		return time.Since(cut) > w.gateway.limits().ConfirmationLifetime+time.Second
	})
	c.Check(other.metrics.passed.Get() > 0, qt.IsTrue)
	w.configure("another-key", order)
	removed := time.Now()
	w.eventually("the key is refused", func() bool { return w.do(w.request(order, "a-2", "strike")).status == 401 })
	c.Check(time.Since(removed) < time.Second, qt.IsTrue)
	w.store.SetFailureStatus(http.StatusServiceUnavailable)
	w.eventually("no entry is ready", func() bool { return !w.gateway.isReady() && !other.isReady() })
	w.store.SetFailureStatus(0)
	w.eventually("both are ready again", func() bool { return w.gateway.isReady() && other.isReady() })
}

// TestPassesOnlyReadsOn has an instance ask an entry for more than it passes on.
func TestPassesOnlyReadsOn(t *testing.T) {
	tests := []struct{ method, path string }{
		{http.MethodPost, "/v1/objects/config"},
		{http.MethodDelete, "/v1/objects/servers/t-0"},
		{http.MethodGet, "/v1/other"},
	}
	w := newWorld(t)
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.path, func(t *testing.T) {
			c := qt.New(t)
			answer := httptest.NewRecorder()
			w.gateway.passOn(answer, httptest.NewRequest(tt.method, tt.path, nil))
			c.Check(answer.Code, qt.Equals, http.StatusForbidden)
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
