package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"

	"bluebellcrank/internal/coordination/clientlimit"
	"bluebellcrank/internal/transport/process"
)

var errNoMemory = errors.New("the budget of memory for clients is short")

// guardedConnOf returns the guarded connection below a connection of a server, or nil.
func guardedConnOf(conn net.Conn) *process.GuardedConn {
	if client, ok := conn.(*clientConn); ok {
		conn = client.Conn
	}
	guarded, _ := conn.(*process.GuardedConn)
	return guarded
}

// connStateChanged is the ConnState hook of an http.Server.
func connStateChanged(conn net.Conn, s http.ConnState) {
	if c := guardedConnOf(conn); c != nil {
		c.StateChanged(s)
	}
}

// guardedConnIn returns the guarded connection of a request, given its context, or nil.
func guardedConnIn(ctx context.Context) *process.GuardedConn { return guardedConnOf(connIn(ctx)) }

// setPhase records what the client of the exchange does from now on.
func (x *exchange) setPhase(p clientlimit.Phase) {
	if c := guardedConnIn(x.request.Context()); c != nil {
		c.SetPhase(p)
	}
}

// readBuffered reads an answer that is in memory until the client has read it. Where memory is
// short, it waits for some, but does not give up, because the request has run.
func (x *exchange) readBuffered(answer io.Reader) ([]byte, error) {
	conn := guardedConnIn(x.request.Context())
	if conn == nil {
		return io.ReadAll(answer)
	}
	charge := func(size int64) bool {
		if !conn.Charge(x.request.Context(), size) {
			conn.MustCharge(size)
		}
		return true
	}
	return readCharged(answer, math.MaxInt64, charge, conn.Holder().Release)
}

// forwardRemainder forwards what follows the buffered part of an answer.
func (x *exchange) forwardRemainder(a *answer) error {
	var holder *clientlimit.Holder
	if c := guardedConnIn(x.request.Context()); c != nil {
		holder = c.Holder()
	}
	return copyAnswer(x.writer, a.remainder.Body, holder, a.close)
}

// readCharged reads a body to its end, at most a number of bytes. The buffer grows as the body
// arrives, and its size is charged before; only the first FreeBytes are not.
func readCharged(body io.Reader, most int64, charge func(size int64) bool, release func(size int64)) ([]byte, error) {
	content := make([]byte, 0, min(most, clientlimit.FreeBytes))
	charged := int64(0)
	for {
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
		if len(content) < cap(content) {
			continue
		}
		size := min(2*int64(cap(content)), most)
		if !charge(size) {
			return nil, errNoMemory
		}
		content = append(make([]byte, 0, size), content...)
		release(charged)
		charged = size
	}
}

// guarded has a handler's connections count as sending a body once it has returned, because
// the server then reads what is left of the body.
func guarded(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := guardedConnIn(r.Context())
		if c == nil {
			next(w, r)
			return
		}
		c.SetPhase(clientlimit.Running)
		defer func() { c.SetPhase(clientlimit.Body) }()
		next(w, r)
	})
}
