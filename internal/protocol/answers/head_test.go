package answers

import (
	"fmt"
	"io"
	"net"
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
	const broken = "HTTP/1.1 000 OK\r\nX: y\r\n\r\n"
	tests := []struct{ name, bytes, passed, err string }{
		{"an answer", head + "body", head + "body", ""},
		{"a body that looks like a broken head", head + broken, head + broken, ""},
		{"informational answers first", early + early + head + "body", early + early + head + "body", ""},
		{"a broken head", broken + "body", "", `answers: line 1 of the head, "HTTP/1.1 000 OK": no status .*`},
		{"a broken head after an informational one", early + broken, early, `answers: line 1 of the head, .*`},
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
	const next = "HTTP/1.1 000 OK\r\nX: y\r\n\r\n"
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
	c.Check(err, qt.ErrorMatches, ".*no status .*")
}
