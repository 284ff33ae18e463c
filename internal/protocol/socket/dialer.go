package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// NewDialer returns a dialer whose connections send keep-alive probes, and close once
// sent bytes stay unacknowledged for unackedTimeout (TCP_USER_TIMEOUT). Probes are not
// sent while bytes are unacknowledged, so neither suffices alone.
func NewDialer(connectTimeout time.Duration, keepAlive net.KeepAliveConfig, unackedTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, optErr)
		},
	}
}
