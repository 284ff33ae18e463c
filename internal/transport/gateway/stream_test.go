package gateway

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

func pieces(from, to int) string {
	var out strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return out.String()
}

// chunked is an answer of which the last chunk may be missing.
func chunked(attempt, body string, whole bool) string {
	out := "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	out += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	if whole {
		out += "0\r\n\r\n"
	}
	return out
}

func TestStreams(t *testing.T) {
	tests := []struct {
		name   string
		route  route
		answer string
		second int
		last   string
		want   string
		broken bool
		sends  int
	}{
		{name: "whole", route: draft, answer: chunked("a-1", pieces(1, 3), true), want: pieces(1, 3), sends: 1},
		{name: "nothing is left behind the client's last event", route: draft, answer: "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", last: "3", want: "", sends: 1},
		{name: "cut behind an event, resumed", route: draft, answer: chunked("a-1", pieces(1, 2), false), second: 4, want: pieces(1, 4), sends: 2},
		{name: "cut within an event, resumed", route: draft, answer: chunked("a-1", pieces(1, 2)+"id: 3\nda", false), second: 4, want: pieces(1, 4), sends: 2},
		{name: "cut, not to be resumed", route: single, answer: chunked("a-1", pieces(1, 2), false), second: 4, want: pieces(1, 2), broken: true, sends: 1},
		{name: "no answer before the first event, resumable", route: draft, answer: "", second: 2, want: pieces(1, 2), sends: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			targets := []*standin.Target{{ID: "t-0"}, {ID: "t-1"}}
			w := newWorld(t)
			var runs atomic.Int32
			for _, target := range targets {
				target.ID = "d-" + target.ID
				target.Handler = scripted(&runs, tt.answer, tt.second)
				w.addTargetAs(target, target.ID, "drafts")
			}
			w.eventually("targets are known", func() bool { return len(w.gateway.fleet.Targets()) == 2 })
			q := w.request(tt.route, "a-1", "{}")
			if tt.last != "" {
				q.Header.Set("Last-Event-Id", tt.last)
			}
			got := w.do(q)
			c.Check(got.body, qt.Equals, tt.want)
			c.Check(got.broken, qt.Equals, tt.broken)
			c.Check(got.status, qt.Equals, 200)
			c.Check(got.header.Get("Server-Signature"), qt.Not(qt.Equals), "")
			c.Check(len(targets[0].Requests())+len(targets[1].Requests()), qt.Equals, tt.sends)
		})
	}
}

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	target := &standin.Target{ID: "d-0", Handler: standin.Events(3, 300*time.Millisecond)}
	w.addTargetAs(target, target.ID, "drafts")
	w.eventually("target is known", func() bool { return len(w.gateway.fleet.Targets()) == 1 })
	a, err := w.client.Do(w.request(draft, "a-1", "{}"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = a.Body.Close() }()
	began := time.Now()
	first := make([]byte, len(pieces(1, 1)))
	_, err = a.Body.Read(first)
	c.Assert(err, qt.IsNil)
	c.Check(string(first), qt.Equals, pieces(1, 1))
	c.Check(time.Since(began) < 300*time.Millisecond, qt.IsTrue)
}

func TestTargetStopsWhenTheCallerLeaves(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
		read  bool
	}{
		{"in the middle of a stream", 50 * time.Millisecond, true},
		{"before the first event", time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t)
			target := &standin.Target{ID: "d-0", Handler: standin.Events(1000, tt.pause)}
			w.addTargetAs(target, target.ID, "drafts")
			w.eventually("target is known", func() bool { return len(w.gateway.fleet.Targets()) == 1 })
			q := w.request(draft, "a-1", "{}")
			ended := make(chan struct{})
			ctx, leave := contextWithCancel(q)
			go func() {
				defer close(ended)
				_ = w.do(q.WithContext(ctx))
			}()
			w.eventually("the target works", func() bool { return len(target.Requests()) == 1 })
			time.Sleep(100 * time.Millisecond)
			leave()
			<-ended
			left := time.Now()
			w.eventually("the target was cut", func() bool { return target.CancelledCount() == 1 })
			c.Check(time.Since(left) < 500*time.Millisecond, qt.IsTrue)
		})
	}
}
