package gateway

import (
	"net/http"
	"strconv"
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
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
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

// TestTargetThatAsksForAPause has a target refuse each request with a Retry-After while
// it is busy, and counts what reaches it later than half a second after that.
func TestTargetThatAsksForAPause(t *testing.T) {
	const (
		settle      = 500 * time.Millisecond
		maxArrivals = 2
	)
	tests := []struct {
		name       string
		route      route
		retryAfter string
		pause      time.Duration
		runs       bool
	}{
		{"an order", order, "2", 2 * time.Second, false},
		{"a repeatable request", status, "1.5", 1500 * time.Millisecond, false},
		{"a stream", draft, "2", 2 * time.Second, false},
		{"a failure that does not say whether it ran", status, "2", 2 * time.Second, true},
		{"no number", order, "soon", 0, false},
		{"a negative number", order, "-3", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			var isBusy atomic.Bool
			target := &standin.Target{ID: "busy"}
			target.Handler = func(w http.ResponseWriter, r *http.Request) {
				switch {
				case isBusy.Load():
					w.Header().Set("Retry-After", tt.retryAfter)
					if !tt.runs {
						w.Header().Set("Not-Executed", "1")
					}
					w.WriteHeader(http.StatusServiceUnavailable)
				case tt.route.kind == "streaming":
					standin.Events(3, time.Millisecond)(w, r)
				}
			}
			env.addTarget(target, "busy", tt.route.service)
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			env.c.Assert(env.do(env.request(tt.route, "a-0", "")).status, qt.Equals, http.StatusOK)
			isBusy.Store(true)
			env.do(env.request(tt.route, "a-1", ""))
			asked := time.Now()
			isBusy.Store(false)
			if tt.pause == 0 {
				time.Sleep(150 * time.Millisecond) // the suspension after any refusal
				env.c.Check(env.do(env.request(tt.route, "a-2", "")).status, qt.Equals, http.StatusOK)
				return
			}
			time.Sleep(settle)
			count := len(target.Requests())
			for time.Since(asked) < tt.pause-100*time.Millisecond {
				sent := time.Now()
				got := env.do(env.request(tt.route, "a-3", ""))
				took := time.Since(sent)
				env.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
				env.c.Check(took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %s", took))
				retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				env.c.Check(err, qt.IsNil)
				env.c.Check(sent.Add(time.Duration(retryAfter*float64(time.Second))).Sub(asked) >= tt.pause-50*time.Millisecond, qt.IsTrue, qt.Commentf("Retry-After %v", retryAfter))
				time.Sleep(20 * time.Millisecond)
			}
			env.c.Check(len(target.Requests())-count <= maxArrivals, qt.IsTrue, qt.Commentf("%d arrivals", len(target.Requests())-count))
			time.Sleep(tt.pause - time.Since(asked) + 20*time.Millisecond)
			env.c.Check(env.do(env.request(tt.route, "a-4", "")).status, qt.Equals, http.StatusOK)
		})
	}
}
