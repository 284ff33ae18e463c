package peer

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxWritten is what fits into the buffers of both ends besides a message.
const maxWritten = 16 << 20

// writeEndless writes the beginning of a message that has no end, and then more of it until
// the other end closes the connection.
func writeEndless(conn net.Conn, written *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	start := append(binary.AppendUvarint(nil, 1<<40), `{"jsonrpc":"2.0","method":"`...)
	noise := []byte(strings.Repeat("x", 64<<10))
	n, err := conn.Write(start)
	for written.Add(int64(n)); err == nil; written.Add(int64(n)) {
		n, err = conn.Write(noise)
	}
}

// TestMessageWithoutEndIsNotKept has a peer answer a call, and one send a call, with bytes
// without end.
func TestMessageWithoutEndIsNotKept(t *testing.T) {
	const timeout = time.Second
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	var answered, called atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go writeEndless(conn, &answered)
		}
	}()
	_, err = CallFresh[int, int](NewPool(timeout), l.Addr().String(), "x", 1, timeout)
	c.Check(err, qt.ErrorIs, ErrUnreachable)
	c.Check(answered.Load() < maxWritten, qt.IsTrue, qt.Commentf("%d bytes of the answer", answered.Load()))

	serving, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	m := NewMux()
	Handle(m, "x", func(_ context.Context, n int) (int, error) { return n + 1, nil })
	var bytes atomic.Int64
	s := Serve(serving, m, &bytes)
	defer s.Close()
	conn, err := net.Dial("tcp", serving.Addr().String())
	c.Assert(err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		writeEndless(conn, &called)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
		_ = conn.Close()
	}
	c.Check(called.Load() < maxWritten, qt.IsTrue, qt.Commentf("%d bytes of the call", called.Load()))

	got, err := CallFresh[int, int](NewPool(timeout), serving.Addr().String(), "x", 1, timeout)
	c.Check(err, qt.IsNil)
	c.Check(got, qt.Equals, 2)
}
