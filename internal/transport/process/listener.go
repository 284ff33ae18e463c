package process

import (
	"net"
	"time"
)

// NewWriteTimeoutListener returns a listener whose connections apply the timeout to
// each write separately. A client that stops reading is disconnected, while a
// response as a whole may take any time.
func NewWriteTimeoutListener(l net.Listener, timeout time.Duration) net.Listener {
	return &writeTimeoutListener{Listener: l, timeout: timeout}
}

type writeTimeoutListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l *writeTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &writeTimeoutConn{Conn: c, timeout: l.timeout}, nil
}

type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// NetConn returns the wrapped connection.
func (c *writeTimeoutConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
