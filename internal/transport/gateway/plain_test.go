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

// rawAnswer returns a signed HTTP answer with the right Content-Length.
func rawAnswer(status int, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: a-1\r\nServer-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
}

// TestPlainRequests checks which failures of a target are retried at another
// target. A request of a non-idempotent route must not run twice.
func TestPlainRequests(t *testing.T) {
	const notRun = "Not-Executed: 1\r\n"
	tests := []struct {
		name   string
		route  route
		answer string
		// status and body are what the client gets; attempts is the number of
		// requests that targets received.
		status   int
		body     string
		attempts int
	}{
		{"order, answered", order, rawAnswer(200, "", "struck"), 200, "struck", 1},
		{"order, the answer's connection breaks", order, "", 502, "connection-lost\n", 1},
		{"order, the answer is incomplete", order, "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nServer-Signature: s\r\nContent-Length: 9\r\n\r\nstr", 502, "answer-lost\n", 1},
		{"order, bytes that are not HTTP", order, "\x00\x01garbage\r\n\r\n", 502, "connection-lost\n", 1},
		{"order, an answer without a signature", order, "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 6\r\n\r\nstruck", 502, "answer-lost\n", 1},
		{"order, another request's answer", order, "HTTP/1.1 200 OK\r\nAttempt-Id: a-0\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nno", 502, "connection-lost\n", 1},
		{"order, another request's answer first", order, "HTTP/1.1 200 OK\r\nAttempt-Id: a-0\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nno" + rawAnswer(200, "", "struck"), 200, "struck", 1},
		{"order, the target is full", order, rawAnswer(503, notRun, ""), 503, "full\n", 1},
		{"order, the target answers 500", order, rawAnswer(500, "", "broken"), 500, "broken", 1},
		{"order, 503 without Not-Executed may have run", order, rawAnswer(503, "", ""), 502, "connection-lost\n", 1},
		{"status, the answer's connection breaks", status, "", 200, "ok", 2},
		{"status, the target is full", status, rawAnswer(503, notRun, ""), 200, "ok", 2},
		{"status, the target answers 500", status, rawAnswer(500, "", "broken"), 200, "ok", 2},
		{"status, an answer that ends with its connection", status, "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nServer-Signature: s\r\n\r\nring", 200, "ring", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			env := newTestEnv(t)
			var hasAnswered atomic.Bool
			var targets []*standin.Target
			for n := range 2 {
				target := &standin.Target{ID: fmt.Sprintf("t-%d", n)}
				target.Handler = func(rw http.ResponseWriter, r *http.Request) {
					switch {
					case hasAnswered.Swap(true):
						_, _ = rw.Write([]byte("ok"))
					case tt.answer == "":
						standin.Reset(rw, r)
					default:
						standin.Raw(tt.answer)(rw, r)
					}
				}
				env.addTarget(target, target.ID, "bells")
				targets = append(targets, target)
			}
			env.eventually("targets are known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 2 })
			got := env.do(env.request(tt.route, "a-1", "strike"))
			c.Check(got.status, qt.Equals, tt.status)
			c.Check(got.body, qt.Equals, tt.body)
			c.Check(got.broken, qt.IsFalse)
			c.Check(len(targets[0].Requests())+len(targets[1].Requests()), qt.Equals, tt.attempts)
		})
	}
}

// TestRequestReachesTheTargetUnchanged checks that the request is forwarded as it
// came, except for hop-by-hop headers, credentials and the platform's own headers.
func TestRequestReachesTheTargetUnchanged(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t)
	target := &standin.Target{ID: "t-0"}
	env.addTarget(target, target.ID, "bells")
	env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
	q := env.request(order, "a-1", "strike")
	q.Header.Set("Tenant", "somebody-else")
	q.Header.Set("X-Own", "kept")
	q.Header.Set("Connection", "X-Hop")
	q.Header.Set("X-Hop", "one connection only")
	c.Assert(env.do(q).status, qt.Equals, 200)
	seen := target.Requests()[0]
	c.Check(seen.Method+" "+seen.URI+" "+seen.Host, qt.Equals, "POST /order/x%2Fy?q=1 guild.example")
	c.Check(seen.Header.Get("X-Own"), qt.Equals, "kept")
	c.Check(seen.Header.Get("X-Hop"), qt.Equals, "")
	c.Check(seen.Header.Get("Authorization"), qt.Equals, "")
	c.Check(seen.Header.Get("Tenant"), qt.Equals, "guild")
	c.Check(seen.Header.Get("Expected-Instance"), qt.Equals, "t-0")
	c.Check(seen.Header.Get("Deadline-Ms"), qt.Not(qt.Equals), "4000")
}

// TestInvalidRequestsAreRefused checks that invalid requests are refused and reach
// no target.
func TestInvalidRequestsAreRefused(t *testing.T) {
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
			q.Body = newSizedBody(2 << 20)
		}, 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			env := newTestEnv(t)
			target := &standin.Target{ID: "t-0"}
			env.addTarget(target, target.ID, "bells")
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			q := env.request(order, "a-1", "strike")
			tt.change(q)
			c.Check(env.do(q).status, qt.Equals, tt.status)
			c.Check(target.Requests(), qt.HasLen, 0)
		})
	}
}

// TestStoreChanges checks that a change in the store, once it has taken effect for
// one request, applies to the next request as well.
func TestStoreChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(env *testEnv, url string)
		status int
	}{
		{"the key is removed", func(env *testEnv, _ string) { env.configure("another-key", order) }, 401},
		{"the route is removed", func(env *testEnv, _ string) { env.configure(testKey, status) }, 404},
		{"the target is leaving", func(env *testEnv, url string) { env.putTarget("t-0", "bells", url, "draining") }, 503},
		{"the target is removed", func(env *testEnv, _ string) { env.store.Delete("servers", "t-0") }, 503},
		{"the data centre is out of service", func(env *testEnv, _ string) { env.store.Put("evacuations", "east", map[string]any{}) }, 503},
		{"the store discards its history at the same time", func(env *testEnv, _ string) {
			env.store.Delete("servers", "t-0")
			env.store.DropHistory()
		}, 503},
		{"an invalid object replaces the target", func(env *testEnv, _ string) { env.store.Put("servers", "t-0", 7) }, 503},
		{"the address belongs to another target", func(env *testEnv, url string) {
			env.putTarget("t-9", "bells", url, "serving")
			env.store.Delete("servers", "t-0")
		}, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			env := newTestEnv(t)
			target := &standin.Target{ID: "t-0"}
			url := env.addTarget(target, target.ID, "bells")
			env.eventually("the target serves", func() bool { return env.do(env.request(order, "a-0", "strike")).status == 200 })
			before := len(target.Requests())
			tt.change(env, url)
			env.eventually("the change takes effect", func() bool { return env.do(env.request(order, "a-1", "strike")).status == tt.status })
			after := len(target.Requests())
			c.Check(env.do(env.request(order, "a-2", "strike")).status, qt.Equals, tt.status)
			c.Check(len(target.Requests()), qt.Equals, after, qt.Commentf("%d before the change", before))
		})
	}
}

// TestKeysNeedConfirmation makes the store fail. The entry must stop serving keys
// within the revocation timeout, since any key may have been removed meanwhile.
func TestKeysNeedConfirmation(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t)
	target := &standin.Target{ID: "t-0"}
	env.addTarget(target, target.ID, "bells")
	env.eventually("the target serves", func() bool { return env.do(env.request(order, "a-0", "strike")).status == 200 })
	env.store.SetFailureStatus(http.StatusServiceUnavailable)
	failedAt := time.Now()
	env.eventually("keys are refused", func() bool { return env.do(env.request(order, "a-1", "strike")).status == 503 })
	c.Check(time.Since(failedAt) < env.gateway.bounds.Load().RevocationTimeout, qt.IsTrue)
	c.Check(env.gateway.isReady(), qt.IsFalse)
	env.store.SetFailureStatus(0)
	env.eventually("the target serves again", func() bool { return env.do(env.request(order, "a-2", "strike")).status == 200 })
}

// TestUnconfirmedEntryClosesConnections makes the store fail for an entry whose
// clients keep their connections open. The platform directs only new connections
// to other entries, so a refusal must close the connection.
func TestUnconfirmedEntryClosesConnections(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	env.eventually("the target serves", func() bool { return env.do(env.request(order, "a-0", "strike")).status == 200 })
	env.store.SetFailureStatus(http.StatusServiceUnavailable)
	var refused reply
	env.eventually("keys are refused", func() bool {
		refused = env.do(env.request(order, "a-1", "strike"))
		return refused.status == 503
	})
	c.Check(refused.broken, qt.IsFalse)
	c.Check(refused.closes, qt.IsTrue)
	env.store.SetFailureStatus(0)
	env.eventually("the target serves again", func() bool {
		served := env.do(env.request(order, "a-3", "strike"))
		return served.status == 200 && !served.closes
	})
}

// TestReload changes the settings file and then breaks it while the entry runs.
func TestReload(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t)
	changed := *env.settings.Load()
	changed.Bounds.RevocationTimeout = 9 * time.Second
	env.settings.Store(&changed)
	env.gateway.Reload()
	c.Check(env.gateway.bounds.Load().RevocationTimeout, qt.Equals, 9*time.Second)
	env.settings.Store(nil)
	env.gateway.Reload()
	c.Check(env.gateway.bounds.Load().RevocationTimeout, qt.Equals, 9*time.Second)
	c.Check(env.gateway.isReady(), qt.IsTrue)
}

// TestSecondTargetIsChecked has a target answer with a failure after the store has
// stopped confirming the configuration. The request must not go to a second target:
// its key may have been removed.
func TestSecondTargetIsChecked(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t)
	release := make(chan struct{})
	var runs atomic.Int32
	for n := range 2 {
		target := &standin.Target{ID: fmt.Sprintf("t-%d", n)}
		target.Handler = func(rw http.ResponseWriter, _ *http.Request) {
			if runs.Add(1) == 1 {
				<-release
			}
			rw.WriteHeader(http.StatusInternalServerError)
		}
		env.addTarget(target, target.ID, "bells")
	}
	env.eventually("targets are known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 2 })
	patient := route{name: "patient", kind: "idempotent", service: "bells", maxTargets: 2, timeoutMs: 20_000}
	env.configure(testKey, patient)
	env.eventually("the route is in force", func() bool { return env.gateway.follower.Table().Version() == 2 })
	q := env.request(patient, "a-1", "{}")
	q.Header.Set("Deadline-Ms", "20000")
	replies := make(chan reply, 1)
	go func() { replies <- env.do(q) }()
	env.eventually("a target runs the request", func() bool { return runs.Load() == 1 })
	env.storeBlocked.Store(true)
	env.eventually("the configuration is not confirmed", func() bool { return !env.gateway.isConfirmed() })
	close(release)
	got := <-replies
	c.Check(got.status, qt.Equals, 500)
	c.Check(runs.Load(), qt.Equals, int32(1))
}
