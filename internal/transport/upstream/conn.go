package upstream

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"bluebellcrank/internal/protocol/answers"
)

const (
	// readBufferSize is the size in bytes of a connection's read buffer, enough
	// for the header of a response or a few events of a stream.
	readBufferSize = 4 << 10
	// maxHeadBytes limits the head of a response, and maxStrayBytes the body of a
	// response that is skipped. A target in trouble may send either without end.
	maxHeadBytes  = 64 << 10
	maxStrayBytes = 256 << 10
	// maxRequestsPerConn limits the memory for the ids of a connection's requests.
	maxRequestsPerConn = 256
	// probeIdle, probeInterval and probeCount configure TCP keep-alive so that
	// it detects a vanished target in 2 to 3 s. By then a client has given up
	// on a silent stream.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT). Bytes that are lost are sent again
	// after 0.2 and 0.6 s, and clients give up on a silent stream after 2 s.
	unackedTimeout = time.Second
)

// errTooLong means that a target sent more bytes than a response may have.
var errTooLong = errors.New("upstream: the target sent more bytes than the limit of a response")

// limitedReader reads from a connection and fails with errTooLong once it has read
// as many bytes as remain.
type limitedReader struct {
	net.Conn
	remaining int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := l.Conn.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// conn is one connection to a target.
type conn struct {
	*answers.Conn
	// limit limits what reader may read.
	limit  *limitedReader
	reader *bufio.Reader
	// carried has the hashes of the ids of all requests that the connection has carried. Equal
	// hashes of two ids cost a new connection.
	carried []uint64
	// lastUsed is when the connection was last returned to the pool; zero if never.
	lastUsed time.Time
	// idleTimeout is how long the connection may stay idle in the pool before
	// it is closed.
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	target := answers.NewConn(c)
	limit := &limitedReader{Conn: target}
	return &conn{Conn: target, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize), idleTimeout: maxIdleTime}
}

// ConnInfo identifies a connection in logs.
type ConnInfo struct {
	local    string
	requests int
}

// Local returns the connection's own address.
func (i ConnInfo) Local() string { return i.local }

// Requests returns the number of requests that the connection has carried, the one under
// way included.
func (i ConnInfo) Requests() int { return i.requests }

func (c *conn) info() ConnInfo {
	return ConnInfo{local: c.LocalAddr().String(), requests: len(c.carried)}
}

// mayCarry reports whether a response to another request can be told by its id from those to
// the connection's earlier requests, which may come again.
func (c *conn) mayCarry(id string) bool {
	return id != "" && !slices.Contains(c.carried, xxhash.Sum64String(id))
}

// hasRoom reports whether the connection may carry another request, and nothing waits to be
// read from it.
func (c *conn) hasRoom() bool {
	return len(c.carried) < maxRequestsPerConn && !c.hasUnread()
}

// hasUnread reports whether bytes were received that belong to no response so far.
func (c *conn) hasUnread() bool { return c.reader.Buffered() > 0 || c.HasUnread() }

// awaitHead has the next bytes checked as the head of a response, those in the read buffer
// included.
func (c *conn) awaitHead() {
	// Peek cannot fail for bytes that are buffered.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.Unread(buffered)
	c.reader.Reset(c.limit)
	c.AwaitHead()
}

// abort closes a connection whose request got no complete response. It resets
// the connection, so that bytes still in transit do not reach a paused target
// after the client has left.
func (c *conn) abort() {
	if t, ok := c.Conn.Conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// isReusable reports whether an idle connection is open and has no unsolicited
// bytes to read.
func (c *conn) isReusable() bool {
	if c.hasUnread() {
		return false
	}
	t, ok := c.Conn.Conn.(*net.TCPConn)
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
