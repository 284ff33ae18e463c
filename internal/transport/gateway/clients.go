package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// clientConns records since when each idle client connection has been idle, and since
// when each other one sends the header of a request. It replaces the IdleTimeout and
// the ReadHeaderTimeout of http.Server, which cannot change while the server runs. It
// is safe for concurrent use.
type clientConns struct {
	mu sync.Mutex
	// open is the number of connections that were accepted and not closed.
	open int
	// unused has the connections that have sent nothing, and when they were
	// accepted.
	unused  map[net.Conn]time.Time
	idle    map[net.Conn]time.Time
	headers map[net.Conn]time.Time
}

func newClientConns() *clientConns {
	return &clientConns{unused: map[net.Conn]time.Time{}, idle: map[net.Conn]time.Time{}, headers: map[net.Conn]time.Time{}}
}

// firstRequestTimeout is how long a connection may send nothing before it is closed
// when the entry stops.
const firstRequestTimeout = time.Second

// clientConn is a client's connection that records when the header of a request
// begins, since http.Server reports it only once the header is complete.
type clientConn struct {
	net.Conn
	clients *clientConns
	// awaitsHeader is set while the next byte begins the header of a request.
	awaitsHeader atomic.Bool
	// isExpired is set once the connection is to be closed. It is guarded by the lock of
	// clients.
	isExpired bool
	closed    sync.Once
}

// NetConn returns the wrapped connection.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.closed.Do(func() { c.clients.removed(c) })
	return c.Conn.Close()
}

// Read implements net.Conn. A request that arrives once the connection is to be closed
// is not read, so that it is not passed on and then left without an answer.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.awaitsHeader.CompareAndSwap(true, false) && !c.clients.headerBegan(c, time.Now()) {
		return 0, net.ErrClosed
	}
	return n, err
}

// clientListener returns clientConns.
type clientListener struct {
	net.Listener
	clients *clientConns
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &clientConn{Conn: conn, clients: l.clients}
	out.awaitsHeader.Store(true)
	l.clients.added(out, time.Now())
	return out, nil
}

// added records a connection that was accepted.
func (c *clientConns) added(conn net.Conn, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	c.unused[conn] = now
}

// removed records that a connection was closed.
func (c *clientConns) removed(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	delete(c.unused, conn)
}

// closeUnused closes the connections that carry no request, and returns the number of
// those that are still open.
func (c *clientConns) closeUnused(now time.Time) int {
	c.closeIdle(0, now)
	c.mu.Lock()
	silent := expired(c.unused, firstRequestTimeout, now)
	c.mu.Unlock()
	closeAll(silent)
	return c.openCount()
}

// openCount returns the number of open connections.
func (c *clientConns) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn is the ConnContext hook of the http.Server.
func (c *clientConns) withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connIn returns the connection of a request, given its context, or nil.
func connIn(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// headerBegan records that the first byte of a request was read. It reports whether the
// request is to be served.
func (c *clientConns) headerBegan(conn *clientConn, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.isExpired {
		return false
	}
	delete(c.idle, conn)
	delete(c.unused, conn)
	c.headers[conn] = now
	return true
}

// headerRead records that the header of a request was read, given its context.
func (c *clientConns) headerRead(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.headers, connIn(ctx))
}

// stateChanged is the ConnState hook of the http.Server.
func (c *clientConns) stateChanged(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	delete(c.headers, conn)
	if s != http.StateIdle {
		return
	}
	c.idle[conn] = time.Now()
	if client, ok := conn.(*clientConn); ok {
		client.awaitsHeader.Store(true)
	}
}

// closeIdle closes the connections that have been idle for at least limit.
func (c *clientConns) closeIdle(limit time.Duration, now time.Time) { closeAll(c.takeIdle(limit, now)) }

// takeIdle returns the connections that have been idle for at least limit, which are to be
// closed.
func (c *clientConns) takeIdle(limit time.Duration, now time.Time) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return expired(c.idle, limit, now)
}

// closeSlow closes the connections whose request header is incomplete after limit, and
// returns their number.
func (c *clientConns) closeSlow(limit time.Duration, now time.Time) int {
	c.mu.Lock()
	slow := expired(c.headers, limit, now)
	c.mu.Unlock()
	closeAll(slow)
	return len(slow)
}

// expired removes, marks and returns the connections whose time is at least limit ago.
// The lock of the connections must be held.
func expired(conns map[net.Conn]time.Time, limit time.Duration, now time.Time) []net.Conn {
	var out []net.Conn
	for conn, since := range conns {
		if now.Sub(since) >= limit {
			delete(conns, conn)
			if client, ok := conn.(*clientConn); ok {
				client.isExpired = true
			}
			out = append(out, conn)
		}
	}
	return out
}

// closeAll closes connections. An error means that the client has closed one.
func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
