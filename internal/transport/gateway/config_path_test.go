package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// stabilityWindow is how long after a fault an entry may still be affected.
const stabilityWindow = 3 * time.Second

// TestPausedRelayDoesNotDelayTheConfiguration has an entry read through another one
// for a moment. That the other entry stops answering afterwards must not delay the
// configuration of the first, which reaches the store again.
func TestPausedRelayDoesNotDelayTheConfiguration(t *testing.T) {
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	var paused atomic.Bool
	otherStore := env.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		env.store.ServeHTTP(answer, r)
		if paused.Load() {
			<-r.Context().Done()
			return
		}
		rw.WriteHeader(answer.Code)
		_, _ = rw.Write(answer.Body.Bytes())
	}))
	other := env.addEntry("entry-2", "127.0.0.2", otherStore)
	env.eventually("entries know each other", func() bool { return env.gateway.entryCount.Load() == 2 && other.entryCount.Load() == 2 })
	env.storeBlocked.Store(true)
	env.configure(testKey, order)
	env.eventually("the entry reads through the other one", func() bool { return other.metrics.relayedReads.Get() > 0 })
	env.storeBlocked.Store(false)
	time.Sleep(stabilityWindow)
	paused.Store(true)
	env.configure(testKey, order, status)
	time.Sleep(configPropagation)
	env.c.Check(env.do(env.request(status, "a-1", "")).status, qt.Equals, 200)
}

// TestSilentStoreConnections has all open connections to the store go silent while
// new ones work, those that are idle as well.
func TestSilentStoreConnections(t *testing.T) {
	const phases = 5
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	for n := range phases {
		var reads sync.WaitGroup
		for range 4 {
			reads.Go(func() {
				_, _, err := env.gateway.store.Entries(t.Context(), true)
				env.c.Check(err, qt.IsNil)
			})
		}
		reads.Wait()
		time.Sleep(time.Duration(n) * 400 * time.Millisecond)
		silentAt := time.Now()
		env.silenceStore()
		time.Sleep(stabilityWindow - configPropagation)
		added := route{name: fmt.Sprintf("added-%d", n), kind: "idempotent", service: "bells", maxTargets: 1, timeoutMs: 1000}
		env.configure(testKey, order, added)
		time.Sleep(time.Until(silentAt.Add(stabilityWindow)))
		env.c.Check(env.do(env.request(added, "a-1", "")).status, qt.Equals, 200, qt.Commentf("phase %d", n))
	}
}
