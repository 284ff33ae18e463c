package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// accept returns an address and the connections that come in there.
func accept(t *testing.T) (string, <-chan net.Conn) {
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

func request(address string) *Request {
	return &Request{Address: address, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: []byte("b"), MaxIdleTime: time.Hour}
}

// TestCancelledRequestIsReset has a target that stands still: bytes that have
// not reached it yet are lost with a reset, and would arrive with a close.
func TestCancelledRequestIsReset(t *testing.T) {
	c := qt.New(t)
	address, conns := accept(t)
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, leave)
	_, err := NewPool(func() {}).Do(ctx, request(address))
	var failed *SendError
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Check(failed.Sent(), qt.IsTrue)
	_, err = io.Copy(io.Discard, <-conns)
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

func TestNotSent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	_, err = NewPool(func() {}).Do(t.Context(), request(l.Addr().String()))
	var failed *SendError
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Check(failed.Sent(), qt.IsFalse)
}

func TestReuse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name   string
		answer string
		// close has the target close the connection behind its answer.
		close  bool
		opened int
	}{
		{"a whole answer", whole, false, 1},
		{"bytes behind the answer", whole + "HTTP/1.1 200 OK\r\n", false, 2},
		{"the target closes", whole, true, 2},
		{"the target says that it closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			address, conns := accept(t)
			go func() {
				for conn := range conns {
					go func() {
						r := bufio.NewReader(conn)
						for {
							if _, err := http.ReadRequest(r); err != nil {
								return
							}
							_, _ = r.Discard(1)
							_, _ = conn.Write([]byte(tt.answer))
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
				a, err := p.Do(t.Context(), request(address))
				c.Assert(err, qt.IsNil)
				body, err := io.ReadAll(a.Body)
				c.Assert(err, qt.IsNil)
				c.Check(string(body), qt.Equals, "ok")
				a.MarkBodyRead()
				a.Close(time.Now())
				time.Sleep(50 * time.Millisecond)
			}
			c.Check(opened, qt.Equals, tt.opened)
		})
	}
}
