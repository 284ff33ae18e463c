package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/platform/standin"
)

// keyClients ask entries with a removed key.
type keyClients struct {
	env *testEnv
	// late describes the requests that ran though they were sent later than the bound allows.
	late []string
}

// ask asks entries with the removed key until a time after its removal was acknowledged.
func (k *keyClients) ask(acked, until time.Time, entries ...*Gateway) {
	for time.Now().Before(until) {
		for n, g := range entries {
			sent := time.Now()
			if k.env.order(g, "a-1", removedKey) == http.StatusOK && sent.Sub(acked) > g.bounds.Load().RevocationTimeout {
				k.late = append(k.late, fmt.Sprintf("entry %d, %s after the removal", n+1, sent.Sub(acked).Round(10*time.Millisecond)))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// turnedAwayPlay is a store that turns entries away while a key is removed, and is then restored from
// before.
type turnedAwayPlay struct {
	name    string
	manner  http.HandlerFunc
	entries int
	// awayFor and rewriteIn are the times from the removal to the restore, and from there to
	// the operator's write.
	awayFor, rewriteIn time.Duration
	// restores is how often the store is restored, a second apart.
	restores int
	// restarts is how many entries end at the restore and start again.
	restarts int
	// turnedAgain has them turned away again for half a second right after the restore.
	turnedAgain bool
}

// startAll starts the entries of a play, with a key that is removed later. The first entry of the
// environment keeps the port of the entries, and is out of touch with the store all the while.
func (tt turnedAwayPlay) startAll(env *testEnv, start func(n int) *Gateway) []*Gateway {
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	env.configure(removedKey, order)
	env.storeBlocked.Store(true)
	var entries []*Gateway
	for n := range tt.entries {
		entries = append(entries, start(n))
	}
	return entries
}

// run plays it, and checks that no request with the removed key runs too late. Plays with different
// numbers run at the same time, on addresses of their own.
func (tt turnedAwayPlay) run(t *testing.T, number int) {
	env := newTestEnv(t)
	gate := standin.NewGate(env.store)
	address := env.serve(gate)
	start := func(n int) *Gateway {
		return env.addEntry(fmt.Sprintf("entry-%d", n+2), fmt.Sprintf("127.2.%d.%d", number, n+2), address)
	}
	entries := tt.startAll(env, start)
	time.Sleep(balance.ExpiryPeriod + time.Second) // all have been in touch for some time
	copied := env.store.Copy()
	gate.TurnAway(tt.manner)
	time.Sleep(100 * time.Millisecond)
	env.configure(testKey, order)
	acked := time.Now()
	clients := &keyClients{env: env}
	clients.ask(acked, acked.Add(tt.awayFor), entries...)
	for n := range tt.restarts {
		entries[n].Close()
	}
	env.store.Restore(copied)
	gate.Open()
	for n := range tt.restarts {
		entries[n] = start(n)
	}
	back := time.Now()
	if tt.turnedAgain {
		clients.ask(acked, back.Add(300*time.Millisecond), entries...)
		gate.TurnAway(tt.manner)
		clients.ask(acked, back.Add(800*time.Millisecond), entries...)
		gate.Open()
	}
	for n := 1; n < tt.restores; n++ {
		clients.ask(acked, back.Add(time.Second), entries...)
		env.store.Restore(copied)
		back = time.Now()
	}
	clients.ask(acked, back.Add(tt.rewriteIn), entries...)
	env.version--
	env.configure(testKey, order)
	for _, g := range entries {
		env.eventually("the key that was not removed is served", func() bool { return env.order(g, "a-2", testKey) == http.StatusOK })
		env.c.Check(env.order(g, "a-3", removedKey), qt.Equals, http.StatusUnauthorized)
	}
	env.c.Check(clients.late, qt.HasLen, 0)
}

// TestRemovedKeyAfterEntriesWereTurnedAway guards against a removed key that is served again by
// entries that the store turned away while it served the operator, and that lost the removal.
func TestRemovedKeyAfterEntriesWereTurnedAway(t *testing.T) {
	const second = time.Second
	inTurn := standin.InTurn(standin.ResetCall, standin.FailCalls(http.StatusServiceUnavailable), standin.IgnoreCall, standin.FailCalls(http.StatusTooManyRequests))
	tests := []turnedAwayPlay{
		{name: "resets", manner: standin.ResetCall, entries: 3, awayFor: 5 * second, rewriteIn: 2 * second},
		{name: "resets, one entry", manner: standin.ResetCall, entries: 1, awayFor: 5 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "resets, the operator is early", manner: standin.ResetCall, entries: 3, awayFor: 5 * second, rewriteIn: second},
		{name: "resets, the operator is late", manner: standin.ResetCall, entries: 3, awayFor: 5 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "resets of 2 s", manner: standin.ResetCall, entries: 3, awayFor: 2 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "resets of 3 s", manner: standin.ResetCall, entries: 1, awayFor: 3 * second, rewriteIn: 3 * second},
		{name: "resets of 8 s", manner: standin.ResetCall, entries: 3, awayFor: 8 * second, rewriteIn: 3 * second},
		{name: "resets that come in series", manner: standin.ResetCall, entries: 3, awayFor: 5 * second, rewriteIn: 3 * second, turnedAgain: true},
		{name: "silence of 2 s", manner: standin.IgnoreCall, entries: 3, awayFor: 2 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "503 for 2 s", manner: standin.FailCalls(http.StatusServiceUnavailable), entries: 3, awayFor: 2 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "429 for 5 s", manner: standin.FailCalls(http.StatusTooManyRequests), entries: 3, awayFor: 5 * second, rewriteIn: 3 * second},
		{name: "in all manners", manner: inTurn, entries: 3, awayFor: 4 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "two restores", manner: standin.ResetCall, entries: 3, awayFor: 5 * second, rewriteIn: 3 * second, restores: 2},
		{name: "one starts again", manner: standin.ResetCall, entries: 3, awayFor: 5 * second, rewriteIn: 3 * second, restarts: 1},
		{name: "all start again", manner: standin.ResetCall, entries: 3, awayFor: 3 * second, rewriteIn: 3 * second, restarts: 3},
	}
	for number, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(t, number)
		})
	}
}
