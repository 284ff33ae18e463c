package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// The causes for which the context of a connection ends.
const (
	endedByClient  = "client"   // closed or shut down for sending
	endedByReset   = "reset"    // by the client or the network
	endedByTimeout = "time-out" // of this entry
	endedHere      = "closed"   // by this entry
	endedOtherwise = "other"
)

// connectionEnd returns why the context of a request's connection has ended, or an empty text
// if it has not.
func connectionEnd(ctx context.Context) string {
	if ctx.Err() == nil {
		return ""
	}
	var err error
	if c := guardedConnIn(ctx); c != nil {
		err = c.Err()
	}
	switch {
	case errors.Is(err, io.EOF):
		return endedByClient
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return endedByReset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endedByTimeout
	case err == nil, errors.Is(err, net.ErrClosed):
		return endedHere
	}
	return endedOtherwise
}

// countEndedConnection counts a request whose connection ended before its handler did.
func (m *entryMetrics) countEndedConnection(cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellcrank_request_connections_ended_total{cause=%q}", cause)).Inc()
}
