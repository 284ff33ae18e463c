package process

import (
	"net"
	"time"
)

// NewWriteTimeoutListener returns a listener whose connections end when the other side
// accepts no bytes for a time, however long the whole answer takes.
func NewWriteTimeoutListener(l net.Listener, patience time.Duration) net.Listener {
	return &slowWriters{Listener: l, patience: patience}
}

type slowWriters struct {
	net.Listener
	patience time.Duration
}

// Accept implements net.Listener.
func (l *slowWriters) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowWriter{Conn: c, patience: l.patience}, nil
}

type slowWriter struct {
	net.Conn
	patience time.Duration
}

// Write implements net.Conn.
func (c *slowWriter) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.patience)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
