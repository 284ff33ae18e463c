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

// handler handles calls of one method with encoded parameters.
type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Mux dispatches calls to the handlers of their methods. Handlers must be added
// before the Mux is served.
type Mux struct {
	handlers map[string]handler
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: map[string]handler{}}
}

// Handle adds a method with typed parameters and result to a Mux.
func Handle[P, R any](m *Mux, method string, f func(ctx context.Context, p P) (R, error)) {
	m.handlers[method] = func(ctx context.Context, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, p)
	}
}

// Handle handles one call. It implements jsonrpc2.Handler.
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
	h := m.handlers[req.Method]
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
	}
	raw := json.RawMessage("null")
	if req.Params != nil {
		raw = *req.Params
	}
	return h(ctx, raw)
}

// Server handles calls from other processes.
type Server struct {
	listener net.Listener
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// countingConn adds the bytes sent and received on a connection to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Serve starts a server that handles calls on a listener until Close, and adds the
// bytes of its connections to a counter.
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
			jsonrpc2.NewConn(ctx, stream(&countingConn{Conn: conn, bytes: bytes}), jsonrpc2.AsyncHandler(m), withoutLogging)
		}
	}()
	return s
}

// withoutLogging disables the JSON-RPC library's log lines about single connections.
var withoutLogging = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

func stream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, limitedCodec{})
}

// Close stops accepting connections and closes the open ones.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.cancel()
	s.done.Wait()
}
