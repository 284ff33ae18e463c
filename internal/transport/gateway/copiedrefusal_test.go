package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// copyingTarget refuses requests, and writes a refusal once more when its attempt arrives
// again on the connection.
type copyingTarget struct {
	env *testEnv
	// ids are the targets that share its address; only the last one runs requests.
	ids []string
	// refusal is the refusal of a request, and copies how often it is written again.
	refusal func(*http.Request) string
	copies  int
	// isCut has a copy written in two parts.
	isCut bool

	mu   sync.Mutex
	runs map[string]int
	// seen counts the requests for each attempt.
	seen map[string]int
}

// listen lists the target under its ids for a service.
func (t *copyingTarget) listen(service string) {
	t.runs, t.seen = map[string]int{}, map[string]int{}
	l := t.env.listen("127.0.0.1", 0)
	t.env.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	for _, id := range t.ids {
		t.env.putTarget(id, service, "http://"+l.Addr().String(), "serving")
	}
}

func (t *copyingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	refused := map[string]string{}
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Attempt-Id")
		if copied, found := refused[id]; found {
			t.writeCopies(conn, copied)
		}
		answer := t.answer(request)
		if !strings.HasPrefix(answer, "HTTP/1.1 200") {
			refused[id] = answer
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func (t *copyingTarget) writeCopies(conn net.Conn, copied string) {
	for range t.copies {
		half := len(copied) / 2
		if !t.isCut {
			half = 0
		}
		_, _ = io.WriteString(conn, copied[:half])
		if t.isCut {
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(conn, copied[half:])
	}
}

// answer refuses the first request of an attempt, and those that expect another target.
func (t *copyingTarget) answer(request *http.Request) string {
	id := request.Header.Get("Attempt-Id")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen[id]++
	expected := request.Header.Get("Expected-Instance")
	if isOwn := expected == t.ids[len(t.ids)-1]; !isOwn || len(t.ids) == 1 && t.seen[id] == 1 {
		return t.refusal(request)
	}
	t.runs[id]++
	head := "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n"
	if id != "" {
		head += "Attempt-Id: " + id + "\r\n"
	}
	if strings.HasPrefix(request.URL.Path, "/order") || strings.HasPrefix(request.URL.Path, "/status") {
		return head + "Content-Length: 6\r\n\r\nstruck"
	}
	text := eventText(1, 2)
	return head + fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func (t *copyingTarget) runCount(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// refusalWith returns a function for the refusal of a request with a status.
func refusalWith(status int, extra string, hasID bool) func(*http.Request) string {
	return func(request *http.Request) string {
		id := ""
		if hasID && request.Header.Get("Attempt-Id") != "" {
			id = "Attempt-Id: " + request.Header.Get("Attempt-Id") + "\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%s%sContent-Length: 4\r\n\r\nfull", status, id, extra)
	}
}

const notExecuted = "Not-Executed: 1\r\n"

var copiedRefusals = []struct {
	name    string
	refusal func(*http.Request) string
	copies  int
	isCut   bool
}{
	{"503", refusalWith(503, notExecuted, true), 1, false},
	{"503, two copies", refusalWith(503, notExecuted, true), 2, false},
	{"503, a copy in two parts", refusalWith(503, notExecuted, true), 1, true},
	{"503 without an attempt", refusalWith(503, notExecuted, false), 1, false},
	{"503 with a pause", refusalWith(503, notExecuted+"Retry-After: 0.1\r\n", true), 1, false},
	{"429", refusalWith(429, notExecuted, true), 1, false},
	{"421", refusalWith(421, "", true), 1, false},
	{"421 without an attempt", refusalWith(421, "", false), 1, false},
	{"400", refusalWith(400, notExecuted, true), 1, false},
}

// TestAttemptThatComesAgainIsNotAnsweredByItsCopiedRefusal has a client send an attempt
// again that the target has refused.
func TestAttemptThatComesAgainIsNotAnsweredByItsCopiedRefusal(t *testing.T) {
	for _, tt := range copiedRefusals {
		for _, r := range []route{order, status, draft, single} {
			if strings.HasPrefix(tt.name, "421") {
				continue // the target gets no further request then
			}
			t.Run(tt.name+"/"+r.name, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				target := &copyingTarget{env: env, ids: []string{"t-0"}, refusal: tt.refusal, copies: tt.copies, isCut: tt.isCut}
				target.listen(r.service)
				env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
				first := env.do(env.request(r, "a-1", "strike"))
				env.c.Assert(first.status, qt.Equals, 503)
				env.c.Assert(target.runCount("a-1"), qt.Equals, 0)
				var got reply
				env.eventually("the target gets the attempt again", func() bool {
					got = env.do(env.request(r, "a-1", "strike"))
					return target.seenCount("a-1") > 1
				})
				env.c.Check(target.runCount("a-1"), qt.Equals, 1)
				env.c.Check(got.status, qt.Equals, 200)
			})
		}
	}
}

func (t *copyingTarget) seenCount(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen[id]
}

// TestRequestWithoutAttemptIsNotAnsweredByACopiedRefusal has a client send requests without
// an id, of which the target refuses the first.
func TestRequestWithoutAttemptIsNotAnsweredByACopiedRefusal(t *testing.T) {
	for _, r := range []route{order, status, draft, single} {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			target := &copyingTarget{env: env, ids: []string{"t-0"}, refusal: refusalWith(400, notExecuted, false), copies: 1}
			target.listen(r.service)
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			env.c.Assert(env.do(env.request(r, "", "strike")).status, qt.Equals, 503)
			var got reply
			env.eventually("the target gets another request", func() bool {
				got = env.do(env.request(r, "", "strike"))
				return target.seenCount("") > 1
			})
			env.c.Check(target.runCount(""), qt.Equals, 1)
			env.c.Check(got.status, qt.Equals, 200)
		})
	}
}

// TestAttemptRunsOnceAtTargetsThatShareAnAddress lists two targets at one address, as after
// a restart, and another one elsewhere.
func TestAttemptRunsOnceAtTargetsThatShareAnAddress(t *testing.T) {
	const attempts = 24
	for _, tt := range copiedRefusals {
		for _, r := range []route{order, single} {
			t.Run(tt.name+"/"+r.name, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				r.maxTargets = 3
				env.configure(testKey, r)
				shared := &copyingTarget{env: env, ids: []string{"t-0", "t-1"}, refusal: tt.refusal, copies: tt.copies, isCut: tt.isCut}
				shared.listen(r.service)
				other := &copyingTarget{env: env, ids: []string{"t-2", "t-3"}, refusal: tt.refusal, copies: tt.copies, isCut: tt.isCut}
				other.listen(r.service)
				env.eventually("targets are known", func() bool {
					return len(env.gateway.fleet.Targets(time.Now())) == 4 && env.gateway.follower.Table().Version() == 2
				})
				for n := range attempts {
					id := fmt.Sprint("a-", n)
					got := env.do(env.request(r, id, "strike"))
					runs := shared.runCount(id) + other.runCount(id)
					env.c.Check(runs <= 1, qt.IsTrue, qt.Commentf("attempt %s ran %d times", id, runs))
					if got.status == 503 || got.status == 429 {
						env.c.Check(runs, qt.Equals, 0, qt.Commentf("attempt %s was answered %d", id, got.status))
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
}

// TestAttemptThatIsNotPassedOnIsAnswered guards against a client that has targets count as failed.
func TestAttemptThatIsNotPassedOnIsAnswered(t *testing.T) {
	for _, r := range []route{order, status, draft, single} {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			target := &standin.Target{ID: "t-0"}
			if r.service == draft.service {
				target.Handler = standin.Events(2, 0)
			}
			env.addTarget(target, target.ID, r.service)
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			for n := range 4 {
				q := env.request(r, fmt.Sprint("a-", n), "strike")
				if n%2 == 1 {
					q.Header.Set("Connection", "Attempt-Id")
				}
				env.c.Check(env.do(q).status, qt.Equals, 200, qt.Commentf("request %d", n))
			}
		})
	}
}
