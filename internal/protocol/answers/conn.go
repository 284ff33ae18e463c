package answers

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deliveryCheckInterval is the time between two looks whether the peer has got the rest of a
// request, after it has ended its side of the connection.
const deliveryCheckInterval = time.Millisecond

// maxHeadBytes limits the head of an answer. A server in trouble may send one without end.
const maxHeadBytes = 64 << 10

var errHeadTooLong = fmt.Errorf("answers: the head has more than %d bytes", maxHeadBytes)

// Conn is the client's side of a connection. Read passes on only heads that CheckHead accepts.
// An answer without a length is complete when its connection ends, so that Read returns io.EOF
// only if the peer has ended the connection in order and has received all that was written;
// otherwise, it returns why the connection is broken. One goroutine may read while others write.
type Conn struct {
	net.Conn
	// awaitsHead is set while the next bytes begin a head.
	awaitsHead atomic.Bool
	// unread has bytes that were passed on and came back. partialHead has the beginning of a
	// head, and checked what is to be passed on next.
	unread, partialHead, checked []byte
	// headErr is the error of a head; after it nothing is passed on.
	headErr error

	mu sync.Mutex
	// writing counts the writes under way, and writeErr is the error of the first one that
	// failed. The system reports an error of the connection once, to a read or to a write.
	writing  int
	writeErr error
}

// NewConn returns a connection over one that carries nothing yet.
func NewConn(c net.Conn) *Conn {
	out := &Conn{Conn: c}
	out.AwaitHead()
	return out
}

// AwaitHead records that the next bytes to be read begin the head of an answer, as they do on a
// new connection and after each informational answer. It may be called while another goroutine
// reads.
func (c *Conn) AwaitHead() { c.awaitsHead.Store(true) }

// Unread takes back the last bytes that Read passed on, which are read again.
func (c *Conn) Unread(p []byte) {
	c.unread = slices.Concat(p, c.checked, c.partialHead, c.unread)
	c.checked, c.partialHead = nil, nil
}

// HasUnread reports whether bytes were received that Read has not passed on.
func (c *Conn) HasUnread() bool { return len(c.unread)+len(c.partialHead)+len(c.checked) > 0 }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.beginWrite()
	return c.write(p)
}

// WriteBeside writes on a goroutine of its own while the answer is read, which may come before
// the peer has received everything. Read reports a failure.
func (c *Conn) WriteBeside(p []byte) {
	c.beginWrite()
	go func() { _, _ = c.write(p) }()
}

func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing++
}

// write writes, and ends what beginWrite began.
func (c *Conn) write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if len(c.checked) > 0 {
			n := copy(p, c.checked)
			c.checked = c.checked[n:]
			return n, nil
		}
		if c.headErr != nil {
			return 0, c.headErr
		}
		n, err := c.receive(p)
		if n == 0 && len(c.partialHead) > 0 && errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if n == 0 || !c.awaitsHead.Load() {
			return n, err
		}
		if n = c.checkHeads(p[:n]); n > 0 {
			return n, nil
		}
	}
}

// checkHeads checks the heads in what was received, and returns how many of its bytes to pass
// on. If they follow a partial head, it moves them to checked instead.
func (c *Conn) checkHeads(received []byte) int {
	all := received
	if len(c.partialHead) > 0 {
		all = append(c.partialHead, received...)
	}
	passed := 0
	// The end of the first head may begin in the last bytes of the partial one.
	from := max(0, len(c.partialHead)-len("\n\r"))
	for c.awaitsHead.Load() && c.headErr == nil {
		end := headEnd(all, from)
		if end < 0 {
			break
		}
		status, err := CheckHead(all[passed:end])
		if err != nil {
			c.headErr = err
			break
		}
		passed, from = end, end
		c.awaitsHead.Store(status < http.StatusOK)
	}
	if !c.awaitsHead.Load() {
		passed = len(all) // a body
	}
	if len(all)-passed > maxHeadBytes {
		c.headErr = errHeadTooLong
	}
	if len(c.partialHead) > 0 {
		c.checked, c.partialHead = all[:passed], all[passed:]
		return 0
	}
	c.partialHead = bytes.Clone(all[passed:])
	return passed
}

// headEnd returns the position behind the first empty line, or -1. The search for the line feed
// before it begins at from.
func headEnd(p []byte, from int) int {
	for {
		at := bytes.IndexByte(p[from:], '\n')
		if at < 0 {
			return -1
		}
		from += at + 1
		switch rest := p[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + len("\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + len("\r\n")
		}
	}
}

// receive reads from the connection, or bytes that came back.
func (c *Conn) receive(p []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, io.EOF) {
			return n, err
		}
		isDelivered, err := c.delivery()
		if err != nil {
			return 0, fmt.Errorf("answers: the connection ended before the request was received: %w", err)
		}
		if isDelivered {
			return 0, io.EOF
		}
		time.Sleep(deliveryCheckInterval)
	}
}

// delivery reports whether the peer has received all that was written, or why it never will.
// The peer must have ended its side of the connection.
func (c *Conn) delivery() (bool, error) {
	c.mu.Lock()
	isWriting, err := c.writing > 0, c.writeErr
	c.mu.Unlock()
	if isWriting || err != nil {
		return false, err
	}
	info, err := tcpInfo(c.Conn)
	switch {
	case err != nil:
		return true, nil // not known
	case info.State == unix.BPF_TCP_CLOSE:
		return false, syscall.ECONNRESET
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}

// tcpInfo returns the state of a TCP connection.
func tcpInfo(c net.Conn) (*unix.TCPInfo, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(err, infoErr)
}
