package answers_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/protocol/engine"
	"bluebellcrank/internal/protocol/platform"
	usersplatform "bluebellcrank/platform"
)

// rawServer answers all requests of its connections with an answer that may be replaced.
type rawServer struct {
	address string
	answer  atomic.Pointer[string]
	// conns counts the connections that were accepted.
	conns atomic.Int64
}

func newRawServer(t *testing.T, answer string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{address: l.Addr().String()}
	s.answer.Store(&answer)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := *s.answer.Load()
		if _, err := io.WriteString(conn, answer); err != nil || request.Close || !strings.Contains(answer, "Content-Length: ") {
			return
		}
	}
}

// client reads answers from a server.
type client struct {
	name string
	// body is what the server answers.
	body string
	// call makes one call; the function that open returns keeps connections between calls.
	open func(address string) (call func() error)
}

// clients returns all clients that read answers, other than that of upstream.
func clients() []client {
	fetch := func(send func(c *attempt.Client, address string, r *fasthttp.Request) (*attempt.Reply, error)) func(string) func() error {
		return func(address string) func() error {
			c := attempt.NewClient(time.Second)
			return func() error {
				r := fasthttp.AcquireRequest()
				defer fasthttp.ReleaseRequest(r)
				r.SetRequestURI("http://" + address + "/x")
				reply, err := send(c, address, r)
				if err != nil {
					return err
				}
				defer func() { _ = reply.Close() }()
				body, err := io.ReadAll(reply)
				if err == nil && string(body) != "struck" {
					return fmt.Errorf("body %q", body)
				}
				return err
			}
		}
	}
	own := func(call func(c *platform.Client) error) func(string) func() error {
		return func(address string) func() error {
			c := platform.NewClient("http://"+address, time.Second)
			return func() error { return call(c) }
		}
	}
	once := func(call func(address string) error) func(string) func() error {
		return func(address string) func() error { return func() error { return call(address) } }
	}
	store := func(call func(ctx context.Context, s *usersplatform.Store) error) func(string) func() error {
		return func(address string) func() error {
			s := usersplatform.NewStore(address)
			return func() error { return call(context.Background(), s) }
		}
	}
	ranks := func(call func(ctx context.Context, e *usersplatform.Engine) error) func(string) func() error {
		return func(address string) func() error {
			e := usersplatform.NewEngine(address, time.Second)
			return func() error { return call(context.Background(), e) }
		}
	}
	return []client{
		{"target or agent", "struck", fetch(func(c *attempt.Client, address string, r *fasthttp.Request) (*attempt.Reply, error) {
			return c.Send(address, r, time.Second)
		})},
		{"target, new connection", "struck", fetch(func(c *attempt.Client, address string, r *fasthttp.Request) (*attempt.Reply, error) {
			return c.SendFresh(address, r, time.Second)
		})},
		{"agent, resumed", "struck", fetch(func(c *attempt.Client, address string, _ *fasthttp.Request) (*attempt.Reply, error) {
			return c.Attach(address, "a-1", "i-1", 0)
		})},
		{"store, read", "value", own(func(c *platform.Client) error {
			o, err := c.Get("key")
			if err == nil && string(o.Value) != "value" {
				return fmt.Errorf("value %q", o.Value)
			}
			return err
		})},
		{"store, write", "", own(func(c *platform.Client) error {
			_, err := c.Put("key", []byte("value"), platform.Absent)
			return err
		})},
		{"store, instances", "[]", own(func(c *platform.Client) error {
			_, err := c.Instances("")
			return err
		})},
		{"engine, load", `{"boot":"b"}`, once(func(address string) error {
			_, err := engine.ReadLoad(address, "/load", time.Second)
			return err
		})},
		{"engine, rank", `{"step":7}`, once(func(address string) error {
			_, err := engine.ReadRank(address, time.Second)
			return err
		})},
		{"engine, order", "", once(func(address string) error { return engine.OrderGrant(address, engine.GrantOrder{}, time.Second) })},
		{"users' store, list", `{"entries":[],"at":5}`, store(func(ctx context.Context, s *usersplatform.Store) error {
			_, _, err := s.Entries(ctx, false)
			return err
		})},
		{"users' store, write", "", store(func(ctx context.Context, s *usersplatform.Store) error {
			return s.Register(ctx, "entry-1", "127.0.0.1", "east")
		})},
		{"users' engine, report", `{"step":7}`, ranks(func(ctx context.Context, e *usersplatform.Engine) error {
			_, err := e.Sample(ctx)
			return err
		})},
		{"users' engine, order", "", ranks(func(ctx context.Context, e *usersplatform.Engine) error { return e.Hold(ctx, 1, 2) })},
	}
}

// TestNoClientTakesABrokenHead guards against a client that reads answers without the check of
// their heads.
func TestNoClientTakesABrokenHead(t *testing.T) {
	const early = "HTTP/1.1 103 X\r\n\r\n"
	tests := []struct {
		name   string
		change func(sound, body string) string
		isTold bool
	}{
		{"sound", func(sound, _ string) string { return sound }, true},
		{"sound, after an informational answer", func(sound, _ string) string { return early + sound }, true},
		{"status 000 first", func(sound, _ string) string { return strings.Replace(early, "103", "000", 1) + sound }, false},
		{"status 000", func(sound, _ string) string { return strings.Replace(sound, "200", "000", 1) }, false},
		{"a blank behind a name", func(sound, _ string) string { return strings.Replace(sound, "ETag", "X : y\r\nETag", 1) }, false},
		{"a blank behind Content-Length", func(sound, _ string) string { return strings.Replace(sound, "Length:", "Length :", 1) }, false},
		{"a blank in a name of a 103", func(sound, _ string) string { return strings.Replace(early, "X\r\n", "X\r\nX : y\r\n", 1) + sound }, false},
		{"a folded line", func(sound, _ string) string { return strings.Replace(sound, "ETag", "X: y\r\n z\r\nETag", 1) }, false},
		{"chunks in HTTP/1.0", func(_, body string) string {
			chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			if body == "" {
				chunk = ""
			}
			return "HTTP/1.0 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"
		}, false},
	}
	for _, cl := range clients() {
		for _, tt := range tests {
			t.Run(cl.name+"/"+tt.name, func(t *testing.T) {
				c := qt.New(t)
				sound := fmt.Sprintf("HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: %d\r\n\r\n%s", len(cl.body), cl.body)
				s := newRawServer(t, sound)
				call := cl.open(s.address)
				c.Assert(call(), qt.IsNil)
				changed := tt.change(sound, cl.body)
				s.answer.Store(&changed)
				err := call()
				c.Check(err == nil, qt.Equals, tt.isTold, qt.Commentf("%v", err))
				s.answer.Store(&sound)
				before := s.conns.Load()
				c.Check(call(), qt.IsNil)
				if !tt.isTold {
					c.Check(s.conns.Load() > before, qt.IsTrue, qt.Commentf("the connection is kept"))
				}
			})
		}
	}
}

// TestWriteIsNotDoneIfItsAnswerBreaksOff has a server answer a long write at once with a 200
// without a length, and reset the connection.
func TestWriteIsNotDoneIfItsAnswerBreaksOff(t *testing.T) {
	const tries = 100
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 512))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\npart")
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	client := platform.NewClient("http://"+l.Addr().String(), time.Second)
	done := 0
	for range tries {
		if _, err := client.Put("key", bytes.Repeat([]byte("x"), 900<<10), platform.Absent); err == nil {
			done++
		}
	}
	c.Check(done, qt.Equals, 0, qt.Commentf("of %d writes", tries))
}
