package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// busyListener accepts nothing while it is held, as a process does that is not scheduled.
type busyListener struct {
	*net.TCPListener
	held atomic.Bool
}

// Accept implements net.Listener.
func (l *busyListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	for l.held.Load() {
		time.Sleep(time.Millisecond)
	}
	return conn, err
}

// TestConnectionQueuedAtTheStopIsServed stops an entry without an open connection while one
// waits to be accepted.
func TestConnectionQueuedAtTheStopIsServed(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t)
	l := &busyListener{TCPListener: env.listen("127.0.0.1", 0).(*net.TCPListener)}
	env.traffic = l
	g := env.addEntry("entry-2", "127.0.0.2", env.storeAddress)
	s := *env.settings.Load()
	s.Bounds.GracePeriod = 1200 * time.Millisecond
	env.settings.Store(&s)
	g.Reload()
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	env.eventually("the entry is ready and knows its target", func() bool { return g.isReady() && len(g.fleet.Targets(time.Now())) == 1 })
	l.held.Store(true)
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: guild.example\r\nAttempt-Id: a-1\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\nok", testKey)
	c.Assert(err, qt.IsNil)
	var stopping sync.WaitGroup
	stopping.Go(func() {
		g.Drain()
		g.Close()
	})
	time.Sleep(s.Bounds.GracePeriod/3 + 30*time.Millisecond)
	l.held.Store(false)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	_ = answer.Body.Close()
	c.Check(answer.StatusCode, qt.Equals, http.StatusOK)
	stopping.Wait()
}
