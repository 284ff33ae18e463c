package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// raw is an answer with a body of its own length.
func raw(status int, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: a-1\r\nServer-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
}

func TestPlainRequests(t *testing.T) {
	const notRun = "Not-Executed: 1\r\n"
	tests := []struct {
		name   string
		route  route
		answer string
		// status and body are what the client gets; sends how many targets
		// saw the request.
		status int
		body   string
		sends  int
	}{
		{"order, answered", order, raw(200, "", "struck"), 200, "struck", 1},
		{"order, the answer's connection breaks", order, "", 502, "connection-lost\n", 1},
		{"order, the answer is cut", order, "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nServer-Signature: s\r\nContent-Length: 9\r\n\r\nstr", 502, "answer-lost\n", 1},
		{"order, bytes that are no answer", order, "\x00\x01garbage\r\n\r\n", 502, "connection-lost\n", 1},
		{"order, an answer without a signature", order, "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 6\r\n\r\nstruck", 502, "answer-lost\n", 1},
		{"order, another request's answer", order, "HTTP/1.1 200 OK\r\nAttempt-Id: a-0\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nno", 502, "connection-lost\n", 1},
		{"order, another request's answer first", order, "HTTP/1.1 200 OK\r\nAttempt-Id: a-0\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nno" + raw(200, "", "struck"), 200, "struck", 1},
		{"order, the target is full", order, raw(503, notRun, ""), 503, "full\n", 1},
		{"order, the target's own failure", order, raw(500, "", "broken"), 500, "broken", 1},
		{"order, 503 without a promise may have run", order, raw(503, "", ""), 502, "connection-lost\n", 1},
		{"status, the answer's connection breaks", status, "", 200, "ok", 2},
		{"status, the target is full", status, raw(503, notRun, ""), 200, "ok", 2},
		{"status, the target's own failure", status, raw(500, "", "broken"), 200, "ok", 2},
		{"status, an answer that ends with its connection", status, "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nServer-Signature: s\r\n\r\nring", 200, "ring", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t)
			var asked atomic.Bool
			var targets []*standin.Target
			for n := range 2 {
				target := &standin.Target{ID: fmt.Sprintf("t-%d", n)}
				target.Handler = func(rw http.ResponseWriter, r *http.Request) {
					switch {
					case asked.Swap(true):
						_, _ = rw.Write([]byte("ok"))
					case tt.answer == "":
						standin.Reset(rw, r)
					default:
						standin.Raw(tt.answer)(rw, r)
					}
				}
				w.addTargetAs(target, target.ID, "bells")
				targets = append(targets, target)
			}
			w.eventually("targets are known", func() bool { return len(w.gateway.fleet.Targets()) == 2 })
			got := w.do(w.request(tt.route, "a-1", "strike"))
			c.Check(got.status, qt.Equals, tt.status)
			c.Check(got.body, qt.Equals, tt.body)
			c.Check(got.broken, qt.IsFalse)
			c.Check(len(targets[0].Requests())+len(targets[1].Requests()), qt.Equals, tt.sends)
		})
	}
}

func TestRequestReachesTheTargetUnchanged(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	target := &standin.Target{ID: "t-0"}
	w.addTargetAs(target, target.ID, "bells")
	w.eventually("target is known", func() bool { return len(w.gateway.fleet.Targets()) == 1 })
	q := w.request(order, "a-1", "strike")
	q.Header.Set("Tenant", "somebody-else")
	q.Header.Set("X-Own", "kept")
	q.Header.Set("Connection", "X-Hop")
	q.Header.Set("X-Hop", "one connection only")
	c.Assert(w.do(q).status, qt.Equals, 200)
	seen := target.Requests()[0]
	c.Check(seen.Method+" "+seen.URI+" "+seen.Host, qt.Equals, "POST /order/x%2Fy?q=1 guild.example")
	c.Check(seen.Header.Get("X-Own"), qt.Equals, "kept")
	c.Check(seen.Header.Get("X-Hop"), qt.Equals, "")
	c.Check(seen.Header.Get("Authorization"), qt.Equals, "")
	c.Check(seen.Header.Get("Tenant"), qt.Equals, "guild")
	c.Check(seen.Header.Get("Expected-Instance"), qt.Equals, "t-0")
	c.Check(seen.Header.Get("Deadline-Ms"), qt.Not(qt.Equals), "4000")
}

func TestMayNotPass(t *testing.T) {
	tests := []struct {
		name   string
		change func(q *http.Request)
		status int
	}{
		{"unknown host", func(q *http.Request) { q.Host = "other.example" }, 404},
		{"unknown path", func(q *http.Request) { q.URL.Path, q.URL.RawPath = "/none/", "" }, 404},
		{"no key", func(q *http.Request) { q.Header.Del("Authorization") }, 401},
		{"unknown key", func(q *http.Request) { q.Header.Set("Authorization", "Token none") }, 401},
		{"body over the limit", func(q *http.Request) {
			q.ContentLength = 2 << 20
			q.Body = http.NoBody
			q.Body = newFiller(2 << 20)
		}, 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t)
			target := &standin.Target{ID: "t-0"}
			w.addTargetAs(target, target.ID, "bells")
			w.eventually("target is known", func() bool { return len(w.gateway.fleet.Targets()) == 1 })
			q := w.request(order, "a-1", "strike")
			tt.change(q)
			c.Check(w.do(q).status, qt.Equals, tt.status)
			c.Check(target.Requests(), qt.HasLen, 0)
		})
	}
}

// TestStoreChanges has each change that the store tells of hold for the next
// request.
func TestStoreChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world, url string)
		status int
	}{
		{"the key is taken away", func(w *world, _ string) { w.configure("another-key", order) }, 401},
		{"the route is dropped", func(w *world, _ string) { w.configure(testKey, status) }, 404},
		{"the target is leaving", func(w *world, url string) { w.list("t-0", "bells", url, "draining") }, 503},
		{"the target is gone", func(w *world, _ string) { w.store.Delete("servers", "t-0") }, 503},
		{"the data centre is out", func(w *world, _ string) { w.store.Put("evacuations", "east", map[string]any{}) }, 503},
		{"the history is gone meanwhile", func(w *world, _ string) {
			w.store.Delete("servers", "t-0")
			w.store.DropHistory()
		}, 503},
		{"an entry that cannot be read takes the target's place", func(w *world, _ string) { w.store.Put("servers", "t-0", 7) }, 503},
		{"the address belongs to another target", func(w *world, url string) {
			w.list("t-9", "bells", url, "serving")
			w.store.Delete("servers", "t-0")
		}, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t)
			target := &standin.Target{ID: "t-0"}
			url := w.addTargetAs(target, target.ID, "bells")
			w.eventually("the target serves", func() bool { return w.do(w.request(order, "a-0", "strike")).status == 200 })
			before := len(target.Requests())
			tt.change(w, url)
			w.eventually("the change holds", func() bool { return w.do(w.request(order, "a-1", "strike")).status == tt.status })
			ran := len(target.Requests())
			c.Check(w.do(w.request(order, "a-2", "strike")).status, qt.Equals, tt.status)
			c.Check(len(target.Requests()), qt.Equals, ran, qt.Commentf("%d before the change", before))
		})
	}
}

// TestKeysNeedProof has the store fall silent: an entry must stop serving keys
// before they may have been taken away for longer than the bound.
func TestKeysNeedProof(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	target := &standin.Target{ID: "t-0"}
	w.addTargetAs(target, target.ID, "bells")
	w.eventually("the target serves", func() bool { return w.do(w.request(order, "a-0", "strike")).status == 200 })
	w.store.SetFailureStatus(http.StatusServiceUnavailable)
	silent := time.Now()
	w.eventually("keys are refused", func() bool { return w.do(w.request(order, "a-1", "strike")).status == 503 })
	c.Check(time.Since(silent) < w.gateway.bounds.Load().RevocationTimeout, qt.IsTrue)
	c.Check(w.gateway.isReady(), qt.IsFalse)
	w.store.SetFailureStatus(0)
	w.eventually("the target serves again", func() bool { return w.do(w.request(order, "a-2", "strike")).status == 200 })
}

// TestUnprovenEntrySendsCallersElsewhere has the store fall silent for an entry
// whose callers keep their connections: the platform sends new connections to
// other entries, so that a refusal has to end the connection.
func TestUnprovenEntrySendsCallersElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.addTargetAs(&standin.Target{ID: "t-0"}, "t-0", "bells")
	w.eventually("the target serves", func() bool { return w.do(w.request(order, "a-0", "strike")).status == 200 })
	w.store.SetFailureStatus(http.StatusServiceUnavailable)
	var refused reply
	w.eventually("keys are refused", func() bool {
		refused = w.do(w.request(order, "a-1", "strike"))
		return refused.status == 503
	})
	c.Check(refused.broken, qt.IsFalse)
	c.Check(refused.closes, qt.IsTrue)
	w.store.SetFailureStatus(0)
	w.eventually("the target serves again", func() bool {
		served := w.do(w.request(order, "a-3", "strike"))
		return served.status == 200 && !served.closes
	})
}

// TestReload has the settings file change and break while the entry runs.
func TestReload(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	changed := *w.settings.Load()
	changed.Bounds.RevocationTimeout = 9 * time.Second
	w.settings.Store(&changed)
	w.gateway.Reload()
	c.Check(w.gateway.bounds.Load().RevocationTimeout, qt.Equals, 9*time.Second)
	w.settings.Store(nil)
	w.gateway.Reload()
	c.Check(w.gateway.bounds.Load().RevocationTimeout, qt.Equals, 9*time.Second)
	c.Check(w.gateway.isReady(), qt.IsTrue)
}
