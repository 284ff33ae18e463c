package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/event"
)

// brokenHead is an answer to the request "a-1" with a head that is none.
type brokenHead struct{ name, answer string }

// brokenHeads returns answers whose bodies are as long as they state, before the sound one that
// some are followed by.
func brokenHeads(sound string) []brokenHead {
	const (
		ok      = "HTTP/1.1 200 OK"
		body    = "id: 1\ndata: broken\n\n"
		chunked = "Transfer-Encoding: chunked\r\n"
	)
	unsized := func(lines, body string) string { return signedHead + lines + "\r\n" + body }
	sized := func(statusLine, lines string) string {
		head := strings.Replace(signedHead, ok, statusLine, 1)
		return head + lines + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	other := func(lines string) string {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: a-0\r\n" + lines + "Content-Length: 2\r\n\r\nok"
	}
	return []brokenHead{
		{"status 000", sized("HTTP/1.1 000 X", "")},
		{"status 099", sized("HTTP/1.1 099 X", "")},
		{"status 600", sized("HTTP/1.1 600 X", "")},
		{"status +20", sized("HTTP/1.1 +20 X", "")},
		{"status 000 before an answer", "HTTP/1.1 000 X\r\n\r\n" + sound},
		{"status 101 before an answer", "HTTP/1.1 101 X\r\n\r\n" + sound},
		{"two digits", sized("HTTP/1.1 20 X", "")},
		{"two blanks before the status", sized("HTTP/1.1  200 X", "")},
		{"a control byte in the reason", sized("HTTP/1.1 200 O\x01K", "")},
		{"version 2", sized("HTTP/2.0 200 OK", "")},
		{"a blank behind Transfer-Encoding", unsized("Transfer-Encoding : chunked\r\n", chunks)},
		{"a blank behind Content-Length", unsized("Content-Length : 20\r\n", body+body)},
		{"a blank behind a name", sized(ok, "X : y\r\n")},
		{"a blank in a name", sized(ok, "X Y: z\r\n")},
		{"a tab in a name", sized(ok, "X\tY: z\r\n")},
		{"a control byte in a name", sized(ok, "X\x01: y\r\n")},
		{"a byte above ASCII in a name", sized(ok, "X\xe9: y\r\n")},
		{"no name", sized(ok, ": y\r\n")},
		{"no colon", sized(ok, "X\r\n")},
		{"a control byte in a value", sized(ok, "X: y\x00z\r\n")},
		{"a carriage return in a value", sized(ok, "X: y\rz\r\n")},
		{"a folded line", sized(ok, "X: y\r\n z\r\n")},
		{"a folded first line", strings.Replace(sized(ok, ""), "\r\nAttempt", "\r\n Attempt", 1)},
		{"two lengths", sized(ok, "Content-Length: 3\r\n")},
		{"the same length twice", sized(ok, fmt.Sprintf("Content-Length: %d\r\n", len(body)))},
		{"a list of lengths", unsized("Content-Length: 20, 20\r\n", body)},
		{"a signed length", unsized("Content-Length: +20\r\n", body)},
		{"an empty length", unsized("Content-Length:\r\n", body)},
		{"a length and chunks", unsized("Content-Length: 20\r\n"+chunked, chunks)},
		{"chunks in HTTP/1.0", strings.Replace(unsized(chunked, chunks), "HTTP/1.1", "HTTP/1.0", 1)},
		{"two codings", unsized(chunked+chunked, chunks)},
		{"another coding", unsized("Transfer-Encoding: gzip, chunked\r\n", chunks)},
		{"a blank in a name of a 103", "HTTP/1.1 103 X\r\nX : y\r\n\r\n" + sound},
		{"a blank in a name of an answer to another request", other("X : y\r\n") + sound},
		{"a blank in a name after an answer to another request", other("") + sized(ok, "X : y\r\n")},
	}
}

// TestBrokenHeadReachesNoClient guards against an answer that a client gets although its head
// is none by RFC 9110 and RFC 9112. The request goes the way of a broken connection.
func TestBrokenHeadReachesNoClient(t *testing.T) {
	sound := rawAnswer(200, "Content-Type: text/event-stream\r\n", eventText(1, 1))
	routes := []struct {
		route  route
		status int
		body   string
	}{
		{order, 502, "connection-lost\n"},
		{status, 200, eventText(1, 1)},
		{draft, 200, eventText(1, 1)},
		{single, 502, "connection-lost\n"},
	}
	for _, tt := range brokenHeads(sound) {
		for _, r := range routes {
			t.Run(tt.name+"/"+r.route.name, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				var isSecond atomic.Bool
				target := &rawTarget{answer: func(*http.Request) (string, bool) {
					if isSecond.Swap(true) {
						return sound, true
					}
					return tt.answer, true
				}}
				for n := range 2 {
					env.addRawTarget(target, fmt.Sprint("t-", n), r.route.service)
				}
				env.eventually("targets are known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 2 })
				got := env.do(env.request(r.route, "a-1", "strike"))
				env.c.Check(got.status, qt.Equals, r.status)
				env.c.Check(got.body, qt.Equals, r.body)
				env.c.Check(got.broken, qt.IsFalse)
				if failed := env.logged(event.AttemptFailed); env.c.Check(failed, qt.HasLen, 1) {
					env.c.Check(failed[0]["error"], qt.Matches, `.*line \d+ of the head.*`)
				}
				env.eventually("the connection is closed", func() bool { return target.closed.Load() > 0 })
			})
		}
	}
}

// TestSoundHeadReachesTheClient has targets send heads that are unusual, but sound.
func TestSoundHeadReachesTheClient(t *testing.T) {
	body := eventText(1, 2)
	sized := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	tests := []struct{ name, answer string }{
		{"informational answers before", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 102 X\r\n\r\n" + signedHead + sized},
		{"an answer to another request before", "HTTP/1.1 200 OK\r\nAttempt-Id: a-0\r\nContent-Length: 2\r\n\r\nok" + signedHead + sized},
		{"without a length", signedHead + "\r\n" + body},
		{"without a length, HTTP/1.0", strings.Replace(signedHead, "1.1", "1.0", 1) + "\r\n" + body},
		{"an empty reason", strings.Replace(signedHead, "OK", "", 1) + sized},
		{"no reason", strings.Replace(signedHead, " OK", "", 1) + sized},
		{"bytes above ASCII", strings.Replace(signedHead, "OK", "\xe9", 1) + "X: \xc3\xa9\r\n" + sized},
		{"all signs of a name", signedHead + "!#$%&'*+-.^_`|~09AZaz: y\r\n" + sized},
		{"an empty value, and tabs", signedHead + "X:\r\nY:\tz\ty \t\r\n" + sized},
		{"a coding in capitals, and a trailer", signedHead + "TRANSFER-ENCODING: Chunked \r\n\r\n" + chunks + "X: y\r\n\r\n"},
		{"lines that end with a line feed alone", strings.ReplaceAll(signedHead+"\r\n", "\r\n", "\n") + body},
	}
	for _, tt := range tests {
		for _, r := range []route{order, single} {
			t.Run(tt.name+"/"+r.name, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.addRawTarget(&rawTarget{closes: true, answer: func(*http.Request) (string, bool) { return tt.answer, true }}, "t-0", r.service)
				env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
				got := env.do(env.request(r, "a-1", "strike"))
				env.c.Check(got.status, qt.Equals, 200)
				env.c.Check(got.body, qt.Equals, body)
				env.c.Check(got.broken, qt.IsFalse)
			})
		}
	}
}
