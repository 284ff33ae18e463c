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

// TestEntriesThatAreGoneLeaveTheList guards against entries that no longer run
// staying on the list: a registration does not expire by itself, and each one
// shrinks the shares of the other entries.
func TestEntriesThatAreGoneLeaveTheList(t *testing.T) {
	tests := []struct {
		name string
		// address is the other entry's address; a machine that is gone refuses
		// connections there.
		address string
		// reregisters has the other entry register again between the read of the
		// list and the removal.
		reregisters bool
		want        bool
	}{
		{"gone", "127.0.0.2", false, false},
		{"alive", "127.0.0.1", false, true},
		{"registered again meanwhile", "127.0.0.2", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			env := newTestEnv(t)
			const kind, other = "bluebellcrank-entries", "entry-9"
			env.store.Put(kind, other, map[string]any{"address": tt.address})
			env.eventually("the entry is on the list", func() bool { return len(env.store.Names(kind)) == 2 })
			list, _, err := env.gateway.store.Entries(t.Context(), false)
			c.Assert(err, qt.IsNil)
			if tt.reregisters {
				env.store.Put(kind, other, map[string]any{"address": tt.address, "data-centre": "west"})
			}
			var n membership.Neighbour
			for reads := range 4 {
				env.gateway.applyEntries(t.Context(), list, reads+1, &n)
			}
			c.Check(strings.Contains(strings.Join(env.store.Names(kind), " "), other), qt.Equals, tt.want)
		})
	}
}

// TestEntryCutOffFromTheStore has the store refuse the requests of one entry. The
// entry must read through another entry, keep serving keys, and refuse a key that
// is removed meanwhile. Once the other entry is refused as well, neither may serve
// keys.
func TestEntryCutOffFromTheStore(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	other := env.addEntry("entry-2", "127.0.0.2", env.storeAddress)
	env.eventually("entries know each other", func() bool { return env.gateway.entryCount.Load() == 2 && other.entryCount.Load() == 2 })
	env.eventually("the target serves", func() bool { return env.do(env.request(order, "a-0", "strike")).status == 200 })
	env.storeBlocked.Store(true)
	blockedAt := time.Now()
	env.eventually("a confirmation from before the failure has expired", func() bool {
		c.Assert(env.do(env.request(order, "a-1", "strike")).status, qt.Equals, 200)
		return time.Since(blockedAt) > env.gateway.limits().ConfirmationLifetime+time.Second
	})
	c.Check(other.metrics.relayedReads.Get() > 0, qt.IsTrue)
	env.configure("another-key", order)
	removedAt := time.Now()
	env.eventually("the key is refused", func() bool { return env.do(env.request(order, "a-2", "strike")).status == 401 })
	c.Check(time.Since(removedAt) < time.Second, qt.IsTrue)
	env.store.SetFailureStatus(http.StatusServiceUnavailable)
	env.eventually("no entry is ready", func() bool { return !env.gateway.isReady() && !other.isReady() })
	env.store.SetFailureStatus(0)
	env.eventually("both are ready again", func() bool { return env.gateway.isReady() && other.isReady() })
}

// TestRelaysOnlyReads checks that an entry relays only reads of objects, and
// refuses writes and other paths.
func TestRelaysOnlyReads(t *testing.T) {
	tests := []struct{ method, path string }{
		{http.MethodPost, "/v1/objects/config"},
		{http.MethodDelete, "/v1/objects/servers/t-0"},
		{http.MethodGet, "/v1/other"},
	}
	env := newTestEnv(t)
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.path, func(t *testing.T) {
			c := qt.New(t)
			answer := httptest.NewRecorder()
			env.gateway.relayRead(answer, httptest.NewRequest(tt.method, tt.path, nil))
			c.Check(answer.Code, qt.Equals, http.StatusForbidden)
		})
	}
}

// TestEntryRegistersAgain removes the entry's registration, as another entry that
// cannot reach it would do.
func TestEntryRegistersAgain(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t)
	const kind = "bluebellcrank-entries"
	env.eventually("the entry is on the list", func() bool { return len(env.store.Names(kind)) == 1 })
	env.store.Delete(kind, "entry-1")
	env.eventually("the entry is on the list again", func() bool { return len(env.store.Names(kind)) == 1 })
	list, _, err := env.gateway.store.Entries(t.Context(), false)
	c.Assert(err, qt.IsNil)
	c.Check(list["entry-1"], qt.Not(qt.Equals), platform.Entry{})
}
