package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestClientNoticesAnAnswerThatBreaksOff guards against a client of HTTP/1.0, which gets answers
// without a length or chunks, that takes a part of one for all of it.
func TestClientNoticesAnAnswerThatBreaksOff(t *testing.T) {
	streamHead := signedHead + "Content-Type: text/event-stream\r\n"
	large := strings.Repeat("x", maxBufferedBytes+100<<10)
	tests := []struct {
		name    string
		route   route
		answer  string
		isWhole bool
	}{
		{"a stream in chunks", single, strings.Replace(chunkedAnswer("a-1", eventText(1, 2), false), "\r\n", "\r\nContent-Type: text/event-stream\r\n", 1), false},
		{"a stream within an event", single, streamHead + "\r\n" + eventText(1, 2) + "id: 3\n", false},
		{"a large answer with a length", order, signedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(large)+1, large), false},
		{"a whole stream", single, streamHead + "\r\n" + eventText(1, 2), true},
		{"a whole large answer", order, signedHead + "\r\n" + large, true},
	}
	for _, tt := range tests {
		for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(tt.name+"/"+protocol, func(t *testing.T) {
				env := newTestEnv(t)
				env.addRawTarget(&rawTarget{closes: true, answer: func(*http.Request) (string, bool) { return tt.answer, true }}, "t-0", tt.route.service)
				env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
				conn, err := net.Dial("tcp", env.address)
				env.c.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				env.c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
				_, err = fmt.Fprintf(conn, "POST /%s/x %s\r\nHost: guild.example\r\nAttempt-Id: a-1\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n", tt.route.name, protocol, testKey)
				env.c.Assert(err, qt.IsNil)
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				env.c.Assert(err, qt.IsNil)
				env.c.Check(answer.StatusCode, qt.Equals, 200)
				_, err = io.ReadAll(answer.Body)
				env.c.Check(err == nil, qt.Equals, tt.isWhole, qt.Commentf("%v", err))
			})
		}
	}
}
