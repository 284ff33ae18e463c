package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/platform/standin"
)

const (
	// heartbeat is the time after which writers write again, and silence the time after
	// which the store drops a target that nobody writes.
	heartbeat = 1200 * time.Millisecond
	silence   = 3 * heartbeat
)

// restoredEnv has an entry, target "t-0" in the data centre "east", and "t-1" in "west".
type restoredEnv struct {
	*testEnv
	// first and second are runs of t-1, at addresses of their own.
	first, second       *standin.Target
	firstURL, secondURL string
}

func newRestoredEnv(t *testing.T) *restoredEnv {
	env := &restoredEnv{testEnv: newTestEnv(t), first: &standin.Target{ID: "t-1"}, second: &standin.Target{ID: "t-1"}}
	env.firstURL, env.secondURL = env.addTarget(env.first, "t-1", "bells"), env.addTarget(env.second, "t-1", "bells")
	env.store.Delete("servers", "t-1")
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	return env
}

// put writes the registration of t-1.
func (env *restoredEnv) put(url, state string, startedAtMs int64) {
	env.store.Put("servers", "t-1", map[string]any{
		"service": "bells", "address": strings.TrimPrefix(url, "http://"), "zone": "west", "slots": 8, "state": state, "born": startedAtMs,
	})
}

func (env *restoredEnv) serving()   { env.put(env.firstURL, "serving", 100) }
func (env *restoredEnv) leaving()   { env.put(env.firstURL, "draining", 100) }
func (env *restoredEnv) restarted() { env.put(env.secondURL, "serving", 200) }
func (env *restoredEnv) gone()      { env.store.Delete("servers", "t-1") }
func (env *restoredEnv) out()       { env.store.Put("evacuations", "west", map[string]any{}) }
func (env *restoredEnv) nothing()   {}

// isUsed reports whether the run of t-1 at an address may get requests.
func (env *restoredEnv) isUsed(url string) bool {
	l, _ := env.gateway.fleet.Pick(balance.Request{Service: "bells", Tried: []string{"t-0"}}, time.Now())
	if l == nil {
		return false
	}
	defer l.Done(balance.Abandoned, 0, time.Now())
	return l.Target().Address == strings.TrimPrefix(url, "http://")
}

// absence is how long a store is away while it is restored.
const absence = 200 * time.Millisecond

// refusing, silent and present are what the store does while it is restored.
func refusing(s *standin.Store, c *standin.Copy) {
	s.SetFailureStatus(http.StatusServiceUnavailable)
	time.Sleep(absence)
	s.Restore(c)
	s.SetFailureStatus(0)
}

func silent(s *standin.Store, c *standin.Copy) {
	s.Hang()
	s.Restore(c)
	time.Sleep(absence)
	s.Resume()
}

func present(s *standin.Store, c *standin.Copy) { s.Restore(c) }

// configureAgain has the operator write its configuration again, as it was.
func (env *restoredEnv) configureAgain() {
	env.version--
	env.configure(testKey, order, status, draft, single)
}

// send sends requests for a time and returns how many were not served.
func (env *restoredEnv) send(duration time.Duration) int {
	failed := 0
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		if env.do(env.request(status, fmt.Sprintf("a-%d", n), "")).status != http.StatusOK {
			failed++
		}
		time.Sleep(20 * time.Millisecond)
	}
	return failed
}

// checkLast checks whether the first run is used once the store is followed again.
func (env *restoredEnv) checkLast(isUsed bool) {
	time.Sleep(2 * time.Second)
	if isUsed {
		env.eventually("the first run is used", func() bool { return env.isUsed(env.firstURL) })
		return
	}
	env.c.Check(env.isUsed(env.firstURL), qt.IsFalse)
}

// TestRestoredStoreBringsNoTargetBack restores the store from a copy that was made before t-1
// changed. Its first run gets no request until the store had time to tell of that again.
func TestRestoredStoreBringsNoTargetBack(t *testing.T) {
	tests := []struct {
		name string
		// change is done after the copy was made, and again after each restore.
		change, again func(env *restoredEnv)
		againAfter    time.Duration
		restores      int
		restore       func(s *standin.Store, c *standin.Copy)
		// isUsedAtLast is whether the first run gets requests in the end.
		isUsedAtLast bool
	}{
		{"it leaves", (*restoredEnv).leaving, (*restoredEnv).leaving, heartbeat, 1, refusing, false},
		{"it leaves, and the store is restored twice", (*restoredEnv).leaving, (*restoredEnv).leaving, heartbeat, 2, refusing, false},
		{"it leaves, and the store is silent", (*restoredEnv).leaving, (*restoredEnv).leaving, heartbeat, 1, silent, false},
		{"it leaves, and the store is never away", (*restoredEnv).leaving, (*restoredEnv).leaving, heartbeat, 1, present, false},
		{"it leaves, and is dropped", (*restoredEnv).leaving, (*restoredEnv).gone, silence, 1, refusing, false},
		{"it is removed, and dropped", (*restoredEnv).gone, (*restoredEnv).gone, silence, 1, refusing, false},
		{"it is removed, and written again", (*restoredEnv).gone, (*restoredEnv).nothing, 0, 1, refusing, true},
		{"it has started again", (*restoredEnv).restarted, (*restoredEnv).restarted, heartbeat, 1, refusing, false},
		{"its data centre is out", (*restoredEnv).out, (*restoredEnv).out, heartbeat, 1, refusing, false},
		{"its data centre is out, and in again", (*restoredEnv).out, (*restoredEnv).nothing, 0, 1, refusing, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			env := newRestoredEnv(t)
			env.serving()
			env.eventually("t-1 is used", func() bool { return env.isUsed(env.firstURL) })
			c := env.store.Copy()
			tt.change(env)
			env.eventually("the change is known", func() bool { return !env.isUsed(env.firstURL) })
			for range tt.restores {
				tt.restore(env.store, c)
				env.configureAgain()
				time.Sleep(400 * time.Millisecond)
			}
			env.configureAgain() // seen by the watch of an entry that has not confirmed the restore before
			before := len(env.first.Requests())
			time.AfterFunc(tt.againAfter, func() { tt.again(env) })
			env.c.Check(env.send(balance.ExpiryPeriod-time.Second), qt.Equals, 0)
			env.c.Check(len(env.first.Requests())-before, qt.Equals, 0, qt.Commentf("requests at the first run"))
			env.checkLast(tt.isUsedAtLast)
		})
	}
}

// TestRestoredStoreTakesNoTargetAway restores the store from a copy that was made before the
// only target registered. All requests are served
// until it writes again.
func TestRestoredStoreTakesNoTargetAway(t *testing.T) {
	tests := []struct {
		name  string
		again func(env *restoredEnv)
		// isUsedAtLast is whether t-1 still gets requests in the end.
		isUsedAtLast bool
	}{
		{"it writes again", (*restoredEnv).serving, true},
		{"it does not", (*restoredEnv).nothing, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			env := newRestoredEnv(t)
			env.store.Delete("servers", "t-0")
			c := env.store.Copy()
			env.serving()
			env.eventually("t-1 is used", func() bool { return env.isUsed(env.firstURL) })
			refusing(env.store, c)
			env.configureAgain()
			time.AfterFunc(heartbeat, func() { tt.again(env) })
			env.c.Check(env.send(balance.RewritePeriod-300*time.Millisecond), qt.Equals, 0)
			env.checkLast(tt.isUsedAtLast)
		})
	}
}
