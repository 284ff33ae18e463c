package gateway

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/coordination/hedge"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/routing"
)

// suspectCheckInterval is the time between two checks whether the target of a first attempt
// has become suspect or suspended. It is short against the 450 ms after which a group counts
// as stalled.
const suspectCheckInterval = 50 * time.Millisecond

// errSecondFaster ends a first attempt.
var errSecondFaster = errors.New("the answer to a second request came first")

// secondWatch decides, at most once, whether a first attempt that is slow gets a second
// request. A nil pointer stands for an attempt that gets none.
type secondWatch struct {
	exchange *exchange
	lease    *balance.Lease
	class    hedge.Class
	sentAt   time.Time
	// send sends the second request and reports whether its answer came first.
	send func(*secondRequest) bool
	// delay is the time after which the attempt counts as slow; 0 if it is not known.
	delay time.Duration
	// wasSuspect is set if the target was suspect before, so that the attempt is a probe.
	wasSuspect bool

	mu     sync.Mutex
	timer  *time.Timer
	slowAt time.Time
	isOver bool
}

// secondRequest is a second request that is being sent. Its fields are used by one
// goroutine.
type secondRequest struct {
	watch *secondWatch
	cause string
	// hasShare is set once it is taken from the share.
	hasShare bool
	isSent   bool
	// reason is why it is not sent, if the decisions do not allow it.
	reason hedge.Reason
}

// watchSecond starts to watch the first attempt of a request. It returns nil if that may get
// no second request.
func (x *exchange) watchSecond(lease *balance.Lease, send func(*secondRequest) bool) *secondWatch {
	g := x.gateway
	if g.hedges == nil || !x.route.IsRepeatable() || x.route.MaxTargets < 2 || len(x.tried) > 0 {
		return nil
	}
	now := time.Now()
	w := &secondWatch{exchange: x, lease: lease, sentAt: now, send: send, wasSuspect: lease.IsTargetSuspect(now)}
	size := x.client.PromptTokens
	if size <= 0 {
		size = len(x.body)
	}
	w.class = hedge.ClassOf(x.route.Kind == routing.Stream, size)
	delay, isKnown := g.hedges.delay(x.service, w.class, now)
	if !isKnown {
		g.hedges.countNotSent(hedge.NoTimes)
	}
	w.delay, w.slowAt = delay, now.Add(delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	// The timer first gets a duration that never passes, because its function uses it.
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(w.untilCheck(now))
	return w
}

// untilCheck returns the time until the next check.
func (w *secondWatch) untilCheck(now time.Time) time.Duration {
	if w.delay == 0 {
		return suspectCheckInterval
	}
	return max(min(w.slowAt.Sub(now), suspectCheckInterval), time.Millisecond)
}

// check sends a second request if the first attempt is slow or its target has become
// suspect.
func (w *secondWatch) check() {
	now := time.Now()
	w.mu.Lock()
	if w.isOver {
		w.mu.Unlock()
		return
	}
	cause := w.cause(now)
	if cause == "" {
		w.timer.Reset(w.untilCheck(now))
		w.mu.Unlock()
		return
	}
	w.isOver = true
	w.mu.Unlock()
	s := &secondRequest{watch: w, cause: cause}
	if w.send(s) {
		w.recordOvertaken(time.Now())
	}
	s.finish(time.Now())
}

// cause returns why a second request is due, or an empty text.
func (w *secondWatch) cause(now time.Time) string {
	x := w.exchange
	x.mu.Lock()
	isSent := len(x.tried) > 0
	x.mu.Unlock()
	switch {
	case !isSent:
		return ""
	case x.gateway.pauses.HasPaused(w.slowAt.Add(-w.delay), now):
		// The answer may have arrived without having been read.
		w.slowAt = now.Add(w.delay)
		return ""
	case w.delay > 0 && !now.Before(w.slowAt):
		return "slow"
	case !w.wasSuspect && w.lease.IsTargetSuspect(now):
		return "suspect"
	}
	return ""
}

// stop ends the watch. A second request that is being sent goes on.
func (w *secondWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isOver = true
	w.timer.Stop()
}

// answered ends the watch and records the time of the answer or of the first event.
func (w *secondWatch) answered(now time.Time) {
	if w == nil {
		return
	}
	w.stop()
	w.recordTime(now)
}

func (w *secondWatch) recordTime(now time.Time) {
	x := w.exchange
	if !x.gateway.pauses.HasPaused(w.sentAt, now) {
		x.gateway.hedges.recordTime(x.service, w.class, now.Sub(w.sentAt), now)
	}
}

// recordOvertaken records that the answer to the second request came first.
func (w *secondWatch) recordOvertaken(now time.Time) {
	x := w.exchange
	w.recordTime(now)
	w.lease.RecordOvertaken(now.Sub(w.sentAt), now)
	x.gateway.hedges.won.Inc()
	event.SecondRequestWon.Log(x.gateway.log, "id", x.client.AttemptID, "overtaken", w.lease.Target().ID,
		"after-ms", now.Sub(w.sentAt).Milliseconds())
}

// acquirer returns a function that reserves a slot for the second request.
func (s *secondRequest) acquirer() acquireFunc {
	return func(x *exchange, _ context.Context, now time.Time) (*balance.Lease, balance.Verdict) {
		return s.acquire(x, now)
	}
}

// acquire reserves a slot for the second request and takes it from the share. x is the state
// of the second request.
func (s *secondRequest) acquire(x *exchange, now time.Time) (*balance.Lease, balance.Verdict) {
	h := x.gateway.hedges
	x.second = s
	if !s.hasShare {
		if s.reason = h.check(x.service, now); s.reason != "" {
			return nil, balance.Full
		}
	}
	r := x.balanceRequest()
	r.AvoidedGroup, r.SoundOnly = s.watch.lease.Target().Group, true
	lease, verdict := x.gateway.fleet.Pick(r, now)
	if lease == nil {
		s.reason = hedge.NoTarget
		return nil, verdict
	}
	if !s.hasShare {
		if !h.spend(x.service, now) {
			s.reason = hedge.ShareUsed
			lease.Done(balance.Abandoned, 0, now)
			return nil, balance.Full
		}
		s.hasShare = true
	}
	return lease, verdict
}

// recordSent records that the second request is sent to a target.
func (s *secondRequest) recordSent(lease *balance.Lease) {
	if s == nil {
		return
	}
	s.isSent = true
	x := s.watch.exchange
	x.gateway.hedges.sent.Inc()
	event.SecondRequestSent.Log(x.gateway.log, "id", x.client.AttemptID, "target", lease.Target().ID,
		"first", s.watch.lease.Target().ID, "cause", s.cause, "after-ms", time.Since(s.watch.sentAt).Milliseconds(),
		"delay-ms", s.watch.delay.Milliseconds())
}

// finish counts a second request that was not sent, and returns it to the share.
func (s *secondRequest) finish(now time.Time) {
	if s.isSent {
		return
	}
	x := s.watch.exchange
	if s.hasShare {
		x.gateway.hedges.giveBack(x.service, now)
	}
	if s.reason == "" {
		s.reason = hedge.NotAllowed
	}
	x.gateway.hedges.countNotSent(s.reason)
}
