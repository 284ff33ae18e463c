package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellcrank/internal/protocol/socket"
)

const (
	// dialTimeout is above the round-trip time between data centres, and below
	// the 1 s after which a lost SYN is sent again.
	dialTimeout = 250 * time.Millisecond
	// maxIdleTime is the longest time that an unused connection is kept.
	maxIdleTime = 8 * time.Second
	// idleTimeoutMargin is how much earlier than the target the pool closes an
	// idle connection, so that no request is sent on a connection that the
	// target is closing.
	idleTimeoutMargin = time.Second
	// maxIdlePerTarget is the highest number of idle connections to one target.
	maxIdlePerTarget = 8
	// maxInlineBodySize is the size in bytes up to which a body is written
	// together with the header; a larger body is written while the response is
	// read.
	maxInlineBodySize = 16 << 10
	// discardTimeout bounds the time to read a body that nobody needs. The caller
	// waits meanwhile.
	discardTimeout = 50 * time.Millisecond
	// maxStrayResponses is how many informational responses, or responses to
	// earlier requests, are skipped before the request fails.
	maxStrayResponses = 2
)

// SendError is the error of a request that got no response.
type SendError struct {
	cause     error
	mayBeSent bool
}

// Error implements error.
func (e *SendError) Error() string {
	if e.mayBeSent {
		return "upstream: no response: " + e.cause.Error()
	}
	return "upstream: request not sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }

// Sent reports whether the target may have seen the request.
func (e *SendError) Sent() bool { return e.mayBeSent }

// IsSilent reports whether an error of a request or of its response means that the target's
// end of the connection acknowledges nothing.
func IsSilent(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

// IsBrokenByTarget reports whether an error of a request or of its response means that
// the target's end of the connection was closed or reset.
func IsBrokenByTarget(err error) bool {
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}

// Request is one request to a target.
type Request struct {
	// Address is the target's host:port.
	Address string
	Method  string
	// URI is the path and query exactly as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request. A connection carries requests with different ids only,
	// and a request without one is the first on its connection.
	ID string
	// ReadID returns the id of the request to which a response with this header belongs,
	// or an empty text if it names none. A nil function accepts every response.
	ReadID func(h http.Header) string
	// Skipped is told of each response that is skipped, and its connection; nil for none.
	Skipped func(status int, h http.Header, c ConnInfo)
	// MaxIdleTime is the idle time from which a pooled connection is not reused
	// for this request.
	MaxIdleTime time.Duration
}

// isAnsweredBy reports whether a response belongs to the request and not to an earlier one.
// isFirst is set for the first response on its connection, to which nothing else can have led.
func (r *Request) isAnsweredBy(h http.Header, isFirst bool) bool {
	if r.ReadID == nil {
		return true
	}
	id := r.ReadID(h)
	if id == "" {
		return isFirst
	}
	return id == r.ID
}

// Response is a target's response. Close must be called.
type Response struct {
	*http.Response
	pool    *Pool
	conn    *conn
	address string
	// reusable reports whether the connection may carry another request: the
	// request was written in full before the response was read, the response names
	// it, and no response to another request came in. It is never set for a body
	// above maxInlineBodySize.
	reusable bool
	// stopCancel detaches the connection from the request's context; it returns
	// false when the context ended the connection.
	stopCancel func() bool
	// bodyRead reports whether the whole body was read.
	bodyRead bool
}

// Pool keeps idle connections to targets. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	opened func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool that calls opened for each new connection.
func NewPool(opened func()) *Pool {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
	return &Pool{dialer: socket.NewDialer(dialTimeout, keepAlive, unackedTimeout), opened: opened, idle: map[string][]*conn{}}
}

// Do sends a request once and returns when the header of the response was read.
// Its error is a *SendError. The end of the context aborts the connection.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.get(r, time.Now())
	if c == nil {
		opened, err := p.dialer.DialContext(ctx, "tcp", r.Address)
		if err != nil {
			return nil, &SendError{cause: err}
		}
		p.opened()
		c = newConn(opened)
	}
	c.carried = append(c.carried, xxhash.Sum64String(r.ID))
	out := &Response{pool: p, conn: c, address: r.Address}
	out.stopCancel = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	written, err := out.writeRequest(r)
	if err == nil {
		err = out.readHeader(r)
	}
	if err != nil {
		out.stopCancel()
		c.abort()
		return nil, &SendError{cause: errors.Join(err, ctx.Err()), mayBeSent: written > 0}
	}
	return out, nil
}

// writeRequest sends the request and returns the number of bytes written so
// far. A large body is written on another goroutine while the response is read,
// since a target may respond before it has read all of the body.
func (res *Response) writeRequest(r *Request) (int, error) {
	var header strings.Builder
	fmt.Fprintf(&header, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(&header); err != nil {
		return 0, err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		header.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	header.WriteString("\r\n")
	if len(r.Body) <= maxInlineBodySize {
		res.reusable = true
		return res.conn.Write(append([]byte(header.String()), r.Body...))
	}
	n, err := res.conn.Write([]byte(header.String()))
	if err != nil {
		return n, err
	}
	res.conn.WriteBeside(r.Body)
	return n, nil
}

// readHeader reads the header of the response to this request, and skips
// informational responses and late responses to earlier requests.
func (res *Response) readHeader(r *Request) error {
	request := &http.Request{Method: r.Method}
	limit := res.conn.limit
	isFirst := len(res.conn.carried) == 1
	for range maxStrayResponses + 1 {
		limit.remaining = maxHeadBytes
		res.conn.awaitHead()
		response, err := http.ReadResponse(res.conn.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if len(response.TransferEncoding) > 0 {
			response.Body = &chunkedBody{ReadCloser: response.Body, response: response}
		}
		if r.isAnsweredBy(response.Header, isFirst) {
			// A target that names no request here would not name the next one either.
			res.reusable = res.reusable && (r.ReadID == nil || r.ReadID(response.Header) == r.ID)
			res.Response = response
			limit.remaining = math.MaxInt64
			return nil
		}
		if r.Skipped != nil {
			r.Skipped(response.StatusCode, response.Header, res.conn.info())
		}
		res.reusable, isFirst = false, false
		if response.Close {
			break
		}
		limit.remaining = maxStrayBytes
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
	return errors.New("the connection carries responses to other requests")
}

// Conn identifies the connection of the response.
func (res *Response) Conn() ConnInfo { return res.conn.info() }

// DiscardBody reads a body that nobody needs, so that Close may return the connection
// to the pool. It gives up after discardTimeout or maxStrayBytes.
func (res *Response) DiscardBody() {
	res.conn.limit.remaining = maxStrayBytes
	// An error of SetReadDeadline means that the connection is closed.
	_ = res.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	if _, err := io.Copy(io.Discard, res.Body); err == nil {
		res.bodyRead = true
	}
	_ = res.conn.SetReadDeadline(time.Time{})
}

// MarkBodyRead records that the whole body was read, so that Close may return
// the connection to the pool.
func (res *Response) MarkBodyRead() { res.bodyRead = true }

// Close returns the connection to the pool if it can be reused, and closes it
// otherwise. Where the body was not read to its end, it resets the connection.
func (res *Response) Close(now time.Time) {
	notCancelled := res.stopCancel()
	if !res.bodyRead {
		res.conn.abort()
		return
	}
	if !notCancelled || !res.reusable || res.Response.Close || !res.conn.hasRoom() {
		_ = res.conn.Close()
		return
	}
	res.conn.lastUsed = now
	res.conn.idleTimeout = idleTimeoutFrom(res.Header.Get("Keep-Alive"))
	res.pool.put(res.address, res.conn)
}

// idleTimeoutFrom returns how long to keep an idle connection, from the timeout
// in the target's Keep-Alive header less a margin, and at most maxIdleTime.
func idleTimeoutFrom(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		if value, isTimeout := strings.CutPrefix(strings.TrimSpace(part), "timeout="); isTimeout {
			if s, err := strconv.Atoi(value); err == nil {
				return min(time.Duration(s)*time.Second-idleTimeoutMargin, maxIdleTime)
			}
		}
	}
	return maxIdleTime
}

// put adds a connection to the idle ones, or closes it if the target already
// has enough.
func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// get returns the most recently used idle connection that may carry a request, has been idle
// for less than the request's MaxIdleTime and can still be reused, or nil. It closes the
// connections that can't be reused.
func (p *Pool) get(r *Request, now time.Time) *conn {
	for {
		c := p.pop(r)
		if c == nil {
			return nil
		}
		if idle := now.Sub(c.lastUsed); idle < min(r.MaxIdleTime, c.idleTimeout) && c.isReusable() {
			return c
		}
		_ = c.Close()
	}
}

// pop removes and returns the most recently used idle connection that may carry a request,
// or nil.
func (p *Pool) pop(r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[r.Address]
	for n, c := range slices.Backward(list) {
		if c.mayCarry(r.ID) {
			p.idle[r.Address] = slices.Delete(list, n, n+1)
			return c
		}
	}
	return nil
}

// Sweep closes the connections that have been idle longer than their idle
// timeout.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.lastUsed) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// IsRefused reports whether a target refuses new connections, as an address does whose
// process has ended. A target that does not respond at all is not refused.
func (p *Pool) IsRefused(ctx context.Context, address string) bool {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.opened()
	// The connection carried nothing, so an error of Close loses nothing.
	_ = c.Close()
	return false
}

// CloseUnused closes the idle connections to all targets that have carried no answer
// since a time, and returns their number. When one open connection has gone silent, they
// may be silent as well.
func (p *Pool) CloseUnused(since time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	closed := 0
	for address, list := range p.idle {
		p.idle[address] = slices.DeleteFunc(list, func(c *conn) bool {
			if !c.lastUsed.Before(since) {
				return false
			}
			_ = c.Close()
			closed++
			return true
		})
	}
	return closed
}

// CloseIdle closes the idle connections to a target. After a failed request they
// may be dead as well.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}
