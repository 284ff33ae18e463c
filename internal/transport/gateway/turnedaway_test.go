package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/platform/standin"
)

// storeGate passes the calls of entries on to the store, or turns the entries away while the store
// serves the others.
type storeGate struct {
	store  *standin.Store
	server *httptest.Server
	// refusal answers the calls while it is set.
	refusal atomic.Pointer[http.HandlerFunc]
}

// newStoreGate starts a gate in front of the store.
func (env *testEnv) newStoreGate() *storeGate {
	g := &storeGate{store: env.store}
	g.server = httptest.NewServer(g)
	env.t.Cleanup(g.server.Close)
	return g
}

func (g *storeGate) address() string { return strings.TrimPrefix(g.server.URL, "http://") }

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if refuse := g.refusal.Load(); refuse != nil {
		(*refuse)(w, r)
		return
	}
	answer := httptest.NewRecorder()
	g.store.ServeHTTP(answer, r)
	if refuse := g.refusal.Load(); refuse != nil {
		(*refuse)(w, r) // a watch that was waiting
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// turnAway has the gate answer in a manner, also the calls that wait.
func (g *storeGate) turnAway(manner http.HandlerFunc) {
	g.refusal.Store(&manner)
	g.server.CloseClientConnections()
}

func (g *storeGate) open() { g.refusal.Store(nil) }

// The manners in which a store turns an entry away.
func resetting(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func unanswered(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func unavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

func tooMany(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }

// alternating resets, refuses and leaves calls unanswered in turn.
func alternating() http.HandlerFunc {
	var calls atomic.Int64
	manners := []http.HandlerFunc{resetting, unavailable, unanswered, tooMany}
	return func(w http.ResponseWriter, r *http.Request) { manners[calls.Add(1)%int64(len(manners))](w, r) }
}

// keyClients ask entries with a removed key, and know which of their requests ran too late.
type keyClients struct {
	env  *testEnv
	last []string
}

// ask asks entries with the removed key until a time after its removal was acknowledged.
func (k *keyClients) ask(acked, until time.Time, entries ...*Gateway) {
	for time.Now().Before(until) {
		for n, g := range entries {
			sent := time.Now()
			if k.env.order(g, "a-1", removedKey) == http.StatusOK && sent.Sub(acked) > g.bounds.Load().RevocationTimeout {
				k.last = append(k.last, fmt.Sprintf("entry %d, %s after the removal", n+1, sent.Sub(acked).Round(10*time.Millisecond)))
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

// startAll starts the entries of a play in place of the first one, with a key that is removed later.
func (tt turnedAwayPlay) startAll(env *testEnv, start func(n int) *Gateway) []*Gateway {
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	env.configure(removedKey, order)
	env.gateway.Close()
	env.store.Delete("bluebellcrank-entries", "entry-1")
	var entries []*Gateway
	for n := range tt.entries {
		entries = append(entries, start(n))
	}
	return entries
}

// run plays it, and checks that no request with the removed key runs too late.
func (tt turnedAwayPlay) run(t *testing.T) {
	env := newTestEnv(t)
	gate := env.newStoreGate()
	start := func(n int) *Gateway {
		return env.addEntry(fmt.Sprintf("entry-%d", n+1), fmt.Sprintf("127.0.0.%d", n+1), gate.address())
	}
	entries := tt.startAll(env, start)
	time.Sleep(balance.ExpiryPeriod + time.Second) // all have been in touch for some time
	copied := env.store.Copy()
	gate.turnAway(tt.manner)
	time.Sleep(100 * time.Millisecond)
	env.configure(testKey, order)
	acked := time.Now()
	clients := &keyClients{env: env}
	clients.ask(acked, acked.Add(tt.awayFor), entries...)
	for n := range tt.restarts {
		entries[n].Close()
	}
	env.store.Restore(copied)
	gate.open()
	for n := range tt.restarts {
		entries[n] = start(n)
	}
	back := time.Now()
	if tt.turnedAgain {
		clients.ask(acked, back.Add(300*time.Millisecond), entries...)
		gate.turnAway(tt.manner)
		clients.ask(acked, back.Add(800*time.Millisecond), entries...)
		gate.open()
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
	env.c.Check(clients.last, qt.HasLen, 0, qt.Commentf("%d served, the last by %v", len(clients.last), clients.last[max(0, len(clients.last)-1):]))
}

// TestRemovedKeyAfterEntriesWereTurnedAway guards against a removed key that is served again by
// entries that the store turned away while it served the operator, and that lost the removal.
func TestRemovedKeyAfterEntriesWereTurnedAway(t *testing.T) {
	const second = time.Second
	tests := []turnedAwayPlay{
		{name: "resets", manner: resetting, entries: 3, awayFor: 5 * second, rewriteIn: 2 * second},
		{name: "resets, one entry", manner: resetting, entries: 1, awayFor: 5 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "resets, the operator is early", manner: resetting, entries: 3, awayFor: 5 * second, rewriteIn: second},
		{name: "resets, the operator is late", manner: resetting, entries: 3, awayFor: 5 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "resets of 2 s", manner: resetting, entries: 3, awayFor: 2 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "resets of 3 s", manner: resetting, entries: 1, awayFor: 3 * second, rewriteIn: 3 * second},
		{name: "resets of 8 s", manner: resetting, entries: 3, awayFor: 8 * second, rewriteIn: 3 * second},
		{name: "resets that come in series", manner: resetting, entries: 3, awayFor: 5 * second, rewriteIn: 3 * second, turnedAgain: true},
		{name: "silence of 2 s", manner: unanswered, entries: 3, awayFor: 2 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "503 for 2 s", manner: unavailable, entries: 3, awayFor: 2 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "429 for 5 s", manner: tooMany, entries: 3, awayFor: 5 * second, rewriteIn: 3 * second},
		{name: "in all manners", manner: alternating(), entries: 3, awayFor: 4 * second, rewriteIn: 3500 * time.Millisecond},
		{name: "two restores", manner: resetting, entries: 3, awayFor: 5 * second, rewriteIn: 3 * second, restores: 2},
		{name: "one starts again", manner: resetting, entries: 3, awayFor: 5 * second, rewriteIn: 3 * second, restarts: 1},
		{name: "all start again", manner: resetting, entries: 3, awayFor: 3 * second, rewriteIn: 3 * second, restarts: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(t)
		})
	}
}
