package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/event"
)

// rawTarget is a target that writes bytes of its own to its connections.
type rawTarget struct {
	mu    sync.Mutex
	conns []net.Conn
	// answer returns what is written for a request, and whether it has run.
	answer func(request *http.Request) (bytes string, hasRun bool)
	// closes has each connection closed after its first answer.
	closes bool
	// runs counts the requests that have run, and closed the connections that have ended.
	runs, closed atomic.Int64
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
	defer t.closed.Add(1)
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
		if _, err := io.WriteString(conn, bytes); err != nil || t.closes {
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
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
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
			if refused := env.logged(event.TargetRefused); env.c.Check(refused, qt.HasLen, 1) && !tt.isEarly {
				for _, skipped := range env.logged(event.AnswerSkipped) {
					env.c.Check(skipped["connection"], qt.Equals, refused[0]["connection"])
				}
				env.c.Check(len(env.logged(event.AnswerSkipped)) > 0, qt.IsTrue)
			}
		})
	}
}

// TestStreamThatGoesOnWithAnError breaks a stream off after two events, and has the next
// target answer with something else than the events that are missing.
func TestStreamThatGoesOnWithAnError(t *testing.T) {
	head := func(status int, kind string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: a-1\r\nServer-Signature: s\r\nContent-Type: %s\r\n", status, kind)
	}
	sized := func(status int, kind, body string) string {
		return head(status, kind) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	const events = "text/event-stream"
	tests := []struct{ name, answer string }{
		{"a failure", sized(500, "text/plain", "broken\n\n")},
		{"a failure without a length", head(500, "text/plain") + "\r\nbroken\n\n"},
		{"a refusal", sized(503, "text/plain", "full\n\n")},
		{"no content", "HTTP/1.1 204 X\r\nAttempt-Id: a-1\r\nServer-Signature: s\r\n\r\n"},
		{"a failure with status 200", sized(200, "text/plain", "error: broken\n\n")},
		{"a failure with status 200 and no type", "HTTP/1.1 200 X\r\nAttempt-Id: a-1\r\nServer-Signature: s\r\n\r\nerror: broken\n\n"},
		{"an empty answer with status 200", sized(200, "text/plain", "")},
		{"a head within the events", head(200, events) + "\r\nHTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nbroken"},
		{"a head within an event", head(200, events) + "\r\nid: 3\nHTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nbroken"},
		{"the events from the first on", sized(200, events, eventText(1, 4))},
		{"bytes that are not HTTP", "error: broken\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			var isSecond atomic.Bool
			for n := range 2 {
				target := &rawTarget{closes: true, answer: func(*http.Request) (string, bool) {
					if isSecond.Swap(true) {
						return tt.answer, true
					}
					return strings.Replace(chunkedAnswer("a-1", eventText(1, 2), false), "Attempt-Id", "Content-Type: "+events+"\r\nAttempt-Id", 1), true
				}}
				env.addRawTarget(target, fmt.Sprint("t-", n), "drafts")
			}
			env.eventually("targets are known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 2 })
			got := env.do(env.request(draft, "a-1", "strike"))
			env.c.Check(got.body, qt.Equals, eventText(1, 2))
			env.c.Check(got.broken, qt.IsTrue)
		})
	}
}

// TestAnswerWhoseHeadIsCut has a target close its connection within the head of its
// answer, or within a body without a length.
func TestAnswerWhoseHeadIsCut(t *testing.T) {
	whole := strings.Replace(rawAnswer(200, "X-Last: 1\r\n", "struck"), "Content-Length: 6\r\n", "", 1)
	head := whole[:strings.Index(whole, "\r\n\r\n")+2]
	streamHead := strings.Replace(head, "X-Last", "Content-Type: text/event-stream\r\nX-Last", 1)
	tests := []struct {
		name   string
		route  route
		answer string
		status int
		body   string
		broken bool
	}{
		{"status line", order, "HTTP/1.1 200 OK\r\n", 502, "connection-lost\n", false},
		{"half of the status line", order, "HTTP/1.1 20", 502, "connection-lost\n", false},
		{"half of a header line", order, head[:len(head)-6], 502, "connection-lost\n", false},
		{"all but the empty line", order, head, 502, "connection-lost\n", false},
		{"all but the last byte", order, head + "\r", 502, "connection-lost\n", false},
		{"a stream, all but the empty line", single, streamHead, 502, "connection-lost\n", false},
		{"a stream, half of a header line", single, streamHead[:len(streamHead)-6], 502, "connection-lost\n", false},
		{"an answer that ends with its connection", order, whole, 200, "struck", false},
		{"a stream that ends with its connection", single, streamHead + "\r\n" + eventText(1, 3), 200, eventText(1, 3), false},
		{"a stream that ends within an event", single, streamHead + "\r\n" + eventText(1, 2) + "id: 3\ndata: pie", 200, eventText(1, 2), true},
		{"a stream that ends before an event's empty line", single, streamHead + "\r\n" + eventText(1, 2) + "id: 3\ndata: piece 3\n", 200, eventText(1, 2), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			target := &rawTarget{closes: true, answer: func(*http.Request) (string, bool) { return tt.answer, true }}
			env.addRawTarget(target, "t-0", tt.route.service)
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			got := env.do(env.request(tt.route, "a-1", "strike"))
			env.c.Check(got.status, qt.Equals, tt.status)
			env.c.Check(got.body, qt.Equals, tt.body)
			env.c.Check(got.broken, qt.Equals, tt.broken)
			env.c.Check(target.runs.Load(), qt.Equals, int64(1))
		})
	}
}
