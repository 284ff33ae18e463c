package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// ErrUnreachable says that no answer came; the call may have taken effect.
var ErrUnreachable = errors.New("peer: unreachable")

// dialTimeout bounds the time to connect where calls may take longer.
const dialTimeout = 500 * time.Millisecond

// Pool keeps one connection to each peer that was called.
type Pool struct {
	timeout time.Duration
	bytes   *atomic.Int64
	mu      sync.Mutex
	conns   map[string]*jsonrpc2.Conn
}

// NewPool returns a pool whose calls take at most timeout.
func NewPool(timeout time.Duration) *Pool {
	return &Pool{timeout: timeout, bytes: &atomic.Int64{}, conns: map[string]*jsonrpc2.Conn{}}
}

// Bytes counts what the connections carry, both ways; a Server can share it.
func (p *Pool) Bytes() *atomic.Int64 { return p.bytes }

// ignore refuses calls that come back on an outgoing connection.
type ignore struct{}

// Handle implements the library's interface.
func (ignore) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Call sends a call over the pooled connection; a connection that gave no
// answer in time is closed and never used again.
func Call[P, R any](p *Pool, address, method string, params P) (R, error) {
	return CallWithTimeout[P, R](p, address, method, params, p.timeout)
}

// CallWithTimeout is Call with a timeout of its own, for large parameters.
func CallWithTimeout[P, R any](p *Pool, address, method string, params P, timeout time.Duration) (R, error) {
	var result R
	conn, err := p.conn(address)
	if err != nil {
		return result, err
	}
	err = p.call(conn, method, params, &result, timeout)
	if errors.Is(err, ErrUnreachable) {
		p.drop(address, conn)
	}
	return result, err
}

// CallFresh sends a call over a connection of its own, for when the pooled
// one may have gone silent.
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

// Notify sends a message that nobody answers.
func Notify[P any](p *Pool, address, method string, params P) error {
	conn, err := p.conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	if err := conn.Notify(ctx, method, params); err != nil {
		p.drop(address, conn)
		return fmt.Errorf("%w: %s: %v", ErrUnreachable, address, err)
	}
	return nil
}

func (p *Pool) call(conn *jsonrpc2.Conn, method string, params, result any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var raw json.RawMessage
	err := conn.Call(ctx, method, params, &raw)
	var answered *jsonrpc2.Error
	switch {
	case errors.As(err, &answered):
		return fmt.Errorf("peer: %s: %s", method, answered.Message)
	case err != nil:
		return fmt.Errorf("%w: %s: %v", ErrUnreachable, method, err)
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return fmt.Errorf("peer: %s: %v", method, err)
	}
	return nil
}

func (p *Pool) conn(address string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	known := p.conns[address]
	p.mu.Unlock()
	if known != nil && open(known) {
		return known, nil
	}
	conn, err := p.dial(address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[address]; other != nil && other != known && open(other) {
		_ = conn.Close()
		return other, nil
	}
	p.conns[address] = conn
	return conn, nil
}

func open(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

func (p *Pool) drop(address string, conn *jsonrpc2.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
}

// KeepOnly closes the connections to every peer that is not listed.
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

// Close ends every connection.
func (p *Pool) Close() {
	p.KeepOnly(nil)
}

func (p *Pool) dial(address string) (*jsonrpc2.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, min(dialTimeout, p.timeout))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnreachable, err)
	}
	return jsonrpc2.NewConn(context.Background(), stream(&counted{Conn: conn, bytes: p.bytes}), ignore{}, silent), nil
}
