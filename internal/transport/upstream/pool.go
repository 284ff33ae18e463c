package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// dialTimeout is above the round trip between data centres, and below the
	// second after which a lost opening packet is sent again.
	dialTimeout = 250 * time.Millisecond
	// idleMost is how long a connection is kept without use at the most.
	idleMost = 8 * time.Second
	// keepMargin is how much sooner than the target we drop a connection.
	keepMargin = time.Second
	// idlePerTarget bounds the idle connections to one target.
	idlePerTarget = 8
	// separateWrite is the size of a body beyond which the answer is read
	// while the body is still being sent.
	separateWrite = 16 << 10
	// strayAnswers is how many answers to earlier requests are passed over.
	strayAnswers = 2
)

// SendError says why there is no answer.
type SendError struct {
	cause error
	sent  bool
}

// Error implements error.
func (e *SendError) Error() string {
	if e.sent {
		return "upstream: no answer: " + e.cause.Error()
	}
	return "upstream: not sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }

// Sent reports whether the target may have seen the request.
func (e *SendError) Sent() bool { return e.sent }

// Request is one request to a target.
type Request struct {
	// Address is the target's host:port.
	Address string
	Method  string
	// URI is the path and query as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells an answer to this request from one to an earlier request.
	Matches func(http.Header) bool
	// MaxIdleTime is the longest idle time of a connection that may be reused.
	MaxIdleTime time.Duration
}

// Response is a target's answer; Close must be called.
type Response struct {
	*http.Response
	pool    *Pool
	conn    *conn
	address string
	// whole says that the request went out completely.
	whole  bool
	stop   func() bool
	intact bool
}

// Pool keeps idle connections to targets; it is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	opened func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool; opened is called for each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{dialer: newDialer(dialTimeout), opened: opened, idle: map[string][]*conn{}}
}

// Do sends a request once and returns the answer's header. It fails with a
// *SendError; the end of the context ends the connection.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.take(r.Address, r.MaxIdleTime, time.Now())
	if c == nil {
		opened, err := p.dialer.DialContext(ctx, "tcp", r.Address)
		if err != nil {
			return nil, &SendError{cause: err}
		}
		p.opened()
		c = &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer), keep: idleMost}
	}
	out := &Response{pool: p, conn: c, address: r.Address}
	out.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	written, err := out.write(r)
	if err == nil {
		err = out.read(r)
	}
	if err != nil {
		out.stop()
		c.abort()
		return nil, &SendError{cause: errors.Join(err, ctx.Err()), sent: written > 0}
	}
	return out, nil
}

// write sends the request; a long body goes out beside the reading, since a
// target may answer before it has read all of it.
func (a *Response) write(r *Request) (int, error) {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return 0, err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(r.Body) <= separateWrite {
		a.whole = true
		return a.conn.Write(append([]byte(head.String()), r.Body...))
	}
	n, err := a.conn.Write([]byte(head.String()))
	if err != nil {
		return n, err
	}
	go func() {
		if _, err := a.conn.Write(r.Body); err != nil {
			_ = a.conn.SetDeadline(time.Unix(1, 0))
		}
	}()
	return n, nil
}

// read takes the header of the answer to this request and passes over late
// answers to earlier ones.
func (a *Response) read(r *Request) error {
	asked := &http.Request{Method: r.Method}
	for range strayAnswers + 1 {
		got, err := http.ReadResponse(a.conn.reader, asked)
		if err != nil {
			return err
		}
		if got.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(got.Header) {
			a.Response = got
			return nil
		}
		a.whole = false
		if got.Close {
			break
		}
		if _, err := io.Copy(io.Discard, got.Body); err != nil {
			return err
		}
	}
	return errors.New("the connection carries answers to other requests")
}

// MarkBodyRead notes that the whole body was read, so that the connection may be
// used again.
func (a *Response) MarkBodyRead() { a.intact = true }

// Close gives the connection back, or ends it unless all went well.
func (a *Response) Close(now time.Time) {
	free := a.stop()
	if !a.intact {
		a.conn.abort()
		return
	}
	if !free || !a.whole || a.Response.Close || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.used = now
	a.conn.keep = keepTime(a.Header.Get("Keep-Alive"))
	a.pool.give(a.address, a.conn)
}

// keepTime is how long a target keeps an idle connection by its own word.
func keepTime(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if s, err := strconv.Atoi(text); err == nil {
				return min(time.Duration(s)*time.Second-keepMargin, idleMost)
			}
		}
	}
	return idleMost
}

func (p *Pool) give(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= idlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// take returns the idle connection that was used last, or nil.
func (p *Pool) take(address string, recent time.Duration, now time.Time) *conn {
	for {
		c := p.last(address)
		if c == nil {
			return nil
		}
		if idle := now.Sub(c.used); idle < min(recent, c.keep) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) last(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.used) < c.keep {
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

// CloseIdle closes the idle connections to a target that is gone or leaving.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}
