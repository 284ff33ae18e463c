package engine

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAnswerWithoutEndIsNotKept has an engine send a body without end to each kind of call.
func TestAnswerWithoutEndIsNotKept(t *testing.T) {
	const (
		timeout = 2 * time.Second
		// maxWritten is what fits into the buffers of both ends besides the answer.
		maxWritten = 16 << 20
	)
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	var written atomic.Int64
	go func() {
		noise := []byte(strings.Repeat("x", 64<<10))
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				n, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
				for written.Add(int64(n)); err == nil; written.Add(int64(n)) {
					n, err = conn.Write(noise)
				}
			}()
		}
	}()
	address := l.Addr().String()
	for _, tt := range []struct {
		name string
		call func() error
	}{
		{"load", func() error { _, err := ReadLoad(address, "/load", timeout); return err }},
		{"rank", func() error { _, err := ReadRank(address, timeout); return err }},
		{"order", func() error { return OrderGrant(address, GrantOrder{}, timeout) }},
	} {
		written.Store(0)
		c.Check(tt.call(), qt.IsNotNil, qt.Commentf(tt.name))
		c.Check(written.Load() < maxWritten, qt.IsTrue, qt.Commentf("%s: %d bytes", tt.name, written.Load()))
	}
}
