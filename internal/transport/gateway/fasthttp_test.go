package gateway

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// TestFasthttpDoesNotNoticeALeavingClient records why net/http serves the
// clients: a handler of fasthttp, on which fiber is built, detects a closed
// connection only when it writes.
func TestFasthttpDoesNotNoticeALeavingClient(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	began, ended := make(chan struct{}), make(chan bool, 1)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		close(began)
		select {
		case <-ctx.Done():
			ended <- true
		case <-time.After(time.Second):
			ended <- false
		}
	}}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Shutdown() }()
	client, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	_, err = client.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	<-began
	c.Assert(client.Close(), qt.IsNil)
	c.Check(<-ended, qt.IsFalse)
}
