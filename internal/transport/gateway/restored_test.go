package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/coordination/quarantine"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
	"bluebellcrank/platform/standin"
)

// restoreTime is how long after a restore an entry may not know yet what was written again.
const restoreTime = 3 * time.Second

// removedKey is a key of the first version of a restoredEnv.
const removedKey = "removed-key"

// fill raises the store's revision by changes that the entries watch.
func (env *testEnv) fill(count int) {
	for n := range count {
		env.putTarget("filler", "drafts", fmt.Sprint("http://127.0.0.1:", n+1), "serving")
	}
}

// knowsTarget reports whether an entry has a target in a state.
func knowsTarget(g *Gateway, id string, isLeaving bool) bool {
	return slices.ContainsFunc(g.fleet.Targets(time.Now()), func(t balance.TargetState) bool { return t.ID == id && t.Leaving == isLeaving })
}

// TestChangeAfterARestoreIsNotMissed restores the store while it answers no call, so that a
// watch goes on from a revision that is given out again, past a change.
func TestChangeAfterARestoreIsNotMissed(t *testing.T) {
	tests := []struct {
		name   string
		change func(env *testEnv)
		isSeen func(env *testEnv) bool
	}{
		{"a new target", func(env *testEnv) { env.putTarget("t-new", "bells", "http://127.0.0.1:9", "serving") }, func(env *testEnv) bool {
			return knowsTarget(env.gateway, "t-new", false)
		}},
		{"a target that leaves", func(env *testEnv) { env.putTarget("t-0", "bells", "http://127.0.0.1:9", "draining") }, func(env *testEnv) bool {
			return knowsTarget(env.gateway, "t-0", true)
		}},
		{"a data centre out of service", func(env *testEnv) { env.store.Put("evacuations", "east", map[string]any{}) }, func(env *testEnv) bool {
			return env.do(env.request(order, "a-east", "strike")).status == http.StatusServiceUnavailable
		}},
		{"a version of the configuration", func(env *testEnv) { env.configure("another-key", order) }, func(env *testEnv) bool {
			return env.gateway.follower.Table().Account("another-key") != nil
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
			env.eventually("the target is known", func() bool { return knowsTarget(env.gateway, "t-0", false) })
			copied := env.store.Copy()
			env.fill(8)
			env.configure(testKey, order)
			env.store.Put("evacuations", "west", map[string]any{})
			env.eventually("the entry follows", func() bool { return env.gateway.follower.Table().Version() == 2 })
			time.Sleep(time.Second) // all watches wait from a late revision
			env.store.Hang()
			env.store.Restore(copied)
			tt.change(env)
			env.fill(20)
			env.store.Resume()
			for end := time.Now().Add(restoreTime); time.Now().Before(end) && !tt.isSeen(env); {
				time.Sleep(20 * time.Millisecond)
			}
			env.c.Check(tt.isSeen(env), qt.IsTrue)
		})
	}
}

// TestRemovedKeyIsNotServedWhileTheStoreHasLostItsRemoval restores a store from before a key
// was removed, with an entry that knows the removal and one that may not.
func TestRemovedKeyIsNotServedWhileTheStoreHasLostItsRemoval(t *testing.T) {
	tests := []struct {
		name string
		// start returns the entry that knows the removal, and a function that returns the
		// other one after the restore.
		start func(env *testEnv) (*Gateway, func() *Gateway)
	}{
		{"the same entry", func(env *testEnv) (*Gateway, func() *Gateway) {
			return env.gateway, func() *Gateway { return env.gateway }
		}},
		{"an entry that starts", func(env *testEnv) (*Gateway, func() *Gateway) {
			return env.gateway, func() *Gateway { return env.addEntry("entry-2", "127.0.0.2", env.storeAddress) }
		}},
		{"an entry that was cut off", func(env *testEnv) (*Gateway, func() *Gateway) {
			env.storeBlocked.Store(true)
			env.silenceStore()
			other := env.addEntry("entry-2", "127.0.0.2", env.storeAddress)
			env.eventually("the other entry is ready", other.isReady)
			return other, func() *Gateway {
				time.Sleep(env.settings.Load().Bounds.RevocationTimeout)
				env.storeBlocked.Store(false)
				return env.gateway
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
			env.configure(removedKey, order)
			env.eventually("the key is known", func() bool { return env.gateway.follower.Table().Account(removedKey) != nil })
			knower, start := tt.start(env)
			env.eventually("the entry is registered", func() bool {
				return slices.Contains(env.store.Names("bluebellcrank-entries"), knower.settings.Name)
			})
			copied := env.store.Copy()
			env.configure(testKey, order)
			env.eventually("the key is removed", func() bool { return knower.follower.Table().Account(removedKey) == nil })
			env.store.SetFailureStatus(http.StatusServiceUnavailable)
			time.Sleep(200 * time.Millisecond)
			env.store.Restore(copied)
			env.store.SetFailureStatus(0)
			g := start()
			do := func(attempt, key string) int {
				q := env.request(order, attempt, "strike")
				q.URL.Host = g.settings.TrafficListen
				q.Header.Set("Authorization", "Token "+key)
				return env.do(q).status
			}
			for end := time.Now().Add(restoreTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				env.c.Assert(do("a-1", removedKey), qt.Not(qt.Equals), http.StatusOK)
			}
			env.version--
			env.configure(testKey, order)
			env.eventually("the key of the version that is written again is served", func() bool { return do("a-2", testKey) == http.StatusOK })
			env.eventually("the removed key is unknown", func() bool {
				code := do("a-3", removedKey)
				env.c.Assert(code, qt.Not(qt.Equals), http.StatusOK)
				return code == http.StatusUnauthorized
			})
		})
	}
}

// TestWhatAnEntryWroteIsWrittenAgainAfterARestore restores a store from before the entry
// registered and quarantined a key.
func TestWhatAnEntryWroteIsWrittenAgainAfterARestore(t *testing.T) {
	env := newTestEnv(t)
	suspect := quarantine.Suspect{Request: 7}
	for n := range 3 {
		env.gateway.quarantine.recordCrash(suspect, true, process.BootTime()+time.Duration(n)*time.Second)
	}
	names := func() []string {
		return slices.Concat(env.store.Names("bluebellcrank-entries"), env.store.Names("bluebellcrank-quarantined"))
	}
	written := []string{"entry-1", keyName(7)}
	env.eventually("both are written", func() bool { return slices.Equal(names(), written) })
	copied := env.store.Copy()
	for _, name := range written {
		env.store.Delete("bluebellcrank-entries", name)
		env.store.Delete("bluebellcrank-quarantined", name)
	}
	empty := env.store.Copy()
	env.store.Restore(copied)
	time.Sleep(secondReadDelay + time.Second) // the next read is due after entriesReadInterval
	env.store.Restore(empty)
	for end := time.Now().Add(restoreTime); time.Now().Before(end) && !slices.Equal(names(), written); {
		time.Sleep(20 * time.Millisecond)
	}
	env.c.Check(names(), qt.DeepEquals, written)
}

// TestRegistrationIsNotRemovedByARevisionOfBefore has an entry be removed by the revision of
// its registration before the store was restored.
func TestRegistrationIsNotRemovedByARevisionOfBefore(t *testing.T) {
	env := newTestEnv(t)
	s := platform.NewStore(env.storeAddress)
	copied := env.store.Copy()
	env.c.Assert(s.Register(t.Context(), "entry-9", "127.0.0.9", "east"), qt.IsNil)
	list, _, err := s.Entries(t.Context(), false)
	env.c.Assert(err, qt.IsNil)
	env.store.Restore(copied)
	env.c.Assert(s.Register(t.Context(), "entry-9", "127.0.0.9", "east"), qt.IsNil)
	env.c.Check(s.RemoveEntry(t.Context(), "entry-9", list["entry-9"].Registered), qt.ErrorIs, platform.ErrConflict)
	env.c.Check(slices.Contains(env.store.Names("bluebellcrank-entries"), "entry-9"), qt.IsTrue)
}

// TestRemovedKeyIsNotServedByAnEntryThatCouldAskNobody has an entry start whose list of entries
// cannot be read at first.
func TestRemovedKeyIsNotServedByAnEntryThatCouldAskNobody(t *testing.T) {
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	env.configure(removedKey, order)
	env.eventually("the key is known", func() bool { return env.gateway.follower.Table().Account(removedKey) != nil })
	copied := env.store.Copy()
	env.configure(testKey, order)
	env.eventually("the key is removed", func() bool { return env.gateway.follower.Table().Account(removedKey) == nil })
	env.store.Restore(copied)
	refusedUntil := time.Now().Add(500 * time.Millisecond)
	address := env.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "bluebellcrank-entries") && time.Now().Before(refusedUntil) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		env.store.ServeHTTP(w, r)
	}))
	g := env.addEntry("entry-2", "127.0.0.2", address)
	for end := time.Now().Add(restoreTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		q := env.request(order, "a-1", "strike")
		q.URL.Host = g.settings.TrafficListen
		q.Header.Set("Authorization", "Token "+removedKey)
		env.c.Assert(env.do(q).status, qt.Not(qt.Equals), http.StatusOK)
	}
}

// TestVersionThatIsWrittenAgainOtherwiseIsApplied has the operator give a number that was lost to
// another configuration.
func TestVersionThatIsWrittenAgainOtherwiseIsApplied(t *testing.T) {
	env := newTestEnv(t)
	copied := env.store.Copy()
	env.configure(testKey, order)
	env.eventually("the entry follows", func() bool { return env.gateway.follower.Table().Version() == 2 })
	env.store.Restore(copied)
	env.version--
	env.configure("another-key", order)
	env.eventually("the other configuration is in force", func() bool { return env.gateway.follower.Table().Account("another-key") != nil })
}

// TestAllQuarantinedKeysAreWrittenAgain has more of them than may wait for the store.
func TestAllQuarantinedKeysAreWrittenAgain(t *testing.T) {
	const count = maxUnsavedKeys + 8
	env := newTestEnv(t)
	empty := env.store.Copy()
	for k := range count {
		for n := range 3 {
			env.gateway.quarantine.recordCrash(quarantine.Suspect{Request: quarantine.Key(k + 1)}, true, process.BootTime()+time.Duration(n)*time.Second)
		}
		time.Sleep(20 * time.Millisecond)
	}
	stored := func() int { return len(env.store.Names("bluebellcrank-quarantined")) }
	env.eventually("all are written", func() bool { return stored() == count })
	env.store.Restore(empty)
	env.eventually("all are written again", func() bool { return stored() == count })
}

// TestFewCallsWhileTheNewestVersionIsLost counts the calls of an entry whose configuration is
// not confirmed.
func TestFewCallsWhileTheNewestVersionIsLost(t *testing.T) {
	const period, maxCalls = 5 * time.Second, 10
	env := newTestEnv(t)
	copied := env.store.Copy()
	env.configure(testKey, order)
	env.eventually("the entry follows", func() bool { return env.gateway.follower.Table().Version() == 2 })
	env.store.Restore(copied)
	time.Sleep(2 * balance.ExpiryPeriod)
	before := env.store.CallCount()
	time.Sleep(period)
	env.c.Check(env.store.CallCount()-before < maxCalls, qt.IsTrue, qt.Commentf("%d calls", env.store.CallCount()-before))
}

// TestEntriesCountEachOtherWhileTheyRegisterAgain restores the store from before the second entry
// registered.
func TestEntriesCountEachOtherWhileTheyRegisterAgain(t *testing.T) {
	env := newTestEnv(t)
	copied := env.store.Copy()
	other := env.addEntry("entry-2", "127.0.0.2", env.storeAddress)
	env.eventually("both know both", func() bool { return env.gateway.entryCount.Load() == 2 && other.entryCount.Load() == 2 })
	time.Sleep(secondReadDelay + time.Second)
	for n := range 3 {
		env.store.SetFailureStatus(http.StatusServiceUnavailable)
		time.Sleep(time.Second)
		env.store.Restore(copied)
		env.store.SetFailureStatus(0)
		for end := time.Now().Add(secondReadDelay + time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			env.c.Assert(env.gateway.entryCount.Load() >= 2, qt.IsTrue, qt.Commentf("restore %d", n))
		}
	}
}

// TestRemovedKeyThatNoEntryKnows has the only entry cut off when a key is removed, until the
// store is restored from before.
func TestRemovedKeyThatNoEntryKnows(t *testing.T) {
	tests := []struct {
		name string
		// other returns the entry that is asked after the restore.
		other func(env *testEnv) *Gateway
	}{
		{"that entry", func(env *testEnv) *Gateway { return env.gateway }},
		{"an entry that starts beside it", func(env *testEnv) *Gateway { return env.addEntry("entry-2", "127.0.0.2", env.storeAddress) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
			env.configure(removedKey, order)
			env.eventually("the key is known", func() bool { return env.gateway.follower.Table().Account(removedKey) != nil })
			copied := env.store.Copy()
			env.storeBlocked.Store(true)
			env.silenceStore()
			time.Sleep(500 * time.Millisecond)
			env.configure(testKey, order)
			time.Sleep(env.settings.Load().Bounds.RevocationTimeout)
			env.store.Restore(copied)
			env.storeBlocked.Store(false)
			restored := time.Now()
			env.eventually("the entry has read the restored store", func() bool {
				env.c.Assert(env.order(env.gateway, "a-0", removedKey), qt.Not(qt.Equals), http.StatusOK)
				return len(env.logged(event.StoreRestored)) > 0
			})
			g := tt.other(env)
			for time.Since(restored) < balance.ExpiryPeriod {
				env.c.Assert(env.order(g, "a-1", removedKey), qt.Not(qt.Equals), http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			env.eventually("the operator has lost the removal", func() bool { return env.order(g, "a-2", removedKey) == http.StatusOK })
		})
	}
}

// order sends an order with a key to an entry, and returns the status of the answer.
func (env *testEnv) order(g *Gateway, attempt, key string) int {
	q := env.request(order, attempt, "strike")
	q.URL.Host = g.settings.TrafficListen
	q.Header.Set("Authorization", "Token "+key)
	return env.do(q).status
}

// TestEntryThatStartsBeforeOneIsBackDoesNotServeARemovedKey guards against an entry that believes
// one that has been out of touch with the store since before a removal was lost.
func TestEntryThatStartsBeforeOneIsBackDoesNotServeARemovedKey(t *testing.T) {
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	env.configure(removedKey, order)
	env.eventually("the key is known", func() bool { return env.gateway.follower.Table().Account(removedKey) != nil })
	copied := env.store.Copy()
	env.storeBlocked.Store(true)
	env.silenceStore()
	time.Sleep(500 * time.Millisecond)
	env.configure(testKey, order)
	time.Sleep(env.settings.Load().Bounds.RevocationTimeout)
	env.store.Restore(copied)
	restored := time.Now()
	g := env.addEntry("entry-2", "127.0.0.2", env.storeAddress)
	env.eventually("the other entry is ready", g.isReady)
	for time.Since(restored) < balance.ExpiryPeriod {
		if time.Since(restored) > balance.ExpiryPeriod/2 {
			env.storeBlocked.Store(false)
		}
		env.c.Assert(env.order(g, "a-1", removedKey), qt.Not(qt.Equals), http.StatusOK)
		env.c.Assert(env.order(env.gateway, "a-2", removedKey), qt.Not(qt.Equals), http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	env.eventually("the operator has lost the removal", func() bool { return env.order(g, "a-3", removedKey) == http.StatusOK })
}

// TestEntryBelievesNoneThatStartsAfterARestore guards against a removed key that is served by an
// entry that was out of touch, because one that has started since was confirmed.
func TestEntryBelievesNoneThatStartsAfterARestore(t *testing.T) {
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	env.configure(removedKey, order)
	env.eventually("the key is known", func() bool { return env.gateway.follower.Table().Account(removedKey) != nil })
	env.store.Delete("bluebellcrank-entries", "entry-1")
	copied := env.store.Copy()
	env.storeBlocked.Store(true)
	env.silenceStore()
	time.Sleep(500 * time.Millisecond)
	env.configure(testKey, order)
	time.Sleep(env.settings.Load().Bounds.RevocationTimeout)
	env.store.Restore(copied)
	g := env.addEntry("entry-2", "127.0.0.2", env.storeAddress)
	env.eventually("an entry that cannot know better serves the key", func() bool { return env.order(g, "a-1", removedKey) == http.StatusOK })
	env.storeBlocked.Store(false)
	back := time.Now()
	for time.Since(back) < balance.ExpiryPeriod-500*time.Millisecond {
		env.c.Assert(env.order(env.gateway, "a-2", removedKey), qt.Not(qt.Equals), http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	env.eventually("the operator has lost the removal", func() bool { return env.order(env.gateway, "a-3", removedKey) == http.StatusOK })
}

// TestEntryKeepsThoseItKnowsWhileItCannotRegisterAgain guards against an entry that takes the list
// of a restored store for complete because its own registration is missing as well.
func TestEntryKeepsThoseItKnowsWhileItCannotRegisterAgain(t *testing.T) {
	env := newTestEnv(t)
	copied := env.store.Copy()
	var isRefused atomic.Bool
	address := env.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && isRefused.Load() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		env.store.ServeHTTP(w, r)
	}))
	g := env.addEntry("entry-2", "127.0.0.2", address)
	third := env.addEntry("entry-3", "127.0.0.3", address)
	env.eventually("all know all", func() bool { return g.entryCount.Load() == 3 && third.entryCount.Load() == 3 })
	time.Sleep(secondReadDelay + time.Second)
	isRefused.Store(true)
	env.store.Restore(copied)
	for end := time.Now().Add(restoreTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		env.c.Assert(len(g.peers.random(maxAskedEntries)), qt.Equals, 2)
	}
}
