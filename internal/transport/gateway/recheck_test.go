package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// TestKeyRemovedWhileTheBodyArrives removes a key and moves a route while the body of
// a request arrives.
func TestKeyRemovedWhileTheBodyArrives(t *testing.T) {
	env := newTestEnv(t)
	target := &standin.Target{ID: "t-0"}
	env.addTarget(target, "t-0", "bells")
	env.eventually("the target serves", func() bool { return env.do(env.request(status, "a-0", "")).status == 200 })
	served := len(target.Requests())
	q := env.request(status, "a-1", "")
	body := &pausedBody{resume: make(chan struct{})}
	q.Body, q.ContentLength = body, 1
	time.AfterFunc(100*time.Millisecond, func() {
		env.configure("another-key", status)
		env.eventually("the configuration is applied", func() bool { return env.gateway.follower.Table().Account(testKey) == nil })
		close(body.resume)
	})
	env.c.Check(env.do(q).status, qt.Equals, 401)
	env.c.Check(target.Requests(), qt.HasLen, served)
}

// TestKeyRemovedBeforeASecondAttempt removes a key while the first target of a request
// still runs it. The request must not be sent to a second target.
func TestKeyRemovedBeforeASecondAttempt(t *testing.T) {
	env := newTestEnv(t)
	var runs atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		env.configure("another-key", status)
		env.eventually("the configuration is applied", func() bool { return env.gateway.follower.Table().Account(testKey) == nil })
		standin.Reset(rw, r)
	}
	env.addTarget(&standin.Target{ID: "t-0", Handler: handler}, "t-0", "bells")
	env.addTarget(&standin.Target{ID: "t-1", Handler: handler}, "t-1", "bells")
	env.eventually("both targets are known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 2 })
	env.c.Check(env.do(env.request(status, "a-1", "")).status, qt.Equals, 502)
	env.c.Check(runs.Load(), qt.Equals, int32(1))
}

// pausedBody is a body of one byte that arrives once resume is closed.
type pausedBody struct {
	resume chan struct{}
	read   bool
}

// Read implements io.Reader.
func (b *pausedBody) Read(p []byte) (int, error) {
	<-b.resume
	if b.read || len(p) == 0 {
		return 0, io.EOF
	}
	b.read, p[0] = true, 'x'
	return 1, nil
}

// Close implements io.Closer.
func (b *pausedBody) Close() error { return nil }
