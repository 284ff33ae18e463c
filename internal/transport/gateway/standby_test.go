package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/platform/standin"
)

// pausingStream streams events up to last: those after the client's last one up to
// beforePause, and the others after a pause.
type pausingStream struct {
	beforePause, last int
	pause             time.Duration
	// then replaces what follows the pause.
	then http.HandlerFunc
}

func (p pausingStream) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	// Without a Last-Event-Id the stream begins at its first event.
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, _ = io.WriteString(w, eventText(from+1, p.beforePause))
	_ = http.NewResponseController(w).Flush()
	select {
	case <-time.After(p.pause):
	case <-r.Context().Done():
		return
	}
	if p.then != nil {
		p.then(w, r)
		return
	}
	_, _ = io.WriteString(w, eventText(max(from, p.beforePause)+1, p.last))
}

const (
	// eventsBefore and eventsLast are the IDs of the last event before the first target falls
	// silent and of the last event of the stream.
	eventsBefore, eventsLast = 3, 6
	// shortSilence ends before clients give up, and longSilence after that.
	shortSilence, longSilence = 1300 * time.Millisecond, 3 * time.Second
)

// silentStreamCase is a stream whose first target falls silent.
type silentStreamCase struct {
	name string
	// first and second are the first and the second target's streams; without a second
	// one, there is one target.
	first, second http.HandlerFunc
	noBudget      bool
	// noSlot is set if the second target has no free slot.
	noSlot bool
	// cancelled says which of the two attempts this entry ends, except that -1 stands for
	// an attempt that it may end.
	cancelled [2]int
}

// silentStreamCases are the cases of TestSilentStreamEndsOnlyOnceAnotherTargetGoesOn.
func silentStreamCases() []silentStreamCase {
	breakOff := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	encoded := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		standin.Events(eventsLast, 0)(w, r)
	}
	failure := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	repeat := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("Last-Event-Id")
		standin.Events(eventsLast, 0)(w, r)
	}
	whole := pausingStream{last: eventsLast}.serve
	return []silentStreamCase{
		{"the silent target goes on first", pausingStream{eventsBefore, eventsLast, shortSilence, nil}.serve, pausingStream{0, eventsLast, longSilence, nil}.serve, false, false, [2]int{0, 1}},
		{"the other target goes on first", pausingStream{eventsBefore, eventsLast, longSilence, nil}.serve, whole, false, false, [2]int{1, 0}},
		{"before the first event", pausingStream{0, eventsLast, longSilence, nil}.serve, whole, false, false, [2]int{1, 0}},
		{"the other target refuses", pausingStream{eventsBefore, eventsLast, shortSilence, nil}.serve, refuse, false, false, [2]int{0, 0}},
		{"the other target breaks off", pausingStream{eventsBefore, eventsLast, shortSilence, nil}.serve, breakOff, false, false, [2]int{0, 0}},
		{"the other target spoils its answer", pausingStream{eventsBefore, eventsLast, shortSilence, nil}.serve, encoded, false, false, [2]int{0, -1}},
		{"the other target fails", pausingStream{eventsBefore, eventsLast, shortSilence, nil}.serve, failure, false, false, [2]int{0, 0}},
		{"the other target begins anew", pausingStream{eventsBefore, eventsLast, shortSilence, nil}.serve, repeat, false, false, [2]int{0, -1}},
		{"no retry budget", pausingStream{eventsBefore, eventsLast, shortSilence, nil}.serve, whole, true, false, [2]int{0, 0}},
		{"no free slot", pausingStream{eventsBefore, eventsLast, shortSilence, nil}.serve, whole, false, true, [2]int{0, 0}},
		{"no other target", pausingStream{eventsBefore, eventsLast, shortSilence, nil}.serve, nil, false, false, [2]int{0, 0}},
		{"all events but no end", pausingStream{eventsLast, eventsLast, longSilence, nil}.serve, whole, false, false, [2]int{1, 0}},
		{"the silent target breaks off meanwhile", pausingStream{eventsBefore, eventsLast, shortSilence, breakOff}.serve, pausingStream{0, eventsLast, longSilence / 2, nil}.serve, false, false, [2]int{0, 0}},
	}
}

// TestSilentStreamEndsOnlyOnceAnotherTargetGoesOn has the first target of a stream fall
// silent.
func TestSilentStreamEndsOnlyOnceAnotherTargetGoesOn(t *testing.T) {
	for _, tt := range silentStreamCases() {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(t)
		})
	}
}

// run requests the stream and checks that it is whole.
func (tt silentStreamCase) run(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t)
	if tt.noBudget {
		s := *env.settings.Load()
		s.Bounds.RetryRatio, s.Bounds.RetryAllowance = 0, 0
		env.settings.Store(&s)
		env.gateway.Reload()
	}
	first, second := &standin.Target{ID: "t-0", Handler: tt.first}, &standin.Target{ID: "t-1", Handler: tt.second}
	env.addTarget(first, first.ID, "drafts")
	env.eventually("the first target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
	addSecond := func() {
		env.store.Put("servers", second.ID, map[string]any{
			"service": "drafts", "address": env.serve(second), "zone": "east", "slots": 1, "state": "serving",
		})
	}
	if tt.noSlot {
		addSecond()
		env.eventually("the second target's slot is taken", func() bool {
			lease, _ := env.gateway.fleet.Pick(balance.Request{Service: "drafts", Stream: true, Tried: []string{first.ID}}, time.Now())
			return lease != nil
		})
	}
	answered := make(chan reply, 1)
	go func() { answered <- env.do(env.request(draft, "a-1", "{}")) }()
	env.eventually("the first target has the request", func() bool { return len(first.Requests()) == 1 })
	if tt.second != nil && !tt.noSlot {
		addSecond()
	}
	got := <-answered
	if got.broken {
		t.Log(env.log.buffer.String())
	}
	c.Check(got.status, qt.Equals, http.StatusOK)
	c.Check(got.broken, qt.IsFalse)
	c.Check(got.body, qt.Equals, eventText(1, eventsLast))
	c.Check(len(first.Requests()), qt.Equals, 1)
	isStarted := tt.second != nil && !tt.noBudget && !tt.noSlot
	c.Check(len(second.Requests()) == 1, qt.Equals, isStarted)
	env.eventually("attempts that are not needed have ended", func() bool {
		return first.CancelledCount() == tt.cancelled[0] && (tt.cancelled[1] < 0 || second.CancelledCount() == tt.cancelled[1])
	})
}
