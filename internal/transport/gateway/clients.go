package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// clientConns records since when each idle client connection has been idle. It
// replaces the IdleTimeout of http.Server, which cannot change while the server
// runs. It is safe for concurrent use.
type clientConns struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newClientConns() *clientConns {
	return &clientConns{idle: map[net.Conn]time.Time{}}
}

// stateChanged is the ConnState hook of the http.Server.
func (c *clientConns) stateChanged(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateIdle {
		c.idle[conn] = time.Now()
		return
	}
	delete(c.idle, conn)
}

// closeIdle closes the connections that have been idle for at least limit.
func (c *clientConns) closeIdle(limit time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if now.Sub(since) >= limit {
			delete(c.idle, conn)
			_ = conn.Close()
		}
	}
}
