package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds the header of an answer or a few events.
	readBuffer = 4 << 10
	// probeIdle, probeInterval and probeCount find a peer that is gone
	// without a word in about 3 s, the time after which a caller has given up
	// on a silent stream.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedFor ends a connection whose bytes are not acknowledged.
	unackedFor = 2 * time.Second
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// used is when the last answer ended.
	used time.Time
	// keep is how long the target keeps the connection when idle.
	keep time.Duration
}

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedFor.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
}

// abort ends a connection whose request is not answered. A reset keeps bytes
// that are still on their way from reaching a target that stands still after
// the caller has left.
func (c *conn) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// Where it fails, the connection is gone already.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// quiet reports whether an idle connection is open and nothing came in that
// nobody asked for.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
