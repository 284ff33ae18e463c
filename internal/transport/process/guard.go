package process

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/clientlimit"
	"bluebellcrank/internal/state/event"
)

const (
	// memoryWait is how long a client's bytes are not read while there is no memory for
	// them, before the client is refused. A client closed for them frees its memory within
	// milliseconds, and one that stops sending counts as slow after half a second.
	memoryWait = 700 * time.Millisecond
	// memoryRecheck is the time between two looks for connections that have become slow.
	memoryRecheck = 50 * time.Millisecond
	// messageCost is what a byte of a message is charged where the server keeps the message
	// in a buffer that grows by a factor of two while it is copied, before it is decoded.
	messageCost = 3
	// limitedLogInterval is the shortest time between two log lines of a listener about
	// clients that were refused or closed.
	limitedLogInterval = 5 * time.Second
)

// Guard keeps the clients of one listener within a budget of memory and connections. It is safe
// for concurrent use.
type Guard struct {
	name   string
	budget *clientlimit.Budget
	set    *metrics.Set
	log    hclog.Logger
	// hasServerStates is set if an http.Server reports the states of its connections.
	hasServerStates bool

	mu sync.Mutex
	// counts has the clients refused or closed since the last log line, by class.
	counts   map[string]int
	loggedAt time.Time
}

// NewGuard returns a guard and adds its metrics to a set. A server whose connections get no
// StateChanged calls must answer each request before it reads the next one.
func NewGuard(name string, limits clientlimit.Limits, hasServerStates bool, set *metrics.Set, log hclog.Logger) *Guard {
	g := &Guard{name: name, budget: clientlimit.NewBudget(limits), hasServerStates: hasServerStates, set: set, log: log, counts: map[string]int{}}
	set.NewGauge(fmt.Sprintf("bluebellcrank_client_bytes{listener=%q}", name), func() float64 {
		used, _ := g.budget.Usage()
		return float64(used)
	})
	set.NewGauge(fmt.Sprintf("bluebellcrank_client_connections{listener=%q}", name), func() float64 {
		_, conns := g.budget.Usage()
		return float64(conns)
	})
	return g
}

// Budget returns what the clients of the listener use.
func (g *Guard) Budget() *clientlimit.Budget { return g.budget }

// Listen returns a listener whose connections are guarded.
func (g *Guard) Listen(l net.Listener) net.Listener {
	return &guardedListener{Listener: l, guard: g}
}

// count counts a client that was refused or closed.
func (g *Guard) count(class string) {
	g.set.GetOrCreateCounter(fmt.Sprintf("bluebellcrank_clients_limited_total{listener=%q,class=%q}", g.name, class)).Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts[class]++
}

// LogCounts logs how many clients were refused or closed, at most once per interval.
func (g *Guard) LogCounts(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.counts) == 0 || now.Sub(g.loggedAt) < limitedLogInterval {
		return
	}
	used, conns := g.budget.Usage()
	pairs := []any{"listener", g.name, "used-bytes", used, "connections", conns}
	for class, n := range g.counts {
		pairs = append(pairs, class, n)
	}
	event.ClientsLimited.Log(g.log, pairs...)
	clear(g.counts)
	g.loggedAt = now
}

// guardedListener returns connections that a guard keeps within its budget.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g := l.guard
		out := &GuardedConn{Conn: conn, guard: g}
		opened, victim := g.budget.Open(time.Now(), out.closeAsVictim)
		if victim != nil {
			victim.Close()
		}
		if opened == nil {
			g.count("refused-connection")
			_ = conn.Close()
			continue
		}
		out.holder = opened
		return out, nil
	}
}

// CloseVictims closes the connections that a budget chose.
func CloseVictims(list []*clientlimit.Holder) {
	for _, h := range list {
		h.Close()
	}
}

// GuardedConn is a client's connection whose memory is charged to a budget.
type GuardedConn struct {
	net.Conn
	guard  *Guard
	holder *clientlimit.Holder

	// mu guards the fields below. headBytes and headFields count what was received of a
	// head, and headCharge is what it is charged.
	mu                    sync.Mutex
	headBytes, headFields int
	headCharge            int64
	// ended is the error of the last read or write that failed; nil if none has. isInterrupted
	// is set while the server interrupts a read.
	ended         error
	isInterrupted bool
}

// closeAsVictim closes the connection for the sake of others. The server notices it and calls
// Close. The holder may not be set yet.
func (c *GuardedConn) closeAsVictim(phase clientlimit.Phase) {
	c.guard.count("closed-" + phase.String())
	_ = c.Conn.Close()
}

// NetConn returns the wrapped connection.
func (c *GuardedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *GuardedConn) Close() error {
	if c.guard.hasServerStates {
		c.holder.Closed()
	} else {
		c.holder.Ended()
	}
	return c.Conn.Close()
}

// Read implements net.Conn. The bytes of a head are withheld while there is no memory for
// what the server makes of them. What arrives once the connection is to be closed is not
// read, so that it is not served without an answer.
func (c *GuardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordError(err)
	if n <= 0 {
		return n, err
	}
	switch c.holder.Receive(n, time.Now()) {
	case clientlimit.Closed:
		return 0, net.ErrClosed
	case clientlimit.Head:
		if !c.chargeHead(p[:n]) {
			c.guard.count("refused-head")
			_ = c.Close()
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. With a deadline in the past, the server interrupts its
// read ahead.
func (c *GuardedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.isInterrupted = !t.IsZero() && t.Before(time.Now())
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// recordError keeps the error of a read or a write.
func (c *GuardedConn) recordError(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isInterrupted || !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = err
	}
}

// Err returns the error of the last read or write that failed, or nil. It tells why the
// context of a request has ended.
func (c *GuardedConn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// chargeHead charges more bytes of a head, and reports whether there is memory for them.
func (c *GuardedConn) chargeHead(p []byte) bool {
	more := c.countHead(p)
	return more <= 0 || c.Charge(context.Background(), more)
}

// countHead counts more bytes of a head and returns what they are charged.
func (c *GuardedConn) countHead(p []byte) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headBytes += len(p)
	c.headFields += bytes.Count(p, []byte{'\n'})
	cost := int64(c.headBytes + c.headFields*clientlimit.FieldBytes - clientlimit.FreeBytes)
	if !c.guard.hasServerStates {
		cost *= messageCost
	}
	more := cost - c.headCharge
	if more > 0 {
		c.headCharge = cost
	}
	return more
}

// Charge charges memory to the connection, and waits for it if the budget is short. It
// reports whether there is memory, and closes others to make room.
func (c *GuardedConn) Charge(ctx context.Context, size int64) bool {
	granted, victims := c.holder.Charge(size, time.Now())
	if granted {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, memoryWait)
	defer cancel()
	phase := c.holder.Wait(time.Now())
	defer func() { c.holder.SetPhase(phase, time.Now()) }()
	for !granted {
		freed := c.guard.budget.Freed()
		CloseVictims(victims)
		recheck := time.NewTimer(memoryRecheck)
		select {
		case <-freed:
		case <-recheck.C:
		case <-ctx.Done():
		}
		recheck.Stop()
		if ctx.Err() != nil || !c.holder.IsOpen() {
			return false
		}
		granted, victims = c.holder.Charge(size, time.Now())
	}
	return true
}

// MustCharge charges memory that is in use already, and closes others to make room.
func (c *GuardedConn) MustCharge(size int64) {
	CloseVictims(c.holder.MustCharge(size, time.Now()))
}

// SetPhase records what the client does from now on.
func (c *GuardedConn) SetPhase(p clientlimit.Phase) { c.holder.SetPhase(p, time.Now()) }

// Holder returns the part of the budget that the connection uses.
func (c *GuardedConn) Holder() *clientlimit.Holder { return c.holder }

// CountRefusedBody counts a body for which there was no memory.
func (c *GuardedConn) CountRefusedBody() { c.guard.count("refused-body") }

// Write implements net.Conn. A client that reads slowly is closed by the write timeout only if
// it reads nothing until then.
func (c *GuardedConn) Write(p []byte) (int, error) {
	const pieceBytes = 32 << 10
	written := 0
	for {
		piece := p[written:min(written+pieceBytes, len(p))]
		phase := c.holder.Write(len(piece), time.Now())
		n, err := c.Conn.Write(piece)
		if phase != clientlimit.Reading {
			c.holder.SetPhase(phase, time.Now())
		}
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) && n > 0 {
			continue
		}
		c.recordError(err)
		if err != nil || written == len(p) {
			if !c.guard.hasServerStates {
				c.StateChanged(http.StateIdle) // a request ends with its response
			}
			return written, err
		}
	}
}

// StateChanged records a state of the connection that the http.Server reports.
func (c *GuardedConn) StateChanged(s http.ConnState) {
	switch s {
	case http.StateIdle:
		c.mu.Lock()
		c.headBytes, c.headFields, c.headCharge = 0, 0, 0
		c.mu.Unlock()
		c.holder.EndRequest(time.Now())
	case http.StateClosed:
		c.holder.Ended()
	}
}
