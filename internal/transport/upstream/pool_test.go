package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// listen returns an address and a channel of the connections accepted there.
func listen(t *testing.T) (string, <-chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	out := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			out <- c
		}
	}()
	return l.Addr().String(), out
}

var requestCount atomic.Int64

func newRequest(address string) *Request {
	return &Request{ID: fmt.Sprint("r-", requestCount.Add(1)), Address: address, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: []byte("b"), MaxIdleTime: time.Hour}
}

// TestCancelledRequestIsReset cancels a request to a target that does not read.
// An orderly close would still deliver the bytes in transit once the target
// resumes; a reset discards them.
func TestCancelledRequestIsReset(t *testing.T) {
	c := qt.New(t)
	address, conns := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	_, err := NewPool(func() {}).Do(ctx, newRequest(address))
	var sendErr *SendError
	c.Assert(errors.As(err, &sendErr), qt.IsTrue)
	c.Check(sendErr.Sent(), qt.IsTrue)
	_, err = io.Copy(io.Discard, <-conns)
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

func TestNotSent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	_, err = NewPool(func() {}).Do(t.Context(), newRequest(l.Addr().String()))
	var sendErr *SendError
	c.Assert(errors.As(err, &sendErr), qt.IsTrue)
	c.Check(sendErr.Sent(), qt.IsFalse)
}

func TestReuse(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name     string
		response string
		// close makes the target close the connection after its response.
		close  bool
		opened int
	}{
		{"a complete response", complete, false, 1},
		{"bytes after the response", complete + "HTTP/1.1 200 OK\r\n", false, 2},
		{"the target closes", complete, true, 2},
		{"the target announces that it closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			address, conns := listen(t)
			go func() {
				for conn := range conns {
					go func() {
						r := bufio.NewReader(conn)
						for {
							if _, err := http.ReadRequest(r); err != nil {
								return
							}
							_, _ = r.Discard(1)
							_, _ = conn.Write([]byte(tt.response))
							if tt.close {
								_ = conn.Close()
							}
						}
					}()
				}
			}()
			opened := 0
			p := NewPool(func() { opened++ })
			for range 2 {
				res, err := p.Do(t.Context(), newRequest(address))
				c.Assert(err, qt.IsNil)
				body, err := io.ReadAll(res.Body)
				c.Assert(err, qt.IsNil)
				c.Check(string(body), qt.Equals, "ok")
				res.MarkBodyRead()
				res.Close(time.Now())
				time.Sleep(50 * time.Millisecond)
			}
			c.Check(opened, qt.Equals, tt.opened)
		})
	}
}

// TestUnusedConnectionsAreClosed has idle connections to two targets, of which one has
// carried an answer since another connection went silent.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	c := qt.New(t)
	p := NewPool(func() {})
	do := func(address string) {
		res, err := p.Do(t.Context(), newRequest(address))
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, res.Body)
		c.Assert(err, qt.IsNil)
		res.MarkBodyRead()
		res.Close(time.Now())
	}
	var addresses []string
	for range 2 {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
		do(addresses[len(addresses)-1])
	}
	since := time.Now()
	do(addresses[1])
	c.Check(p.CloseUnused(since), qt.Equals, 1)
	c.Check(p.idle[addresses[0]], qt.HasLen, 0)
	c.Check(p.idle[addresses[1]], qt.HasLen, 1)
}

// TestConnectionCarriesEachRequestIDOnce guards against a response to an earlier request
// that is taken for the response to a later one with the same id.
func TestConnectionCarriesEachRequestIDOnce(t *testing.T) {
	tests := []struct {
		name   string
		ids    []string
		opened int
	}{
		{"different ids", []string{"a", "b", "c"}, 1},
		{"the same id", []string{"a", "a"}, 2},
		{"the same id, after another one", []string{"a", "b", "a"}, 2},
		{"three times", []string{"a", "a", "a"}, 3},
		{"other ids go on with the connections of before", []string{"a", "a", "b", "c"}, 2},
		{"no id, on an open connection", []string{"a", ""}, 2},
		{"no id, twice", []string{"", ""}, 2},
		{"an id, after a request without one", []string{"", "a"}, 1},
		{"as many requests as a connection may carry", numbered(maxRequestsPerConn), 1},
		{"one more", numbered(maxRequestsPerConn + 1), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			t.Cleanup(server.Close)
			opened := 0
			p := NewPool(func() { opened++ })
			for _, id := range tt.ids {
				r := newRequest(strings.TrimPrefix(server.URL, "http://"))
				r.ID = id
				res, err := p.Do(t.Context(), r)
				c.Assert(err, qt.IsNil)
				_, err = io.Copy(io.Discard, res.Body)
				c.Assert(err, qt.IsNil)
				res.MarkBodyRead()
				res.Close(time.Now())
			}
			c.Check(opened, qt.Equals, tt.opened)
		})
	}
}

// TestTargetThatNamesNoRequestAnswersEach guards against answers that are taken for earlier ones.
func TestTargetThatNamesNoRequestAnswersEach(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(status) }))
			t.Cleanup(server.Close)
			p := NewPool(func() {})
			for range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer cancel()
				r := newRequest(strings.TrimPrefix(server.URL, "http://"))
				r.ReadID = func(h http.Header) string { return h.Get("Id") }
				res, err := p.Do(ctx, r)
				c.Assert(err, qt.IsNil)
				c.Check(res.StatusCode, qt.Equals, status)
				res.DiscardBody()
				res.Close(time.Now())
			}
		})
	}
}

// numbered returns a number of different ids.
func numbered(count int) []string {
	var out []string
	for n := range count {
		out = append(out, fmt.Sprint("n-", n))
	}
	return out
}

// TestBodyWithABrokenTrailerIsNotComplete guards against a trailer whose name is no token.
func TestBodyWithABrokenTrailerIsNotComplete(t *testing.T) {
	tests := []struct {
		trailer string
		isWhole bool
	}{
		{"", true},
		{"X: y\r\n", true},
		{"X : y\r\n", false},
		{"X Y: z\r\n", false},
		{"X\x01: y\r\n", false},
		{"X: y\x00\r\n", false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%q", tt.trailer), func(t *testing.T) {
			c := qt.New(t)
			address, conns := listen(t)
			go answerEarly(conns, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+tt.trailer+"\r\n", func(*net.TCPConn, *http.Request) {})
			res, err := NewPool(func() {}).Do(t.Context(), newRequest(address))
			c.Assert(err, qt.IsNil)
			defer res.Close(time.Now())
			_, err = io.ReadAll(res.Body)
			c.Check(err == nil, qt.Equals, tt.isWhole, qt.Commentf("%v", err))
		})
	}
}
