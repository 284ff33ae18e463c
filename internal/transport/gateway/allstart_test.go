package gateway

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/platform/standin"
)

// TestRemovedKeyWhenAllEntriesStart guards against a removed key that is served again because
// entries that all start believe a store that has lost its removal, and against keys that are
// refused after a start although nothing was lost.
func TestRemovedKeyWhenAllEntriesStart(t *testing.T) {
	const (
		soon = time.Second
		// rewriteDelay is the time from the restore to the operator's write.
		rewriteDelay = 2 * time.Second
	)
	tests := []struct {
		name    string
		entries int
		// back is how many of them start again; 0 stands for all.
		back int
		// gap is the time between the starts of two entries.
		gap        time.Duration
		isRestored bool
	}{
		{name: "one entry", entries: 1},
		{name: "several entries", entries: 3},
		{name: "one of several", entries: 3, back: 1},
		{name: "one entry, the store restored", entries: 1, isRestored: true},
		{name: "several entries, the store restored", entries: 3, isRestored: true},
		{name: "one of several, the store restored", entries: 3, back: 1, isRestored: true},
		{name: "one after the other, the store restored", entries: 3, gap: 600 * time.Millisecond, isRestored: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
			env.configure(removedKey, order)
			entries := []*Gateway{env.gateway}
			start := func(n int) *Gateway {
				return env.addEntry(fmt.Sprintf("entry-%d", n+1), fmt.Sprintf("127.0.0.%d", n+1), env.storeAddress)
			}
			for n := 1; n < tt.entries; n++ {
				entries = append(entries, start(n))
			}
			time.Sleep(balance.ExpiryPeriod + time.Second) // all have been in touch for some time
			copied := env.store.Copy()
			env.configure(testKey, order)
			for _, g := range entries {
				env.eventually("the key is removed", func() bool { return g.follower.Table().Account(removedKey) == nil })
				g.Close()
			}
			if tt.isRestored {
				env.store.Restore(copied)
			}
			entries = entries[:cmp.Or(tt.back, tt.entries)]
			startedAt := time.Now()
			for n := range entries {
				time.Sleep(time.Until(startedAt.Add(time.Duration(n) * tt.gap)))
				entries[n] = start(n)
			}
			if tt.isRestored {
				for time.Since(startedAt) < rewriteDelay {
					for _, g := range entries {
						env.c.Assert(env.order(g, "a-1", removedKey), qt.Not(qt.Equals), http.StatusOK)
					}
					time.Sleep(20 * time.Millisecond)
				}
				env.version--
				env.configure(testKey, order)
			}
			for _, g := range entries {
				served := time.Now()
				env.eventually("the key that was not removed is served", func() bool { return env.order(g, "a-2", testKey) == http.StatusOK })
				env.c.Check(time.Since(served) < soon, qt.IsTrue, qt.Commentf("%s", time.Since(served)))
				env.c.Check(env.order(g, "a-3", removedKey), qt.Equals, http.StatusUnauthorized)
			}
		})
	}
}

// TestEntryThatHasNotHeardOfARestoreIsNotBelieved guards against a removed key that is served by an
// entry that starts, because another one still has a confirmation from before the store was restored.
func TestEntryThatHasNotHeardOfARestoreIsNotBelieved(t *testing.T) {
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	env.configure(removedKey, order)
	time.Sleep(balance.ExpiryPeriod + time.Second) // the entry has been in touch for some time
	copied := env.store.Copy()
	env.silentConns.Store(math.MaxInt64)
	env.configure(testKey, order)
	env.store.Restore(copied)
	g := env.addEntry("entry-2", "127.0.0.2", env.storeAddress)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		env.c.Assert(env.order(g, "a-1", removedKey), qt.Not(qt.Equals), http.StatusOK)
	}
}
