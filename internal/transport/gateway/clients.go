package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// clientConns are the connections of clients that are idle, by since when.
// The server's own idle time-out cannot change while it runs.
type clientConns struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newClientConns() *clientConns {
	return &clientConns{idle: map[net.Conn]time.Time{}}
}

func (c *clientConns) changed(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateIdle {
		c.idle[conn] = time.Now()
		return
	}
	delete(c.idle, conn)
}

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
