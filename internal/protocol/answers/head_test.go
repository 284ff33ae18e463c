package answers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// pieces is a connection whose reads bring bytes from a reader.
type pieces struct {
	net.Conn
	io.Reader
}

// Read implements io.Reader.
func (p pieces) Read(b []byte) (int, error) { return p.Reader.Read(b) }

// TestHeadsAreCheckedHoweverTheyArrive has heads and bodies arrive in one piece, byte by byte
// and in halves.
func TestHeadsAreCheckedHoweverTheyArrive(t *testing.T) {
	const early = "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
	const broken = "HTTP/1.1 200 OK\r\nX : y\r\n\r\n"
	tests := []struct{ name, bytes, passed, err string }{
		{"an answer", head + "body", head + "body", ""},
		{"a body that looks like a broken head", head + broken, head + broken, ""},
		{"informational answers first", early + early + head + "body", early + early + head + "body", ""},
		{"a broken head", broken + "body", "", `answers: line 2 of the head, "X : y": a name of a field that is no token`},
		{"a broken head after an informational one", early + broken, early, `answers: line 2 of the head, "X : y": .*`},
		{"a broken status line", "HTTP/1.1 000 OK\r\n\r\n" + head, "", `answers: line 1 of the head, "HTTP/1.1 000 OK": no status from 100 to 599`},
		{"empty lines first", "\r\n\r\n" + head, "", `answers: line 1 of the head, "": no status line .*`},
		{"the end within a head", head[:len(head)-1], "", "unexpected EOF"},
		{"the end within a second head", early + head[:5], early, "unexpected EOF"},
		{"nothing", "", "", ""},
		{"a head without end", head[:17] + "X: " + strings.Repeat("y", maxHeadBytes), "", "answers: the head has more than 65536 bytes"},
	}
	arrivals := []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.HalfReader, iotest.DataErrReader}
	for _, tt := range tests {
		for n, arrival := range arrivals {
			t.Run(fmt.Sprint(tt.name, "/", n), func(t *testing.T) {
				c := qt.New(t)
				conn := NewConn(pieces{Reader: arrival(strings.NewReader(tt.bytes))})
				passed, err := io.ReadAll(conn)
				c.Check(string(passed), qt.Equals, tt.passed)
				if tt.err == "" {
					c.Check(err, qt.IsNil)
				} else {
					c.Check(err, qt.ErrorMatches, tt.err)
				}
				if strings.HasPrefix(tt.err, "answers") {
					_, err = conn.Read(make([]byte, 1))
					c.Check(err, qt.ErrorMatches, tt.err)
				}
			})
		}
	}
}

// TestUnreadHeadIsChecked has the bytes behind an answer's body come back as the next head.
func TestUnreadHeadIsChecked(t *testing.T) {
	c := qt.New(t)
	const next = "HTTP/1.1 200 OK\r\nX : y\r\n\r\n"
	conn := NewConn(pieces{Reader: iotest.HalfReader(strings.NewReader(head + "body" + next))})
	first := make([]byte, len(head+"body"))
	_, err := io.ReadFull(conn, first)
	c.Assert(err, qt.IsNil)
	got := make([]byte, 9)
	_, err = io.ReadFull(conn, got)
	c.Assert(err, qt.IsNil)
	conn.Unread(got)
	c.Check(conn.HasUnread(), qt.IsTrue)
	conn.AwaitHead()
	_, err = conn.Read(got)
	c.Check(err, qt.ErrorMatches, ".*no token")
}

// headSyntax is the syntax of a head by RFC 9110 (sections 5.1 and 5.5) and RFC 9112 (sections
// 2.2, 4 and 5). The reason may be missing with the blank before it.
var headSyntax = regexp.MustCompile("^HTTP/1[.][01] [1-5][0-9][0-9](?: [\t\x20-\x7e\u0080-\u00ff]*)?\r?\n" +
	"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\u0080-\u00ff]*\r?\n)*\r?\n")

// FuzzHead checks that whatever is accepted is a head by the RFCs and states the length of its
// body at most once, and that a head of a sound server is accepted.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		head,
		"HTTP/1.1 000 X\r\n\r\n",
		"HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 101 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 14\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x01: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200\nX:\xe9\t\n\n",
	} {
		f.Add([]byte(seed), "X-Name", "value", uint16(200))
	}
	f.Fuzz(func(t *testing.T, content []byte, name, value string, status uint16) {
		end := headEnd(content, 0)
		if end >= 0 {
			checkAccepted(t, content[:end])
		}
		status = 100 + status%500
		if status == http.StatusSwitchingProtocols || !isToken(name) || strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding") {
			return
		}
		value = strings.Map(func(r rune) rune {
			if r < ' ' && r != '\t' || r == 0x7f {
				return -1
			}
			return r
		}, value)
		sound := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s: %s\r\n\r\n", status, value, len(value), name, value)
		if got, err := CheckHead([]byte(sound)); err != nil || got != int(status) {
			t.Fatalf("%q: %d, %v", sound, got, err)
		}
	})
}

func isToken(text string) bool {
	return regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$").MatchString(text)
}

func checkAccepted(t *testing.T, content []byte) {
	status, err := CheckHead(content)
	if err != nil {
		return
	}
	// The bytes above ASCII as runes, for the expression.
	var text strings.Builder
	for _, b := range content {
		text.WriteRune(rune(b))
	}
	if !headSyntax.MatchString(text.String()) || status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
		t.Fatalf("%q is accepted with status %d", content, status)
	}
	lower := strings.ToLower(text.String())
	if strings.Count(lower, "\ncontent-length:")+strings.Count(lower, "\ntransfer-encoding:") > 1 {
		t.Fatalf("%q states two lengths", content)
	}
}
