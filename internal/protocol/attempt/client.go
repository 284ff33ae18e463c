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
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnections = 30 * time.Second
	maxConnections  = 4096
	headerBuffer    = 16 << 10
	attachWithin    = 2 * time.Second
)

var (
	// ErrNotSent says that no byte of the request left this process.
	ErrNotSent = errors.New("attempt: not sent")
	// ErrNoAnswer says that the connection failed or went silent after a byte
	// may have left.
	ErrNoAnswer = errors.New("attempt: no answer")
)

// quietConn fails a read on which no byte arrives for a time, however long
// the whole exchange takes.
type quietConn struct {
	net.Conn
	silence time.Duration
	writeBy time.Time
}

// SetWriteDeadline implements net.Conn: it bounds when the next request may
// begin to be written. Write itself looks at the clock, since a process that
// was paused runs on before its timers do.
func (c *quietConn) SetWriteDeadline(t time.Time) error {
	c.writeBy = t
	return nil
}

// Write implements net.Conn.
func (c *quietConn) Write(p []byte) (int, error) {
	by := c.writeBy
	c.writeBy = time.Time{}
	if !by.IsZero() && !time.Now().Before(by) {
		return 0, &unsentError{err: errLate}
	}
	return c.Conn.Write(p)
}

var errLate = errors.New("too late to send")

// Read implements net.Conn.
func (c *quietConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Client sends requests to agents and targets over HTTP. It never sends one
// twice, and never reuses a connection that failed or went silent.
type Client struct {
	silence time.Duration
	mu      sync.Mutex
	hosts   map[string]*fasthttp.HostClient
}

// NewClient returns a client that gives a connection up after silence.
func NewClient(silence time.Duration) *Client {
	return &Client{silence: silence, hosts: map[string]*fasthttp.HostClient{}}
}

// Reply is an answer whose head is there and whose body still comes.
type Reply struct {
	resp *fasthttp.Response
	host *fasthttp.HostClient
	own  bool
}

// Send sends a request over a pooled connection, unless a byte of it cannot
// leave within the time given.
func (c *Client) Send(address string, req *fasthttp.Request, within time.Duration) (*Reply, error) {
	h := c.host(address)
	r, err := send(h, req, within)
	if err != nil {
		h.CloseIdleConnections()
	}
	return r, err
}

// SendFresh sends a request over a connection of its own, unless a byte of it
// cannot leave within the time given.
func (c *Client) SendFresh(address string, req *fasthttp.Request, within time.Duration) (*Reply, error) {
	h := c.newHost(address)
	r, err := send(h, req, within)
	if err != nil {
		h.CloseIdleConnections()
		return nil, err
	}
	r.own = true
	return r, nil
}

// Attach asks an agent for the answer of an attempt from an offset.
func (c *Client) Attach(address, attempt, incarnation string, offset int64) (*Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + PathAttempts + attempt)
	req.Header.Set(HeaderIncarnation, incarnation)
	req.Header.Set(HeaderOffset, strconv.FormatInt(offset, 10))
	return c.SendFresh(address, req, attachWithin)
}

func send(h *fasthttp.HostClient, req *fasthttp.Request, within time.Duration) (*Reply, error) {
	if within <= 0 {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, errLate)
	}
	req.SetTimeout(within)
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

// unsentError marks the errors that come before the first byte.
type unsentError struct{ err error }

// Error implements error.
func (e *unsentError) Error() string { return e.err.Error() }

func (c *Client) host(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	if h == nil {
		h = c.newHost(address)
		c.hosts[address] = h
	}
	return h
}

func (c *Client) newHost(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          c.dial,
		MaxConns:                      maxConnections,
		MaxIdleConnDuration:           idleConnections,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    never,
		StreamResponseBody:            true,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		DisablePathNormalizing:        true,
		ReadBufferSize:                headerBuffer,
	}
}

func never(*fasthttp.Request, int, error) (bool, bool) { return false, false }

func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, &unsentError{err: err}
	}
	return &quietConn{Conn: conn, silence: c.silence}, nil
}

// KeepOnly forgets the pooled connections to every address that is not listed.
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

// Response returns the answer's head.
func (r *Reply) Response() *fasthttp.Response { return r.resp }

// Read implements io.Reader over the body.
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

// Trailers returns the length and the digest that came behind the body.
func (r *Reply) Trailers() (length, digest string) {
	h := &r.resp.Header
	return string(h.Peek(TrailerLength)), string(h.Peek(TrailerDigest))
}

// Body reads the whole body and closes the reply.
func (r *Reply) Body() ([]byte, error) {
	body, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	return body, r.Close()
}

// Close ends the exchange; a connection whose body was not read to its end
// is closed.
func (r *Reply) Close() error {
	if r.resp == nil {
		return nil
	}
	err := r.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(r.resp)
	r.resp = nil
	if r.own {
		r.host.CloseIdleConnections()
	}
	return err
}
