package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/platform/standin"
)

// TestEndOfAConnectionIsExplained checks that the log line of a request says what ended its
// connection.
func TestEndOfAConnectionIsExplained(t *testing.T) {
	tests := []struct {
		name string
		end  func(g *Gateway, conn *net.TCPConn) error
		want any
	}{
		{"the client stays", func(*Gateway, *net.TCPConn) error { return nil }, nil},
		{"the client closes", func(_ *Gateway, conn *net.TCPConn) error { return conn.Close() }, endedByClient},
		{"the client ends its sending side", func(_ *Gateway, conn *net.TCPConn) error { return conn.CloseWrite() }, endedByClient},
		{"the client resets", func(_ *Gateway, conn *net.TCPConn) error {
			_ = conn.SetLinger(0)
			return conn.Close()
		}, endedByReset},
		{"the entry closes", func(g *Gateway, _ *net.TCPConn) error { return g.traffic.Close() }, endedHere},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			env := newTestEnv(t)
			arrived := make(chan bool)
			env.addTarget(&standin.Target{ID: "t-0", Handler: func(w http.ResponseWriter, _ *http.Request) {
				close(arrived)
				time.Sleep(200 * time.Millisecond)
				_, _ = io.WriteString(w, "done")
			}}, "t-0", "bells")
			env.eventually("the target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			conn, err := net.Dial("tcp", env.address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "%s\r\n", rawHead(order, "a-1"))
			c.Assert(err, qt.IsNil)
			<-arrived
			c.Assert(tt.end(env.gateway, conn.(*net.TCPConn)), qt.IsNil)
			env.eventually("the request has ended", func() bool { return len(env.logged(event.RequestEnded)) == 1 })
			c.Check(env.logged(event.RequestEnded)[0]["connection-end"], qt.Equals, tt.want)
		})
	}
}
