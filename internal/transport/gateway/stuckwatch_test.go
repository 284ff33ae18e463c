package gateway

import (
	"math"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/instance"
	"bluebellcrank/platform/standin"
)

// TestStuckWatchOutlivesItsRelay guards against an entry that does not hear of changes once the
// store answers it again, because a watch waits for an answer that the silent store has swallowed
// and the entry that relayed the same watch has died or fallen silent.
func TestStuckWatchOutlivesItsRelay(t *testing.T) {
	const (
		silentFor = 6 * time.Second
		// The times count from the end of the silence.
		relayEndsAt = 2500 * time.Millisecond
		changeAt    = 4500 * time.Millisecond
		// evacuation is how long a data centre that is out may get requests.
		evacuation = 5 * time.Second
	)
	kill := func(g *Gateway, _ *atomic.Bool) { g.Close() }
	silence := func(_ *Gateway, isSilent *atomic.Bool) { isSilent.Store(true) }
	leave := func(env *testEnv) { env.putTarget("t-0", "bells", "http://127.0.0.1:9", "draining") }
	isLeaving := func(env *testEnv) bool { return knowsTarget(env.gateway, "t-0", true) }
	evacuate := func(env *testEnv) { env.store.Put("evacuations", "east", map[string]any{}) }
	isOut := func(env *testEnv) bool {
		return env.order(env.gateway, "a-east", testKey) == http.StatusServiceUnavailable
	}
	drain := instance.Bounds{}.Defaults().DrainPeriod
	tests := []struct {
		name     string
		endRelay func(relay *Gateway, isSilent *atomic.Bool)
		change   func(env *testEnv)
		isSeen   func(env *testEnv) bool
		limit    time.Duration
	}{
		{"a target leaves, the relay dies", kill, leave, isLeaving, drain},
		{"a target leaves, the relay is silent", silence, leave, isLeaving, drain},
		{"a data centre is taken out, the relay dies", kill, evacuate, isOut, evacuation},
		{"a data centre is taken out, the relay is silent", silence, evacuate, isOut, evacuation},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
			var isSilent atomic.Bool
			relay := env.addEntry("entry-2", "127.0.0.2", env.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if isSilent.Load() {
					<-r.Context().Done()
					return
				}
				env.store.ServeHTTP(w, r)
			})))
			env.eventually("the relay is ready", relay.isReady)
			env.eventually("both know both", func() bool { return env.gateway.entryCount.Load() == 2 && relay.entryCount.Load() == 2 })
			env.silentConns.Store(math.MaxInt64)
			time.Sleep(silentFor)
			env.silenceStore() // those that were opened meanwhile carry nothing any more
			healed := time.Now()
			time.Sleep(relayEndsAt)
			tt.endRelay(relay, &isSilent)
			time.Sleep(time.Until(healed.Add(changeAt)))
			tt.change(env)
			for end := time.Now().Add(tt.limit); time.Now().Before(end) && !tt.isSeen(env); {
				time.Sleep(20 * time.Millisecond)
			}
			env.c.Check(tt.isSeen(env), qt.IsTrue)
		})
	}
}
