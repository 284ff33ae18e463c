package peer

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

// route answers one method; the parameters are still encoded.
type route func(ctx context.Context, params json.RawMessage) (any, error)

// Mux answers calls by method; routes are added before it serves.
type Mux struct {
	routes map[string]route
}

// NewMux returns a mux without routes.
func NewMux() *Mux {
	return &Mux{routes: map[string]route{}}
}

// Handle adds a typed method to the mux.
func Handle[P, R any](m *Mux, method string, f func(ctx context.Context, p P) (R, error)) {
	m.routes[method] = func(ctx context.Context, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, p)
	}
}

// Handle answers one call; it implements the library's interface.
func (m *Mux) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := m.call(ctx, req)
	if req.Notif {
		return
	}
	if err == nil {
		_ = conn.Reply(ctx, req.ID, result)
		return
	}
	e, ok := err.(*jsonrpc2.Error)
	if !ok {
		e = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	_ = conn.ReplyWithError(ctx, req.ID, e)
}

func (m *Mux) call(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	r := m.routes[req.Method]
	if r == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
	}
	raw := json.RawMessage("null")
	if req.Params != nil {
		raw = *req.Params
	}
	return r(ctx, raw)
}

// Server accepts connections from other processes.
type Server struct {
	listener net.Listener
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// counted adds the bytes of a connection to a count.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Serve starts answering on a listener until Close, and adds what its
// connections carry to a count.
func Serve(l net.Listener, m *Mux, bytes *atomic.Int64) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: l, cancel: cancel}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			jsonrpc2.NewConn(ctx, stream(&counted{Conn: conn, bytes: bytes}), jsonrpc2.AsyncHandler(m), silent)
		}
	}()
	return s
}

// silent keeps the library's lines about single connections out of the log.
var silent = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

func stream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
}

// Close stops accepting and ends the open connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.cancel()
	s.done.Wait()
}
