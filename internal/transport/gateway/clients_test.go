package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestOnAConnectionThatIsBeingClosedIsNotRead has a request arrive between the
// choice of the connections to close and their close.
func TestRequestOnAConnectionThatIsBeingClosedIsNotRead(t *testing.T) {
	tests := []struct {
		name string
		// isTaken is set if the connection is to be closed when the request arrives.
		isTaken bool
		limit   time.Duration
		want    error
	}{
		{"stays open", false, time.Minute, nil},
		{"is to be closed", true, 0, net.ErrClosed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			conns := newClientConns()
			server, client := net.Pipe()
			conn := &clientConn{Conn: server, clients: conns}
			conns.added(conn, time.Now())
			conns.stateChanged(conn, http.StateIdle)
			c.Check(len(conns.takeIdle(tt.limit, time.Now())) == 1, qt.Equals, tt.isTaken)
			go func() { _, _ = client.Write([]byte("POST / HTTP/1.1\r\n")) }()
			n, err := conn.Read(make([]byte, 64))
			c.Check(err, qt.Equals, tt.want)
			c.Check(n > 0, qt.Equals, tt.want == nil)
		})
	}
}
