package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// TestTargetThatAnnouncesLeavingGetsNoRequests has a target say in an answer that it is
// leaving, while the store lists it as serving.
func TestTargetThatAnnouncesLeavingGetsNoRequests(t *testing.T) {
	refuse := func(w http.ResponseWriter) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	tests := []struct {
		name   string
		route  route
		status int
		answer func(w http.ResponseWriter, r *http.Request)
	}{
		{"an answer", status, 200, nil},
		{"a failure", order, 500, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		{"a refusal", order, 503, func(w http.ResponseWriter, _ *http.Request) { refuse(w) }},
		{"a stream", draft, 200, standin.Events(3, time.Millisecond)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			var isLeaving atomic.Bool
			target := &standin.Target{ID: "leaving"}
			target.Handler = func(w http.ResponseWriter, r *http.Request) {
				if isLeaving.Load() {
					w.Header().Set("Server-Leaving", "1")
				}
				if tt.answer != nil {
					tt.answer(w, r)
				}
			}
			url := env.addTarget(target, "leaving", tt.route.service)
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets()) == 1 })
			env.do(env.request(tt.route, "a-0", ""))
			isLeaving.Store(true)
			time.Sleep(150 * time.Millisecond) // the suspension after a refusal
			got := env.do(env.request(tt.route, "a-1", ""))
			env.c.Check(got.status, qt.Equals, tt.status)
			count := len(target.Requests())
			for range 3 {
				env.putTarget("leaving", tt.route.service, url, "serving")
				time.Sleep(200 * time.Millisecond)
				env.c.Check(env.do(env.request(tt.route, "a-2", "")).status, qt.Equals, 503)
			}
			env.c.Check(target.Requests(), qt.HasLen, count)
		})
	}
}
