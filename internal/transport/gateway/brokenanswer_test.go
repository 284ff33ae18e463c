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
)

// hastyTarget answers a request before it has read the request's body, and ends the connection.
type hastyTarget struct {
	// answer is what is written, and readBytes is how much of the request is read before, besides
	// what arrives with its head.
	answer    string
	readBytes int64
	// end ends the connection once the answer is written.
	end func(conn *net.TCPConn, request io.Reader)
}

// addHastyTarget starts a target and lists it for a service.
func (env *testEnv) addHastyTarget(t *hastyTarget, id, service string) {
	l := env.listen("127.0.0.1", 0)
	env.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(conn.(*net.TCPConn))
		}
	}()
	env.putTarget(id, service, "http://"+l.Addr().String(), "serving")
}

func (t *hastyTarget) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReaderSize(conn, 512)
	request, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, request.Body, t.readBytes)
	if _, err := io.WriteString(conn, strings.ReplaceAll(t.answer, "a-1", request.Header.Get("Attempt-Id"))); err == nil {
		t.end(conn, request.Body)
	}
}

// The ways in which a hasty target ends a connection.
var (
	resetConn = func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }
	closeConn = func(*net.TCPConn, io.Reader) {}
	// closeSending ends the answer, and reads the rest of the request.
	closeSending = func(conn *net.TCPConn, request io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, request)
	}
	readRequest = func(_ *net.TCPConn, request io.Reader) { _, _ = io.Copy(io.Discard, request) }
)

// TestPartOfAnEarlyAnswerIsNotACompleteOne guards against an answer without a length that is
// cut while its request is being written, and passes for a complete one.
func TestPartOfAnEarlyAnswerIsNotACompleteOne(t *testing.T) {
	const tries, callers, targets = 120, 6, 60
	part := signedHead + "\r\n" + eventText(1, 2)
	streamPart := signedHead + "Content-Type: text/event-stream\r\n\r\n" + eventText(1, 2)
	http10 := strings.Replace(part, "HTTP/1.1", "HTTP/1.0", 1)
	closing := strings.Replace(part, "\r\n", "\r\nConnection: close\r\n", 1)
	tests := []struct {
		name   string
		route  route
		target hastyTarget
	}{
		{"reset at once", order, hastyTarget{part, 0, resetConn}},
		{"reset at once, HTTP/1.0", order, hastyTarget{http10, 0, resetConn}},
		{"reset at once, the head alone", order, hastyTarget{signedHead + "\r\n", 0, resetConn}},
		{"closed at once with unread bytes", order, hastyTarget{part, 0, closeConn}},
		{"reset at once, said to close", status, hastyTarget{closing, 0, resetConn}},
		{"reset after a part of the request", status, hastyTarget{part, 12 << 10, resetConn}},
		{"closed after a part of the request", status, hastyTarget{part, 12 << 10, closeConn}},
		{"a stream, reset at once", draft, hastyTarget{streamPart, 0, resetConn}},
		{"a stream that is not resumed, reset at once", single, hastyTarget{streamPart, 0, resetConn}},
		{"a stream that is not resumed, closed at once", single, hastyTarget{streamPart, 0, closeConn}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.configure(testKey, tt.route)
			for n := range targets {
				env.addHastyTarget(&tt.target, fmt.Sprint("t-", n), tt.route.service)
			}
			env.eventually("targets are known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == targets })
			var reached, complete atomic.Int64
			var running sync.WaitGroup
			for caller := range callers {
				running.Go(func() {
					for n := caller; n < tries; n += callers {
						size := 17<<10 + n*977*len(tt.name)%(900<<10)
						got := env.do(env.request(tt.route, fmt.Sprint("u-", n), strings.Repeat("x", size)))
						if got.status != http.StatusServiceUnavailable {
							reached.Add(1)
						}
						if got.status == http.StatusOK && !got.broken {
							complete.Add(1)
						}
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			running.Wait()
			t.Logf("%d of %d requests reached a target", reached.Load(), tries)
			env.c.Check(reached.Load() > 0, qt.IsTrue)
			env.c.Check(complete.Load(), qt.Equals, int64(0))
		})
	}
}

// TestSoundEarlyAnswerIsServed has targets answer long requests before they have read them.
func TestSoundEarlyAnswerIsServed(t *testing.T) {
	body := eventText(1, 2)
	unsized := signedHead + "\r\n" + body
	sized := signedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	tests := []struct {
		name   string
		target hastyTarget
	}{
		{"without a length, the request is read", hastyTarget{unsized, 0, readRequest}},
		{"without a length, the sending side is shut down first", hastyTarget{unsized, 0, closeSending}},
		{"with a length, the request is read", hastyTarget{sized, 0, readRequest}},
		{"with a length, the request is not read", hastyTarget{sized, 0, closeConn}},
		{"with a length, reset", hastyTarget{sized, 12 << 10, resetConn}},
		{"after an informational answer", hastyTarget{"HTTP/1.1 103 X\r\n\r\n" + unsized, 0, readRequest}},
	}
	for _, tt := range tests {
		for _, r := range []route{order, single} {
			t.Run(tt.name+"/"+r.name, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.addHastyTarget(&tt.target, "t-0", r.service)
				env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
				for n := range 10 {
					var got reply
					// On a busy machine the entry may refuse a stream before it is sent.
					env.eventually("the request is sent", func() bool {
						got = env.do(env.request(r, fmt.Sprint("u-", n), strings.Repeat("x", 17<<10+n*90<<10)))
						return got.status != http.StatusServiceUnavailable
					})
					env.c.Check(got.status, qt.Equals, 200)
					env.c.Check(got.body, qt.Equals, body)
					env.c.Check(got.broken, qt.IsFalse)
				}
			})
		}
	}
}
