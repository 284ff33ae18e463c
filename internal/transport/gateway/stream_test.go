package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// eventText returns the events with the IDs from first to last.
func eventText(first, last int) string {
	var out strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return out.String()
}

// chunkedAnswer returns an HTTP answer in chunks; the terminating chunk is
// missing unless isWhole is true.
func chunkedAnswer(attempt, body string, isWhole bool) string {
	out := "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	out += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	if isWhole {
		out += "0\r\n\r\n"
	}
	return out
}

// TestStreams checks that a stream that breaks is resumed after its last whole
// event if its route allows that, and that the client sees an aborted connection
// otherwise.
func TestStreams(t *testing.T) {
	tests := []struct {
		name   string
		route  route
		answer string
		// lastEvent is the ID of the last event that the second target sends,
		// and resumeAfter the Last-Event-Id of the client.
		lastEvent   int
		resumeAfter string
		want        string
		broken      bool
		attempts    int
	}{
		{name: "whole", route: draft, answer: chunkedAnswer("a-1", eventText(1, 3), true), want: eventText(1, 3), attempts: 1},
		{name: "no events after the client's last event", route: draft, answer: "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", resumeAfter: "3", want: "", attempts: 1},
		{name: "cut after an event, resumed", route: draft, answer: chunkedAnswer("a-1", eventText(1, 2), false), lastEvent: 4, want: eventText(1, 4), attempts: 2},
		{name: "cut within an event, resumed", route: draft, answer: chunkedAnswer("a-1", eventText(1, 2)+"id: 3\nda", false), lastEvent: 4, want: eventText(1, 4), attempts: 2},
		{name: "cut, not resumable", route: single, answer: chunkedAnswer("a-1", eventText(1, 2), false), lastEvent: 4, want: eventText(1, 2), broken: true, attempts: 1},
		{name: "no answer before the first event, resumable", route: draft, answer: "", lastEvent: 2, want: eventText(1, 2), attempts: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			targets := []*standin.Target{{ID: "t-0"}, {ID: "t-1"}}
			env := newTestEnv(t)
			var runs atomic.Int32
			for _, target := range targets {
				target.ID = "d-" + target.ID
				target.Handler = scriptedAnswer(&runs, tt.answer, tt.lastEvent)
				env.addTarget(target, target.ID, "drafts")
			}
			env.eventually("targets are known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 2 })
			q := env.request(tt.route, "a-1", "{}")
			if tt.resumeAfter != "" {
				q.Header.Set("Last-Event-Id", tt.resumeAfter)
			}
			got := env.do(q)
			c.Check(got.body, qt.Equals, tt.want)
			c.Check(got.broken, qt.Equals, tt.broken)
			c.Check(got.status, qt.Equals, 200)
			c.Check(got.header.Get("Server-Signature"), qt.Not(qt.Equals), "")
			c.Check(len(targets[0].Requests())+len(targets[1].Requests()), qt.Equals, tt.attempts)
		})
	}
}

// TestEventsArePassedOnAsTheyCome guards against events being buffered until the
// next one or the end of the stream.
func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t)
	target := &standin.Target{ID: "d-0", Handler: standin.Events(3, 300*time.Millisecond)}
	env.addTarget(target, target.ID, "drafts")
	env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
	a, err := env.client.Do(env.request(draft, "a-1", "{}"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = a.Body.Close() }()
	began := time.Now()
	first := make([]byte, len(eventText(1, 1)))
	_, err = a.Body.Read(first)
	c.Assert(err, qt.IsNil)
	c.Check(string(first), qt.Equals, eventText(1, 1))
	c.Check(time.Since(began) < 300*time.Millisecond, qt.IsTrue)
}

// TestTargetStopsWhenTheClientLeaves checks that the request to the target is
// cancelled within half a second when its client disconnects.
func TestTargetStopsWhenTheClientLeaves(t *testing.T) {
	tests := []struct {
		name string
		gap  time.Duration
		read bool
	}{
		{"in the middle of a stream", 50 * time.Millisecond, true},
		{"before the first event", time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			env := newTestEnv(t)
			target := &standin.Target{ID: "d-0", Handler: standin.Events(1000, tt.gap)}
			env.addTarget(target, target.ID, "drafts")
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			q := env.request(draft, "a-1", "{}")
			ended := make(chan struct{})
			ctx, leave := contextWithCancel(q)
			go func() {
				defer close(ended)
				_ = env.do(q.WithContext(ctx))
			}()
			env.eventually("the target has the request", func() bool { return len(target.Requests()) == 1 })
			time.Sleep(100 * time.Millisecond)
			leave()
			<-ended
			leftAt := time.Now()
			env.eventually("the target's request is cancelled", func() bool { return target.CancelledCount() == 1 })
			c.Check(time.Since(leftAt) < 500*time.Millisecond, qt.IsTrue)
		})
	}
}

// TestAnswerThatIsNoStream checks that an answer which is no stream, on a route of
// streams, reaches the client whole. Large ones were cut to the part that the entry
// reads before it forwards the answer, and looked whole.
func TestAnswerThatIsNoStream(t *testing.T) {
	tests := []struct {
		name string
		size int
	}{
		{"small", 10},
		{"as large as the part that is read first", maxBufferedBytes},
		{"larger", maxBufferedBytes + 1000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			env := newTestEnv(t)
			body := strings.Repeat("x", tt.size)
			target := &standin.Target{ID: "d-0", Handler: standin.Raw(rawAnswer(400, "", body))}
			env.addTarget(target, target.ID, "drafts")
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			got := env.do(env.request(single, "a-1", "{}"))
			c.Check(got.status, qt.Equals, 400)
			c.Check(got.broken, qt.IsFalse)
			c.Check(len(got.body), qt.Equals, tt.size)
		})
	}
}

// TestCommentsAreNoEvents reads streams in which a target sends comments and empty
// lines, as it may while it is stalled.
func TestCommentsAreNoEvents(t *testing.T) {
	tests := []struct {
		name    string
		in      string
		isEmpty bool
	}{
		{"an event", "id: 1\ndata: x\n\n", false},
		{"a comment", ": still here\n\n", true},
		{"an empty line", "\n", true},
		{"an empty line with a carriage return", "\r\n", true},
		{"an event with a comment", ": x\ndata: y\n\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			events := newEventReader(strings.NewReader(tt.in))
			event, _, err := events.next()
			c.Assert(err, qt.IsNil)
			c.Check(string(event), qt.Equals, tt.in)
			c.Check(events.isEmpty, qt.Equals, tt.isEmpty)
		})
	}
}

// TestCommentsDoNotKeepAStalledStream has a target send comments but no events. The
// stream moves to another target as if the first one were silent.
func TestCommentsDoNotKeepAStalledStream(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t)
	var runs atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		if runs.Add(1) > 1 {
			standin.Events(3, 0)(rw, r)
			return
		}
		rw.WriteHeader(http.StatusOK)
		for r.Context().Err() == nil {
			_, _ = rw.Write([]byte(": still here\n\n"))
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}
	for _, id := range []string{"d-0", "d-1"} {
		target := &standin.Target{ID: id, Handler: handler}
		env.addTarget(target, id, "drafts")
	}
	env.eventually("targets are known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 2 })
	got := env.do(env.request(draft, "a-1", "{}"))
	c.Check(runs.Load(), qt.Equals, int32(2))
	c.Check(got.broken, qt.IsFalse)
	c.Check(strings.HasSuffix(got.body, eventText(1, 3)), qt.IsTrue, qt.Commentf("%s", got.body))
}
