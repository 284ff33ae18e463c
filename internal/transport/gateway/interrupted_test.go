package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/platform/standin"
)

// TestInterruptedAnswerIsExplained checks that the log line of an interrupted answer says
// what ended it and what was missing for another attempt.
func TestInterruptedAnswerIsExplained(t *testing.T) {
	// endAfterEvents streams some events and then waits until wait returns.
	endAfterEvents := func(wait func(r *http.Request)) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			standin.Events(eventsBefore, 0)(w, r)
			wait(r)
			panic(http.ErrAbortHandler)
		}
	}
	untilCut := func(r *http.Request) { <-r.Context().Done() }
	tests := []struct {
		name     string
		deadline time.Duration
		wait     func(r *http.Request)
		// stop drains the entry meanwhile.
		stop           bool
		cause, noRetry string
	}{
		{name: "the target broke off", deadline: 4 * time.Second, wait: func(*http.Request) {}, noRetry: "permission to repeat"},
		{name: "the deadline has passed", deadline: 300 * time.Millisecond, wait: untilCut, cause: errDeadline.Error(), noRetry: "time"},
		{name: "the grace period is over", deadline: 4 * time.Second, wait: untilCut, stop: true, cause: errGraceOver.Error(), noRetry: "time"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			env := newTestEnv(t)
			s := *env.settings.Load()
			s.Bounds.GracePeriod = time.Second
			env.settings.Store(&s)
			env.gateway.Reload()
			env.addTarget(&standin.Target{ID: "t-0", Handler: endAfterEvents(tt.wait)}, "t-0", "drafts")
			env.eventually("the target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			var stopping sync.WaitGroup
			q := env.request(single, "a-1", "{}")
			q.Header.Set("Deadline-Ms", fmt.Sprint(tt.deadline.Milliseconds()))
			if tt.stop {
				stopping.Go(func() {
					time.Sleep(100 * time.Millisecond)
					env.gateway.Drain()
				})
			}
			got := env.do(q)
			stopping.Wait()
			c.Check(got.broken, qt.IsTrue)
			lines := env.logged(event.AnswerInterrupted)
			c.Assert(len(lines) > 0, qt.IsTrue)
			// A stop logs one line of its own before those of the requests.
			line := lines[len(lines)-1]
			c.Check(line["id"], qt.Equals, "a-1")
			c.Check(line["target"], qt.Equals, "t-0")
			c.Check(line["cause"], qt.Equals, tt.cause)
			c.Check(line["no-retry"], qt.Equals, tt.noRetry)
			c.Check(line["events"], qt.Equals, float64(eventsBefore))
			c.Check(line["stop-ms"].(float64) > 0, qt.Equals, tt.stop)
		})
	}
}
