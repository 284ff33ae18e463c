package attempt

import (
	"net"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// TestOwnConnectionLeavesNothingBehind guards against goroutines that wait for 30 s after
// the only request of their connection.
func TestOwnConnectionLeavesNothingBehind(t *testing.T) {
	const requests = 50
	c := qt.New(t)
	address := answeringTarget(t)
	client := NewClient(time.Second)
	before := runtime.NumGoroutine()
	for range requests {
		request := &fasthttp.Request{}
		request.SetRequestURI("http://" + address + "/x")
		reply, err := client.SendFresh(address, request, time.Second)
		c.Assert(err, qt.IsNil)
		_, err = reply.Body()
		c.Assert(err, qt.IsNil)
	}
	time.Sleep(2 * time.Second)
	left := runtime.NumGoroutine() - before
	c.Check(left < requests/2, qt.IsTrue, qt.Commentf("%d goroutines", left))
}

// answeringTarget answers each request with "struck".
func answeringTarget(tb testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("struck") }}
	go func() { _ = server.Serve(l) }()
	tb.Cleanup(func() { _ = server.Shutdown() })
	return l.Addr().String()
}

// BenchmarkSend compares a kept connection with one for each request.
func BenchmarkSend(b *testing.B) {
	address := answeringTarget(b)
	client := NewClient(time.Second)
	for _, bb := range []struct {
		name string
		send func(string, *fasthttp.Request, time.Duration) (*Reply, error)
	}{{"kept", client.Send}, {"own", client.SendFresh}} {
		b.Run(bb.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request := &fasthttp.Request{}
				request.SetRequestURI("http://" + address + "/x")
				reply, err := bb.send(address, request, time.Second)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := reply.Body(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
