package answers

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const head = "HTTP/1.1 200 OK\r\n\r\n"

// connect returns a connection and the peer's side of it.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	own, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	peer, err := l.Accept()
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		_ = own.Close()
		_ = peer.Close()
	})
	return NewConn(own), peer.(*net.TCPConn)
}

// TestErrorOfAWriteIsNoEndInOrder guards against an error of the connection that a write takes
// from the system, after which the system tells reads that the connection has ended in order.
func TestErrorOfAWriteIsNoEndInOrder(t *testing.T) {
	c := qt.New(t)
	conn, peer := connect(t)
	_, err := io.WriteString(peer, head+"part")
	c.Assert(err, qt.IsNil)
	c.Assert(peer.SetLinger(0), qt.IsNil)
	c.Assert(peer.Close(), qt.IsNil)
	for err == nil {
		_, err = conn.Write(make([]byte, 1<<10))
	}
	got, err := io.ReadAll(conn)
	c.Check(string(got), qt.Equals, head+"part")
	c.Check(err, qt.Not(qt.IsNil))
	_, err = conn.Conn.Read(make([]byte, 1))
	c.Check(errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("the system: %v", err))
}

// TestEndOfAConnection has the peer end its side of the connection.
func TestEndOfAConnection(t *testing.T) {
	long := make([]byte, 8<<20)
	tests := []struct {
		name string
		// request is written beside the reading of the answer.
		request []byte
		end     func(peer *net.TCPConn)
		isWhole bool
	}{
		{"without a request", nil, func(*net.TCPConn) {}, true},
		{"after the request", long, func(peer *net.TCPConn) { _, _ = io.CopyN(io.Discard, peer, int64(len(long))) }, true},
		{"before the request, which is read", long, func(peer *net.TCPConn) {
			_ = peer.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_, _ = io.CopyN(io.Discard, peer, int64(len(long)))
		}, true},
		{"in the middle of the request", long, func(peer *net.TCPConn) { _, _ = io.CopyN(io.Discard, peer, int64(len(long)/2)) }, false},
		{"before the request, which is not read", long, func(peer *net.TCPConn) {
			_ = peer.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			conn, peer := connect(t)
			conn.WriteBeside(tt.request)
			go func() {
				_, _ = io.WriteString(peer, head+"answers")
				tt.end(peer)
				_ = peer.Close()
			}()
			got, err := io.ReadAll(conn)
			c.Check(string(got), qt.Equals, head+"answers")
			c.Check(err == nil, qt.Equals, tt.isWhole, qt.Commentf("%v", err))
		})
	}
}

// TestWaitForTheRequestEndsAtTheDeadline has a peer end its side and read nothing.
func TestWaitForTheRequestEndsAtTheDeadline(t *testing.T) {
	c := qt.New(t)
	conn, peer := connect(t)
	conn.WriteBeside(make([]byte, 8<<20))
	c.Assert(peer.CloseWrite(), qt.IsNil)
	c.Assert(conn.SetDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	_, err := io.ReadAll(conn)
	var timeout net.Error
	c.Check(errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue, qt.Commentf("%v", err))
}
