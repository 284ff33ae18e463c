package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// rawTarget is a target that writes bytes of its own to its connections.
type rawTarget struct {
	mu    sync.Mutex
	conns []net.Conn
	// answer returns what is written for a request, and whether it has run.
	answer func(request *http.Request) (bytes string, hasRun bool)
	runs   atomic.Int64
}

// addRawTarget starts a raw target and lists it for a service.
func (env *testEnv) addRawTarget(t *rawTarget, id, service string) {
	l := env.listen("127.0.0.1", 0)
	env.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.conns = append(t.conns, conn)
			t.mu.Unlock()
			go t.serve(conn)
		}
	}()
	env.putTarget(id, service, "http://"+l.Addr().String(), "serving")
}

func (t *rawTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		bytes, hasRun := t.answer(request)
		if hasRun {
			t.runs.Add(1)
		}
		if _, err := io.WriteString(conn, bytes); err != nil {
			return
		}
	}
}

// write writes bytes to all connections without a request.
func (t *rawTarget) write(bytes string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.conns {
		_, _ = io.WriteString(conn, bytes)
	}
}

// TestRefusalThatIsSentAgain has a target refuse a request, and write that refusal once
// more on the kept connection when it runs the next one.
func TestRefusalThatIsSentAgain(t *testing.T) {
	refusal := func(attempt, extra string) string {
		if attempt != "" {
			attempt = "Attempt-Id: " + attempt + "\r\n"
		}
		return "HTTP/1.1 503 X\r\n" + attempt + "Not-Executed: 1\r\n" + extra + "Content-Length: 4\r\n\r\nfull"
	}
	tests := []struct {
		name   string
		copies string
		// isEarly has the copies written before the next request is sent.
		isEarly bool
		status  int
	}{
		{"with its attempt", refusal("a-1", ""), false, 200},
		{"twice", refusal("a-1", "") + refusal("a-1", ""), false, 200},
		{"before the next request", refusal("a-1", ""), true, 200},
		{"and the connection is said to end", refusal("a-1", "Connection: close\r\n"), false, 502},
		{"without an attempt", refusal("", ""), false, 200},
		{"as a misdirected request", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", false, 200},
		{"as a success", "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 4\r\n\r\nelse", false, 200},
		{"without an attempt, after one with it", refusal("a-1", "") + refusal("", ""), false, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			target := &rawTarget{}
			target.answer = func(request *http.Request) (string, bool) {
				attempt := request.Header.Get("Attempt-Id")
				if attempt == "a-1" {
					return refusal("a-1", ""), false
				}
				copies := tt.copies
				if tt.isEarly {
					copies = ""
				}
				return copies + strings.ReplaceAll(rawAnswer(200, "", "struck"), "a-1", attempt), true
			}
			env.addRawTarget(target, "faulty", "bells")
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets()) == 1 })
			env.c.Assert(env.do(env.request(order, "a-1", "strike")).status, qt.Equals, 503)
			if tt.isEarly {
				target.write(tt.copies)
			}
			time.Sleep(150 * time.Millisecond) // the suspension after the refusal
			got := env.do(env.request(order, "a-2", "strike"))
			env.c.Check(got.status, qt.Equals, tt.status)
			if tt.status == 200 {
				env.c.Check(got.body, qt.Equals, "struck")
			}
			env.c.Check(target.runs.Load(), qt.Equals, int64(1))
		})
	}
}
