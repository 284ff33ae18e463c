package answers

import (
	"cmp"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// SerialConn is a Conn for clients that write each request completely before they read its
// answer, such as those of fasthttp. One goroutine may use it at a time.
type SerialConn struct {
	*Conn
	// isReading is set while an answer is read.
	isReading bool
}

// NewSerialConn returns a connection over one that carries nothing yet.
func NewSerialConn(c net.Conn) *SerialConn { return &SerialConn{Conn: NewConn(c)} }

// Write implements io.Writer. The first write after a read begins a request.
func (c *SerialConn) Write(p []byte) (int, error) {
	if c.isReading {
		c.isReading = false
		c.Unread(nil)
		c.AwaitHead()
	}
	return c.Conn.Write(p)
}

// Read implements io.Reader.
func (c *SerialConn) Read(p []byte) (int, error) {
	c.isReading = true
	return c.Conn.Read(p)
}

// DialTimeout opens a connection for a client of fasthttp. A timeout of 0 stands for the default
// of that library.
func DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(address, cmp.Or(timeout, fasthttp.DefaultDialTimeout))
	if err != nil {
		return nil, err
	}
	return NewSerialConn(c), nil
}
