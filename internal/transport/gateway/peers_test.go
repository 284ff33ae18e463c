package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// copyingEntry lends an attempt to its first caller only, and writes that answer once more
// where the second one on the connection is due.
func copyingEntry(t *testing.T, hasID bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		lent := ""
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			for count := 0; ; count++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				head := "HTTP/1.1 200 X\r\n"
				if hasID {
					head += "Call-Id: " + request.Header.Get("Call-Id") + "\r\n"
				}
				body := fmt.Sprintf(`{"lent":%t}`, lent == "")
				answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
				if lent == "" {
					lent = answer
				} else if count == 1 {
					answer = lent + answer
				}
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// TestCallIsNotAnsweredByACopiedAnswer guards against an attempt at a target with a limit that
// counts as lent twice.
func TestCallIsNotAnsweredByACopiedAnswer(t *testing.T) {
	for _, tt := range []struct {
		name  string
		hasID bool
	}{{"entry that names the call", true}, {"entry of a version that does not", false}} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			address := "http://" + copyingEntry(t, tt.hasID) + pathLoan
			p := newEntryPeers("127.0.0.1:1", hclog.NewNullLogger())
			for n := range 3 {
				var reply loanReply
				err := p.call(t.Context(), http.MethodPost, address, &reply)
				c.Check(reply.Lent, qt.Equals, n == 0)
				c.Check(err == nil, qt.Equals, n != 1, qt.Commentf("call %d: %v", n, err))
			}
		})
	}
}

// TestEntryThatNamesNoCallsIsCalledAgain guards against calls that fail throughout an upgrade.
func TestEntryThatNamesNoCallsIsCalledAgain(t *testing.T) {
	for _, body := range []string{"", `{"lent":true}`} {
		t.Run(fmt.Sprintf("body %q", body), func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(rw, body)
			}))
			t.Cleanup(server.Close)
			p := newEntryPeers("127.0.0.1:1", hclog.NewNullLogger())
			failed := 0
			for range 10 {
				var result any
				if body != "" {
					result = &loanReply{}
				}
				if p.call(t.Context(), http.MethodPost, server.URL+pathLoan, result) != nil {
					failed++
				}
			}
			// The first call leaves a connection, of which the second can't tell what it carries.
			c.Check(failed <= 1, qt.IsTrue, qt.Commentf("%d of 10 calls failed", failed))
		})
	}
}

// TestEntryWithABrokenHeadLendsNothing guards against calls of other entries whose answers are
// read without the check of their heads.
func TestEntryWithABrokenHeadLendsNothing(t *testing.T) {
	const body = `{"lent":true}`
	tests := []struct {
		name, head string
		isTold     bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\n", true},
		{"after an informational answer", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n", true},
		{"a blank behind a name", "HTTP/1.1 200 OK\r\nX : y\r\n", false},
		{"a blank in a name of a 103", "HTTP/1.1 103 X\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n", false},
		{"status 000", "HTTP/1.1 000 OK\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", tt.head, len(body), body)
				}
			}()
			var reply loanReply
			err = newEntryPeers("127.0.0.1:1", hclog.NewNullLogger()).call(t.Context(), http.MethodPost, "http://"+l.Addr().String()+pathLoan, &reply)
			c.Check(err == nil, qt.Equals, tt.isTold, qt.Commentf("%v", err))
			c.Check(reply.Lent, qt.Equals, tt.isTold)
		})
	}
}
