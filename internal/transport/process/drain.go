package process

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// queueCheckTime is how long the queue of a listener must stay empty before the
	// listener is closed.
	queueCheckTime = time.Millisecond
	// maxQueueDrainTime bounds how long a closed listener goes on accepting while
	// new connections arrive all the time.
	maxQueueDrainTime = 100 * time.Millisecond
)

// deadlineListener is a listener whose Accept can be given a time limit.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// NewQueueDrainingListener returns a listener that, when it is closed, still accepts
// the connections in its queue. The kernel resets those that are left when the socket
// is closed, although their clients may have sent a request.
func NewQueueDrainingListener(l net.Listener) net.Listener {
	if d, ok := l.(deadlineListener); ok {
		return &queueDrainingListener{deadlineListener: d}
	}
	return l
}

type queueDrainingListener struct {
	deadlineListener
	closing atomic.Bool
	// closedAt is when Close was called, in Unix nanoseconds.
	closedAt atomic.Int64
}

// Close implements net.Listener. The socket is closed by the next Accept that finds
// the queue empty.
func (l *queueDrainingListener) Close() error {
	l.closedAt.CompareAndSwap(0, time.Now().UnixNano())
	l.closing.Store(true)
	return l.SetDeadline(time.Now())
}

// Accept implements net.Listener.
func (l *queueDrainingListener) Accept() (net.Conn, error) {
	for {
		isClosing := l.closing.Load()
		if isClosing {
			now := time.Now()
			err := l.SetDeadline(now.Add(queueCheckTime))
			if err != nil || now.Sub(time.Unix(0, l.closedAt.Load())) > maxQueueDrainTime {
				_ = l.deadlineListener.Close()
				return nil, net.ErrClosed
			}
		}
		conn, err := l.deadlineListener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case isClosing:
			_ = l.deadlineListener.Close()
			return nil, net.ErrClosed
		case !l.closing.Load():
			return nil, err
		}
	}
}
