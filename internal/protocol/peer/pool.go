package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// ErrUnreachable reports that a call got no reply. The call may have taken effect.
var ErrUnreachable = errors.New("peer: unreachable")

// IsRefused reports whether the error of a call shows that no process listens at the
// peer's address. A peer that is silent may be paused, and go on.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dialTimeout limits the time to connect if the timeout of calls is longer.
const dialTimeout = 500 * time.Millisecond

// Pool keeps one connection to each peer. It is safe for concurrent use.
type Pool struct {
	timeout time.Duration
	bytes   *atomic.Int64
	// open opens a connection to an address.
	open  func(address string, timeout time.Duration) (net.Conn, error)
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewPool returns a pool whose calls have the given timeout by default.
func NewPool(timeout time.Duration) *Pool {
	return NewPoolOver(func(address string, timeout time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp", address, timeout)
	}, timeout)
}

// NewPoolOver is like NewPool, with connections that open opens.
func NewPoolOver(open func(address string, timeout time.Duration) (net.Conn, error), timeout time.Duration) *Pool {
	return &Pool{timeout: timeout, open: open, bytes: &atomic.Int64{}, conns: map[string]*jsonrpc2.Conn{}}
}

// Bytes returns the counter of the bytes sent and received on all connections. A
// Server can add to the same counter.
func (p *Pool) Bytes() *atomic.Int64 { return p.bytes }

// ignoreCalls ignores calls that arrive on an outgoing connection.
type ignoreCalls struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Call calls a method over the pooled connection. If no reply arrives in time, the
// connection is closed and not used again.
func Call[P, R any](p *Pool, address, method string, params P) (R, error) {
	return CallWithTimeout[P, R](p, address, method, params, p.timeout)
}

// CallWithTimeout is like Call with a different timeout, for example for large
// parameters.
func CallWithTimeout[P, R any](p *Pool, address, method string, params P, timeout time.Duration) (R, error) {
	var result R
	conn, err := p.connection(address)
	if err != nil {
		return result, err
	}
	err = p.call(conn, method, params, &result, timeout)
	if errors.Is(err, ErrUnreachable) {
		p.discard(address, conn)
	}
	return result, err
}

// CallFresh calls a method over a new connection, for cases in which the pooled
// connection may be unresponsive.
func CallFresh[P, R any](p *Pool, address, method string, params P, timeout time.Duration) (R, error) {
	var result R
	conn, err := p.dial(address)
	if err != nil {
		return result, err
	}
	defer func() { _ = conn.Close() }()
	err = p.call(conn, method, params, &result, timeout)
	return result, err
}

// Notify sends a notification, which has no reply.
func Notify[P any](p *Pool, address, method string, params P) error {
	conn, err := p.connection(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	if err := conn.Notify(ctx, method, params); err != nil {
		p.discard(address, conn)
		return fmt.Errorf("%w: %s: %v", ErrUnreachable, address, err)
	}
	return nil
}

func (p *Pool) call(conn *jsonrpc2.Conn, method string, params, result any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var raw json.RawMessage
	err := conn.Call(ctx, method, params, &raw)
	var rpcErr *jsonrpc2.Error
	switch {
	case errors.As(err, &rpcErr):
		return fmt.Errorf("peer: %s: %s", method, rpcErr.Message)
	case err != nil:
		return fmt.Errorf("%w: %s: %v", ErrUnreachable, method, err)
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return fmt.Errorf("peer: %s: %v", method, err)
	}
	return nil
}

func (p *Pool) connection(address string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	known := p.conns[address]
	p.mu.Unlock()
	if known != nil && isOpen(known) {
		return known, nil
	}
	conn, err := p.dial(address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[address]; other != nil && other != known && isOpen(other) {
		_ = conn.Close()
		return other, nil
	}
	p.conns[address] = conn
	return conn, nil
}

func isOpen(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

func (p *Pool) discard(address string, conn *jsonrpc2.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
}

// KeepOnly closes the connections to all peers that are not listed.
func (p *Pool) KeepOnly(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		if !addresses[a] {
			_ = c.Close()
			delete(p.conns, a)
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.KeepOnly(nil)
}

func (p *Pool) dial(address string) (*jsonrpc2.Conn, error) {
	conn, err := p.open(address, min(dialTimeout, p.timeout))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return jsonrpc2.NewConn(context.Background(), stream(&countingConn{Conn: conn, bytes: p.bytes}), ignoreCalls{}, withoutLogging), nil
}
