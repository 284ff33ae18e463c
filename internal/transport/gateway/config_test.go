package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// configPropagation is how long after its acknowledgement a version of the
// configuration may not be in force yet.
const configPropagation = 2 * time.Second

// droppedStatuses are the statuses of a route that is dropped: an entry whose
// configuration was not confirmed just now can't tell it from one that was added.
var droppedStatuses = []int{http.StatusNotFound, http.StatusServiceUnavailable}

// TestInvalidConfigurationIsNotApplied stores objects that describe no configuration.
// The last valid one must stay in force and confirmed, and the next valid one must be
// applied.
func TestInvalidConfigurationIsNotApplied(t *testing.T) {
	const (
		service = `"services":[{"name":"bells"}]`
		valid   = `{"name":"r","host":"guild.example","pathPrefix":"/order/","routeKind":"idempotent","service":"bells","timeoutMs":900}`
	)
	tests := []struct{ name, object string }{
		{"no object", `null`},
		{"a text", `"routes"`},
		{"an empty object", `{}`},
		{"no version", `{"routes":[` + valid + `],` + service + `}`},
		{"a version that is a text", `{"version":"99","routes":[` + valid + `],` + service + `}`},
		{"a time-out that is a text", `{"version":99,"routes":[` + strings.Replace(valid, "900", `"900"`, 1) + `],` + service + `}`},
		{"a negative time-out", `{"version":99,"routes":[` + strings.Replace(valid, "900", "-1", 1) + `],` + service + `}`},
		{"no routes", `{"version":99,` + service + `}`},
		{"a route without a host", `{"version":99,"routes":[` + strings.Replace(valid, `"guild.example"`, `""`, 1) + `],` + service + `}`},
		{"a prefix without a slash", `{"version":99,"routes":[` + strings.Replace(valid, "/order/", "order", 1) + `],` + service + `}`},
		{"a route to an unknown service", `{"version":99,"routes":[` + valid + `],"services":[]}`},
		{"a route to no service", `{"version":99,"routes":[` + strings.Replace(valid, `"service":"bells",`, "", 1) + `],` + service + `}`},
		{"two routes of one prefix", `{"version":99,"routes":[` + valid + `,` + valid + `],` + service + `}`},
		{"a key of two accounts", `{"version":99,"routes":[` + valid + `],` + service + `,"tenants":[{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}]}`},
	}
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	env.eventually("the target serves", func() bool { return env.do(env.request(order, "a-0", "strike")).status == 200 })
	version := env.gateway.follower.Table().Version()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			env.store.Put("config", "main", json.RawMessage(tt.object))
			for end := time.Now().Add(env.gateway.limits().ConfirmationLifetime / 7); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				c.Assert(env.do(env.request(order, "a-1", "strike")).status, qt.Equals, 200)
				c.Assert(env.gateway.isReady(), qt.IsTrue)
			}
			c.Check(env.gateway.follower.Table().Version(), qt.Equals, version)
		})
	}
	env.configure(testKey, order, status)
	time.Sleep(configPropagation)
	env.c.Check(droppedStatuses, qt.Contains, env.do(env.request(draft, "a-2", "")).status)
}

// TestValidVersionBeforeAnInvalidOne has an entry learn of two versions at once, of
// which the later is invalid, with and without the store's history.
func TestValidVersionBeforeAnInvalidOne(t *testing.T) {
	tests := []struct {
		name        string
		dropHistory bool
		// isKnown is whether the entry learns that the key was removed.
		isKnown bool
	}{
		{"both are known", false, true},
		{"the valid one is unknown", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
			env.eventually("the target serves", func() bool { return env.do(env.request(order, "a-0", "strike")).status == 200 })
			env.store.SetFailureStatus(http.StatusServiceUnavailable)
			time.Sleep(100 * time.Millisecond)
			env.configure("another-key", order)
			env.store.Put("config", "main", json.RawMessage(`{"version":"99"}`))
			if tt.dropHistory {
				env.store.DropHistory()
			}
			env.store.SetFailureStatus(0)
			time.Sleep(env.settings.Load().Bounds.RevocationTimeout)
			isTold := false
			for end := time.Now().Add(configPropagation); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				status := env.do(env.request(order, "a-1", "strike")).status
				env.c.Assert([]int{401, 503}, qt.Contains, status)
				isTold = isTold || status == 401
			}
			env.c.Check(isTold || !tt.isKnown, qt.IsTrue)
		})
	}
}

// TestLastRouteIsDropped has the operator remove all routes, and add one again.
func TestLastRouteIsDropped(t *testing.T) {
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	env.eventually("the target serves", func() bool { return env.do(env.request(order, "a-0", "strike")).status == 200 })
	env.configure(testKey)
	time.Sleep(configPropagation)
	env.c.Check(droppedStatuses, qt.Contains, env.do(env.request(order, "a-1", "strike")).status)
	env.configure(testKey, status)
	time.Sleep(configPropagation)
	env.c.Check(env.do(env.request(status, "a-2", "")).status, qt.Equals, 200)
}

// TestTimeoutOfANewVersion lowers the time-out of a route whose target never answers.
func TestTimeoutOfANewVersion(t *testing.T) {
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0", Handler: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}, "t-0", "bells")
	shorter := status
	shorter.timeoutMs = 300
	env.configure(testKey, shorter)
	time.Sleep(configPropagation)
	began := time.Now()
	env.c.Check(env.do(env.request(status, "a-1", "")).status, qt.Equals, 504)
	env.c.Check(time.Since(began) < 800*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
}

// TestAddedRouteOfABigConfiguration adds a route to a configuration of a megabyte.
func TestAddedRouteOfABigConfiguration(t *testing.T) {
	env := newTestEnv(t)
	env.addTarget(&standin.Target{ID: "t-0"}, "t-0", "bells")
	const routeCount = 4000
	routes := []route{order}
	for n := range routeCount {
		r := status
		r.name += "-" + strings.Repeat("x", 20) + strconv.Itoa(n)
		routes = append(routes, r)
	}
	env.configure(testKey, routes...)
	time.Sleep(configPropagation)
	r := env.do(env.request(routes[routeCount], "a-1", ""))
	env.c.Check(r.status, qt.Equals, 200, qt.Commentf("%s", r.body))
}
