package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/platform/standin"
)

// TestEndOfAConnectionIsExplained checks that the log line of a request says what ended its
// connection.
func TestEndOfAConnectionIsExplained(t *testing.T) {
	tests := []struct {
		name string
		end  func(g *Gateway, conn *net.TCPConn) error
		want any
	}{
		{"the client stays", func(*Gateway, *net.TCPConn) error { return nil }, nil},
		{"the client closes", func(_ *Gateway, conn *net.TCPConn) error { return conn.Close() }, endedByClient},
		{"the client ends its sending side", func(_ *Gateway, conn *net.TCPConn) error { return conn.CloseWrite() }, endedByClient},
		{"the client resets", func(_ *Gateway, conn *net.TCPConn) error {
			_ = conn.SetLinger(0)
			return conn.Close()
		}, endedByReset},
		{"the entry closes", func(g *Gateway, _ *net.TCPConn) error { return g.traffic.Close() }, endedHere},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			env := newTestEnv(t)
			arrived := make(chan bool)
			env.addTarget(&standin.Target{ID: "t-0", Handler: func(w http.ResponseWriter, _ *http.Request) {
				close(arrived)
				time.Sleep(200 * time.Millisecond)
				_, _ = io.WriteString(w, "done")
			}}, "t-0", "bells")
			env.eventually("the target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			conn, err := net.Dial("tcp", env.address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "%s\r\n", rawHead(order, "a-1"))
			c.Assert(err, qt.IsNil)
			<-arrived
			c.Assert(tt.end(env.gateway, conn.(*net.TCPConn)), qt.IsNil)
			env.eventually("the request has ended", func() bool { return len(env.logged(event.RequestEnded)) == 1 })
			c.Check(env.logged(event.RequestEnded)[0]["connection-end"], qt.Equals, tt.want)
		})
	}
}

// TestClientThatEndsItsSendingSideIsAnswered guards against the empty 200 for a request that
// waits for a target when its client, which still reads, ends its sending side.
func TestClientThatEndsItsSendingSideIsAnswered(t *testing.T) {
	tests := []struct{ name, request string }{
		{"without a body", keptRequest("GET", status, "a-1", longTime, noBody)},
		{"with a body", keptRequest("POST", order, "a-1", longTime, smallBody)},
		{"stream", keptRequest("POST", draft, "a-1", longTime, smallBody)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			env := newTestEnv(t)
			env.configure(testKey, lasting(status), lasting(order), lasting(draft))
			env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
			env.addTarget(&standin.Target{ID: "t-1"}, "t-1", "drafts")
			fleet := env.gateway.fleet
			env.eventually("the targets are known", func() bool { return len(fleet.Targets(time.Now())) == 2 })
			for _, r := range []balance.Request{{Service: "bells"}, {Service: "drafts", Stream: true, GapGoal: 120 * time.Millisecond}} {
				for lease, _ := fleet.Pick(r, time.Now()); lease != nil; lease, _ = fleet.Pick(r, time.Now()) {
					defer lease.Done(balance.Abandoned, 0, time.Now())
				}
			}
			k := dialKept(c, env.address)
			defer func() { _ = k.conn.Close() }()
			_, err := io.WriteString(k.conn, tt.request)
			c.Assert(err, qt.IsNil)
			env.eventually("the request waits", func() bool { return fleet.QueueLength() == 1 })
			c.Assert(k.conn.CloseWrite(), qt.IsNil)
			a := k.read(http.MethodGet)
			c.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
			c.Check(a.header.Get("Attempt-Id"), qt.Equals, "a-1")
			c.Check(a.closes, qt.IsTrue)
			line := env.logged(event.RequestEnded)[0]
			c.Check(line["reason"], qt.Equals, string(refusal.Cancelled))
			c.Check(line["connection-end"], qt.Equals, endedByClient)
		})
	}
}

// TestHandlerWithoutAnswerClosesTheConnection guards against the empty 200 that the HTTP library
// sends for a handler that returns without an answer.
func TestHandlerWithoutAnswerClosesTheConnection(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    int // 0 is a closed connection
	}{
		{"no answer", func(http.ResponseWriter, *http.Request) {}, 0},
		{"a header only", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Attempt-Id", "a") }, 0},
		{"a flush only", func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() }, 0},
		{"an informational answer only", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusEarlyHints) }, 0},
		{"a status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, 204},
		{"a body", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, 200},
	}
	env := newTestEnv(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			before := len(env.logged(event.RequestUnanswered))
			s := httptest.NewUnstartedServer(nil)
			s.Config = env.gateway.newServer(tt.handler, maxHeaderBytes)
			s.Start()
			defer s.Close()
			q, err := http.NewRequest(http.MethodGet, s.URL, nil)
			c.Assert(err, qt.IsNil)
			a := env.do(q)
			c.Check(a.status, qt.Equals, tt.want)
			c.Check(len(env.logged(event.RequestUnanswered))-before, qt.Equals, map[bool]int{true: 1}[tt.want == 0])
		})
	}
}
