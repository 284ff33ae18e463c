package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// clientConns records the idle client connections and since when each is idle.
// It exists because the IdleTimeout of http.Server cannot change while the
// server runs.
type clientConns struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newClientConns() *clientConns {
	return &clientConns{idle: map[net.Conn]time.Time{}}
}

// stateChanged is the server's ConnState hook.
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
