package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// silencingListener is a listener whose open connections can go silent for good, while
// new ones work.
type silencingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silencingConn
}

// silencingConn drops what it gets and what is written to it once it is silent.
type silencingConn struct {
	net.Conn
	isSilent atomic.Bool
}

// Accept implements net.Listener.
func (l *silencingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silencingConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// silence silences the open connections.
func (l *silencingListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.isSilent.Store(true)
	}
}

// Read implements net.Conn.
func (c *silencingConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silencingConn) Write(p []byte) (int, error) {
	if c.isSilent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestStreamOnASilentConnection silences the connections to a target in the middle of a
// stream, while the target goes on with other streams on new connections.
func TestStreamOnASilentConnection(t *testing.T) {
	const (
		events = 60
		gap    = 40 * time.Millisecond
		// maxDelay is how much longer the stream may take; clients give up after a
		// pause of 2 s.
		maxDelay = 1500 * time.Millisecond
	)
	c := qt.New(t)
	env := newTestEnv(t)
	listeners := make([]*silencingListener, 2)
	for n, id := range []string{"t-0", "t-1"} {
		server := httptest.NewUnstartedServer(&standin.Target{ID: id, Handler: standin.Events(events, gap)})
		listeners[n] = &silencingListener{Listener: server.Listener}
		server.Listener = listeners[n]
		server.Start()
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		env.store.Put("servers", id, map[string]any{
			"service": "drafts", "address": strings.TrimPrefix(server.URL, "http://"), "zone": "east", "slots": 8, "state": "serving",
			"group": map[string]any{"name": "g", "rank": n, "state": "open"},
		})
	}
	env.eventually("the targets are known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 2 })
	type result struct {
		reply
		took time.Duration
	}
	var all sync.WaitGroup
	stream := func(id string) *result {
		out := &result{}
		all.Go(func() {
			began := time.Now()
			*out = result{reply: env.do(env.request(draft, id, "")), took: time.Since(began)}
		})
		return out
	}
	for n := range 4 { // so that there are idle connections
		stream(fmt.Sprint("warm-", n))
	}
	all.Wait()
	silenced := []*result{stream("a-0"), stream("a-1")}
	time.Sleep(10 * gap)
	for _, l := range listeners {
		l.silence()
	}
	env.gateway.pool.CloseUnused(time.Now()) // so that the next streams get new connections
	for n := range 8 {
		stream(fmt.Sprint("b-", n))
		time.Sleep(5 * gap)
	}
	all.Wait()
	for _, r := range silenced {
		c.Check(r.status, qt.Equals, http.StatusOK)
		c.Check(r.broken, qt.IsFalse)
		c.Check(strings.Count(r.body, "data:"), qt.Equals, events)
		c.Check(r.took < events*gap+maxDelay, qt.IsTrue, qt.Commentf("%s", r.took))
	}
}
