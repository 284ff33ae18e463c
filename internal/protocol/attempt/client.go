package attempt

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/protocol/answers"
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	// ownHostTimeout is how long a goroutine of the HTTP library may outlast the only
	// connection of its host.
	ownHostTimeout    = time.Second
	maxConnsPerHost   = 4096
	headerBufferBytes = 16 << 10
	attachSendTimeout = 2 * time.Second
)

var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("attempt: not sent")
	// ErrNoAnswer reports that the connection failed or timed out after part of
	// the request may have been sent, and before the whole reply was read.
	ErrNoAnswer = errors.New("attempt: no answer")
)

// deadlineConn limits the time until a request begins to be written and the time
// that one read waits for data, but not the duration of the whole exchange.
type deadlineConn struct {
	net.Conn
	readTimeout   time.Duration
	writeDeadline time.Time
}

// SetWriteDeadline implements net.Conn. It sets the time before which the next
// request must begin to be written. Write compares it with the clock instead of
// relying on a timer, because a process that resumes after a pause may write
// before its timers fire.
func (c *deadlineConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return nil
}

// Write implements net.Conn.
func (c *deadlineConn) Write(p []byte) (int, error) {
	deadline := c.writeDeadline
	c.writeDeadline = time.Time{}
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return 0, &unsentError{err: errSendDeadlinePassed}
	}
	return c.Conn.Write(p)
}

var errSendDeadlinePassed = errors.New("too late to send")

// Read implements net.Conn.
func (c *deadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Client sends requests to agents and targets over HTTP. It never sends a request
// twice, and never reuses a connection that failed or timed out. It is safe for
// concurrent use.
type Client struct {
	readTimeout time.Duration
	mu          sync.Mutex
	hosts       map[string]*fasthttp.HostClient
}

// NewClient returns a client that closes a connection if a read waits for data for
// longer than readTimeout.
func NewClient(readTimeout time.Duration) *Client {
	return &Client{readTimeout: readTimeout, hosts: map[string]*fasthttp.HostClient{}}
}

// Reply is the HTTP response to one sent request. Its head has been received, and
// its body is read as a stream.
type Reply struct {
	resp       *fasthttp.Response
	host       *fasthttp.HostClient
	hasOwnHost bool
}

// Send sends a request over a pooled connection. It fails with ErrNotSent if the
// request cannot begin to be written within sendTimeout.
func (c *Client) Send(address string, req *fasthttp.Request, sendTimeout time.Duration) (*Reply, error) {
	h := c.host(address)
	r, err := send(h, req, sendTimeout)
	if err != nil {
		h.CloseIdleConnections()
	}
	return r, err
}

// SendFresh sends a request over a new connection, which is closed with the reply.
// It fails with ErrNotSent if the request cannot begin to be written within
// sendTimeout.
func (c *Client) SendFresh(address string, req *fasthttp.Request, sendTimeout time.Duration) (*Reply, error) {
	h := c.newHost(address, ownHostTimeout)
	r, err := send(h, req, sendTimeout)
	if err != nil {
		h.CloseIdleConnections()
		return nil, err
	}
	r.hasOwnHost = true
	return r, nil
}

// Attach requests the answer of an attempt from an agent, from a byte offset on.
func (c *Client) Attach(address, attempt, incarnation string, offset int64) (*Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + PathAttempts + attempt)
	req.Header.Set(HeaderIncarnation, incarnation)
	req.Header.Set(HeaderOffset, strconv.FormatInt(offset, 10))
	return c.SendFresh(address, req, attachSendTimeout)
}

func send(h *fasthttp.HostClient, req *fasthttp.Request, sendTimeout time.Duration) (*Reply, error) {
	if sendTimeout <= 0 {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, errSendDeadlinePassed)
	}
	req.SetTimeout(sendTimeout)
	resp := fasthttp.AcquireResponse()
	err := h.Do(req, resp)
	if err == nil {
		return &Reply{resp: resp, host: h}, nil
	}
	fasthttp.ReleaseResponse(resp)
	var unsent *unsentError
	if errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return nil, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	return nil, fmt.Errorf("%w: %v", ErrNoAnswer, err)
}

// unsentError wraps errors that occurred before the first byte was sent.
type unsentError struct{ err error }

// Error implements error.
func (e *unsentError) Error() string { return e.err.Error() }

func (c *Client) host(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	if h == nil {
		h = c.newHost(address, idleConnTimeout)
		c.hosts[address] = h
	}
	return h
}

func (c *Client) newHost(address string, idleTimeout time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          c.dial,
		MaxConns:                      maxConnsPerHost,
		MaxIdleConnDuration:           idleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		StreamResponseBody:            true,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		DisablePathNormalizing:        true,
		ReadBufferSize:                headerBufferBytes,
	}
}

func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, &unsentError{err: err}
	}
	return &deadlineConn{Conn: answers.NewSerialConn(conn), readTimeout: c.readTimeout}, nil
}

// KeepOnly closes the idle connections to all addresses that are not listed and
// removes these addresses from the pool.
func (c *Client) KeepOnly(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, h := range c.hosts {
		if !addresses[a] {
			h.CloseIdleConnections()
			delete(c.hosts, a)
		}
	}
}

// Response returns the reply's head as the type of the HTTP library.
func (r *Reply) Response() *fasthttp.Response { return r.resp }

// Read implements io.Reader. It reads the body.
func (r *Reply) Read(p []byte) (int, error) {
	b := r.resp.BodyStream()
	if b == nil {
		return 0, io.EOF
	}
	n, err := b.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: %v", ErrNoAnswer, err)
	}
	return n, err
}

// Trailers returns the length and the digest from the trailers. They are available
// once the body has been read to its end.
func (r *Reply) Trailers() (length, digest string) {
	h := &r.resp.Header
	return string(h.Peek(TrailerLength)), string(h.Peek(TrailerDigest))
}

// Body reads the rest of the body and closes the reply.
func (r *Reply) Body() ([]byte, error) {
	body, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	return body, r.Close()
}

// Discard closes the reply of another request together with its connection, on which
// the answer to this one may still come. A connection that carried no body is back in
// the pool by then, so that all idle ones are closed.
func (r *Reply) Discard() {
	if r.resp == nil {
		return
	}
	r.resp.SetConnectionClose()
	// The connection is given up, so an error of Close loses nothing.
	_ = r.Close()
	r.host.CloseIdleConnections()
}

// Close releases the reply. The connection is closed if the body was not read to
// its end.
func (r *Reply) Close() error {
	if r.resp == nil {
		return nil
	}
	err := r.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(r.resp)
	r.resp = nil
	if r.hasOwnHost {
		r.host.CloseIdleConnections()
	}
	return err
}
