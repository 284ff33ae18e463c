package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/instance"
	"bluebellcrank/platform/standin"
)

// drainClients send orders to an entry until it accepts no more connections.
type drainClients struct {
	env *testEnv
	// ran has the attempts that the target ran.
	ran sync.Map
	// served counts whole answers; cut describes the requests that were sent and
	// got none.
	served atomic.Int64
	mu     sync.Mutex
	cut    []string
}

// send sends one order on a connection and reports whether the connection may carry
// another one.
func (d *drainClients) send(conn net.Conn, attempt string, isNew bool) bool {
	_, err := fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: guild.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\nok", attempt, testKey)
	var answer *http.Response
	if err == nil {
		answer, err = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
	}
	if err == nil {
		d.served.Add(1)
		return !answer.Close
	}
	// A request on a kept connection may cross its close, and one on a connection that
	// was never accepted is reset. Neither has run.
	_, ran := d.ran.Load(attempt)
	_, accepted := d.env.accepted.Load(conn.LocalAddr().String())
	if ran || isNew && accepted {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.cut = append(d.cut, fmt.Sprintf("%s (new connection %v, ran %v): %v", attempt, isNew, ran, err))
	}
	return false
}

// run sends orders, each on a new connection or on kept ones, until no connection is
// accepted any more.
func (d *drainClients) run(name string, keepsConnections bool) {
	for n := 0; ; {
		conn, err := net.Dial("tcp", d.env.address)
		if err != nil {
			return
		}
		for isNew, more := true, true; more; isNew = false {
			n++
			more = d.send(conn, fmt.Sprintf("%s-%d", name, n), isNew) && keepsConnections
		}
		_ = conn.Close()
	}
}

// TestPlannedStopUnderLoad drains an entry while clients send requests on new and on
// kept connections. No request that the entry accepted may be cut off.
func TestPlannedStopUnderLoad(t *testing.T) {
	const clients = 24
	c := qt.New(t)
	env := newTestEnv(t)
	d := &drainClients{env: env}
	target := &standin.Target{ID: "t-0"}
	target.Handler = func(rw http.ResponseWriter, r *http.Request) {
		d.ran.Store(r.Header.Get("Attempt-Id"), true)
		time.Sleep(20 * time.Millisecond)
		_, _ = rw.Write([]byte("struck"))
	}
	url := env.addTarget(target, target.ID, "bells")
	env.store.Put("servers", target.ID, map[string]any{"service": "bells", "address": url[len("http://"):], "zone": "east", "slots": 64, "state": "serving"})
	env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() { d.run(fmt.Sprintf("client-%d", n), n%2 == 0) })
	}
	env.eventually("requests are served", func() bool { return d.served.Load() > 100 })
	env.gateway.Drain()
	ended := make(chan struct{})
	go func() {
		running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		c.Fatal("the entry still accepts connections 10 s after its stop")
	}
	t.Logf("%d requests served", d.served.Load())
	if len(d.cut) > 0 {
		c.Errorf("%d requests were cut, the first one: %s", len(d.cut), d.cut[0])
	}
}

// TestLateRequestsOfAPlannedStop has requests arrive slowly at an entry that stops, and one
// that outlasts it. Each must get an answer, and none may run that says that it has not.
func TestLateRequestsOfAPlannedStop(t *testing.T) {
	const grace = 2400 * time.Millisecond
	long := order
	long.timeoutMs = 8000
	const (
		head = "POST /order/x HTTP/1.1\r\nHost: guild.example\r\nAttempt-Id: late\r\nDeadline-Ms: 8000\r\nAuthorization: Token " + testKey + "\r\nContent-Length: 2\r\n"
		body = "\r\nok"
	)
	tests := []struct {
		name string
		// first is sent before the stop, and the rest after a time.
		first string
		after time.Duration
		work  time.Duration
		// status is the answer's, and runs is whether the target runs the request.
		status int
		runs   bool
	}{
		{"a header that ends soon", head, 900 * time.Millisecond, 100 * time.Millisecond, http.StatusOK, true},
		{"a header that ends late", head[:100], 1600 * time.Millisecond, 100 * time.Millisecond, http.StatusServiceUnavailable, false},
		{"a body that ends late", head + body[:3], 1600 * time.Millisecond, 5 * time.Second, http.StatusServiceUnavailable, false},
		{"a request that outlasts the entry", head + body, 0, 5 * time.Second, http.StatusGatewayTimeout, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.configure(testKey, long)
			s := *env.settings.Load()
			s.Bounds.GracePeriod = grace
			env.settings.Store(&s)
			env.gateway.Reload()
			var runs atomic.Int32
			env.addTarget(&standin.Target{ID: "t-0", Handler: func(_ http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				select {
				case <-time.After(tt.work):
				case <-r.Context().Done():
				}
			}}, "t-0", "bells")
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			time.Sleep(100 * time.Millisecond)
			conn, err := net.Dial("tcp", env.address)
			env.c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, tt.first)
			env.c.Assert(err, qt.IsNil)
			time.Sleep(50 * time.Millisecond)
			began := time.Now()
			go func() {
				env.gateway.Drain()
				env.gateway.Close()
			}()
			time.Sleep(tt.after)
			_, err = io.WriteString(conn, (head + body)[len(tt.first):])
			env.c.Assert(err, qt.IsNil)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			env.c.Assert(err, qt.IsNil)
			_ = answer.Body.Close()
			env.c.Check(time.Since(began) < grace, qt.IsTrue)
			env.c.Check(answer.StatusCode, qt.Equals, tt.status)
			env.c.Check(runs.Load() > 0, qt.Equals, tt.runs)
		})
	}
}

// TestLongRequestsAreNotTakenLateInAStop guards against requests that the entry cannot
// finish, sent later than 3 s after a SIGTERM that the entry noticed a little late.
func TestLongRequestsAreNotTakenLateInAStop(t *testing.T) {
	const noticedLate = 80 * time.Millisecond
	c := qt.New(t)
	sigterm := time.Now()
	g := &Gateway{drainStart: sigterm.Add(noticedLate)}
	bounds := instance.Bounds{}.Defaults()
	g.bounds.Store(&bounds)
	g.draining.Store(true)
	c.Check(g.isTooLate(bounds.GracePeriod, sigterm.Add(2500*time.Millisecond)), qt.IsFalse)
	c.Check(g.isTooLate(bounds.GracePeriod, sigterm.Add(3*time.Second)), qt.IsTrue)
	c.Check(g.isTooLate(time.Second, sigterm.Add(3*time.Second)), qt.IsFalse)
}
