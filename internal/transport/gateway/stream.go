package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/upstream"
	"bluebellcrank/platform"
)

// stream serves a request that is answered by events, at one target after
// another if it may be resumed.
func (x *exchange) stream(ctx context.Context) {
	for {
		now := time.Now()
		l, v := x.place(ctx, now)
		if l == nil {
			if x.begun {
				x.cut(ctx, errors.New("no target to go on at"))
			}
			x.unplaced(ctx, v)
			return
		}
		if !x.allowed(l) {
			l.Done(balance.Abandoned, 0, now)
			if x.begun {
				x.cut(ctx, errors.New("the key or the target is no longer good"))
			}
			x.refuse(refusal.PlatformDown, retryDelay(retrySoonest, retryLatest))
			return
		}
		ended, reason, err := x.part(ctx, l)
		if ended {
			return
		}
		if !x.another(ctx) {
			if x.begun {
				x.cut(ctx, err)
			}
			x.refuse(reason, retryDelay(retrySoonest, retryLatest))
			return
		}
		if x.begun {
			x.gateway.metrics.resumes.Inc()
			event.AnswerResumed.Log(x.gateway.log, "id", x.client.AttemptID, "after", x.lastEvent)
		}
	}
}

// cut ends a stream that has begun.
func (x *exchange) cut(ctx context.Context, err error) {
	if x.request.Context().Err() != nil {
		x.ended(0, string(refusal.Cancelled))
		panic(http.ErrAbortHandler)
	}
	x.abort(errors.Join(err, ctx.Err()))
}

// part takes events from one target. It reports whether the request is done.
func (x *exchange) part(ctx context.Context, l *balance.Lease) (bool, refusal.Reason, error) {
	own, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	watch := x.watch(l, stop)
	defer watch.Stop()
	res, said, err := x.send(own, l)
	if err != nil {
		err = errors.Join(err, context.Cause(own))
		return false, x.sendFailed(ctx, l, err), err
	}
	if said.NotRun {
		x.turnedAway(l, res, said)
		return false, refusal.Full, errors.New("turned away")
	}
	x.sends++
	x.uncertain = true
	if res.StatusCode != http.StatusOK {
		return x.notStream(l, res)
	}
	if !said.Signed || said.Encoded {
		res.Close(time.Now())
		err := errors.New("the answer is not the target's")
		x.failed(l, err)
		return false, refusal.AnswerLost, err
	}
	err = x.events(l, res, watch)
	now := time.Now()
	if err == nil {
		res.MarkBodyRead()
		res.Close(now)
		l.Done(balance.Answered, 0, now)
		x.ended(http.StatusOK, "")
		return true, "", nil
	}
	res.Close(now)
	x.failed(l, errors.Join(err, context.Cause(own)))
	if ctx.Err() != nil {
		return false, x.late(), err
	}
	return false, refusal.AnswerLost, err
}

const (
	// silence is how long a stream waits for an event before it asks whether
	// its rank group stands still; callers give up on a gap of 2 s.
	silence = 700 * time.Millisecond
	// silenceAgain is the time between two such questions.
	silenceAgain = 150 * time.Millisecond
)

var (
	errStalled = errors.New("the target's group stands still")
	errSlow    = errors.New("the target slows its group")
	errSilent  = errors.New("the target sends nothing while its group goes on")
)

// watch ends a part whose rank or rank group stands still, if the stream may go
// on at another target.
func (x *exchange) watch(l *balance.Lease, stop context.CancelCauseFunc) *time.Timer {
	movable := x.route.Resumable && len(x.tried)+1 < x.route.MaxTargets
	var timer *time.Timer
	timer = time.AfterFunc(math.MaxInt64, func() {
		switch now := time.Now(); {
		case movable && l.IsGroupStalled(now):
			stop(errStalled)
			return
		case movable && l.IsSilent(now):
			stop(errSilent)
			return
		}
		timer.Reset(silenceAgain)
	})
	timer.Reset(silence)
	return timer
}

// notStream passes on an answer that is no stream, unless another target may
// still serve the request.
func (x *exchange) notStream(l *balance.Lease, res *upstream.Response) (bool, refusal.Reason, error) {
	a, err := x.readAnswer(res)
	now := time.Now()
	res.Close(now)
	if err != nil {
		x.failed(l, err)
		return false, refusal.AnswerLost, err
	}
	l.Done(balance.Answered, 0, now)
	if x.begun || a.status >= http.StatusInternalServerError && x.route.Resumable && x.sends < x.route.MaxTargets {
		return false, refusal.AnswerLost, errors.New("the target failed")
	}
	a.rest = nil
	x.deliver(a)
	return true, "", nil
}

// events passes events on as they come, until the stream's end.
func (x *exchange) events(l *balance.Lease, res *upstream.Response, watch *time.Timer) error {
	flusher := http.NewResponseController(x.writer)
	events := newEventReader(res.Body)
	movable := x.route.Resumable && len(x.tried) < x.route.MaxTargets
	last := time.Time{}
	for {
		e, id, err := events.next()
		if err == io.EOF {
			// A stream that was resumed behind its last event has no others.
			x.begin(res, time.Now())
			return nil
		}
		if err != nil {
			return err
		}
		now := time.Now()
		watch.Reset(silence)
		if last.IsZero() {
			l.RecordEvent(0, now)
		} else {
			pause := now.Sub(last)
			l.RecordEvent(pause, now)
			x.gateway.metrics.pauses.Update(pause.Seconds())
			x.longestPause = max(x.longestPause, pause)
		}
		last = now
		x.begin(res, now)
		if _, err := x.writer.Write(e); err != nil {
			return err
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
		if id != "" {
			x.lastEvent = id
		}
		if movable && l.IsSlowingGroup(now) {
			return errSlow
		}
	}
}

// begin sends the header of the first target's answer once.
func (x *exchange) begin(res *upstream.Response, now time.Time) {
	if x.begun {
		return
	}
	platform.CopyAnswerHeader(x.writer.Header(), res.Header)
	x.writer.WriteHeader(res.StatusCode)
	x.begun, x.firstByte = true, now
	x.gateway.metrics.firsts.UpdateDuration(x.began)
}
