package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/upstream"
	"bluebellcrank/platform"
)

// serveStream serves a request that is answered by a stream of events. A
// resumable stream continues at another target when one fails.
func (x *exchange) serveStream(ctx context.Context) {
	for {
		now := time.Now()
		lease, verdict := x.acquireLease(ctx, now)
		if lease == nil {
			x.noRetry = "target"
			if x.hasResponseBegun {
				x.abortStream(ctx, errors.New("no target to resume the stream"))
			}
			x.refuseUnplaced(ctx, verdict)
			return
		}
		if !lease.IsUsable() {
			lease.Done(balance.Abandoned, 0, now)
			continue
		}
		if reason := x.checkKey(); reason != "" {
			lease.Done(balance.Abandoned, 0, now)
			if x.hasResponseBegun {
				x.abortStream(ctx, fmt.Errorf("the stream is not resumed: %s", reason))
			}
			x.refuse(reason, retryDelay(minRetryDelay, maxRetryDelay))
			return
		}
		if wait := x.quarantineWait(); wait > 0 {
			lease.Done(balance.Abandoned, 0, now)
			if x.hasResponseBegun {
				x.abortStream(ctx, fmt.Errorf("the stream is not resumed: %s", refusal.Quarantined))
			}
			x.refuse(refusal.Quarantined, wait)
			return
		}
		ended, reason, err := x.serveSegment(ctx, lease)
		if ended {
			return
		}
		if !x.reserveRetry(ctx) {
			if x.hasResponseBegun {
				x.abortStream(ctx, err)
			}
			x.refuse(reason, retryDelay(minRetryDelay, maxRetryDelay))
			return
		}
		if x.hasResponseBegun {
			x.gateway.metrics.streamsResumed.Inc()
			event.AnswerResumed.Log(x.gateway.log, "id", x.client.AttemptID, "after", x.lastEventID)
		}
	}
}

// abortStream closes the client's connection in the middle of a stream.
func (x *exchange) abortStream(ctx context.Context, err error) {
	if x.request.Context().Err() != nil {
		x.finish(0, string(refusal.Cancelled))
		panic(http.ErrAbortHandler)
	}
	x.abort(errors.Join(err, ctx.Err()))
}

// serveSegment sends the request to one target and forwards its events to the
// client. It reports whether the request has ended; if not, it returns the reason
// and the error of the failed attempt.
func (x *exchange) serveSegment(ctx context.Context, lease *balance.Lease) (bool, refusal.Reason, error) {
	segmentCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := x.watchStall(lease, cancel)
	defer stallTimer.Stop()
	res, info, err := x.send(segmentCtx, lease)
	if err != nil {
		x.endCause = context.Cause(segmentCtx)
		err = errors.Join(err, x.endCause)
		return false, x.sendFailed(ctx, lease, err), err
	}
	if info.NotRun {
		x.targetRefused(lease, res, info)
		return false, refusal.Full, errors.New("the target refused the request")
	}
	x.attempts++
	x.mayHaveRun = true
	if res.StatusCode != http.StatusOK || !x.hasEvents(res) {
		return x.forwardNonStream(lease, res)
	}
	if !info.Signed || info.Encoded {
		res.Close(time.Now())
		err := errors.New("the answer is unsigned or encoded")
		x.targetFailed(lease, err)
		return false, refusal.AnswerLost, err
	}
	err = x.forwardEvents(lease, res, stallTimer)
	now := time.Now()
	if err == nil {
		res.MarkBodyRead()
		res.Close(now)
		lease.Done(balance.Answered, 0, now)
		x.recordProof()
		x.finish(http.StatusOK, "")
		return true, "", nil
	}
	res.Close(now)
	x.endCause = context.Cause(segmentCtx)
	x.targetFailed(lease, errors.Join(err, x.endCause))
	if ctx.Err() != nil {
		return false, x.deadlineReason(), err
	}
	return false, refusal.AnswerLost, err
}

const (
	// stallCheckDelay is the time without an event after which a stream checks
	// whether its target is silent or its rank group stalled; clients abandon a
	// stream after a gap of 2 s.
	stallCheckDelay = 700 * time.Millisecond
	// stallCheckInterval is the time between two such checks.
	stallCheckInterval = 150 * time.Millisecond
)

var (
	errStalled = errors.New("the target's rank group is stalled")
	errSlow    = errors.New("the target slows its rank group down")
	errSilent  = errors.New("the target sends no events while its rank group does")
	// errSilentConn is the error of a connection that an end has lost track of.
	errSilentConn = errors.New("the connection brings no events while its target sends some on others")
)

// watchStall starts a timer that cancels a segment when its target is silent or
// its rank group stalled, if the stream may continue at another target.
func (x *exchange) watchStall(lease *balance.Lease, cancel context.CancelCauseFunc) *time.Timer {
	movable := x.route.Resumable && len(x.tried)+1 < x.route.MaxTargets
	// The timer first gets a duration that never passes, because its function
	// uses the variable that holds it.
	var timer *time.Timer
	timer = time.AfterFunc(math.MaxInt64, func() {
		switch now := time.Now(); {
		case movable && lease.CheckGroupStall(now):
			cancel(errStalled)
			return
		case movable && lease.IsSilent(now) && lease.IsTargetActive(now):
			cancel(errSilentConn)
			return
		case movable && lease.IsSilent(now):
			cancel(errSilent)
			return
		}
		timer.Reset(stallCheckInterval)
	})
	timer.Reset(stallCheckDelay)
	return timer
}

// hasEvents reports whether an answer is a stream of events. The type may be missing,
// but not where the stream goes on with one of another target.
func (x *exchange) hasEvents(res *upstream.Response) bool {
	kind, _, _ := strings.Cut(res.Header.Get("Content-Type"), ";")
	if kind == "" {
		return !x.hasResponseBegun
	}
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// forwardNonStream forwards an answer that is not a stream, unless the response to
// the client has begun or another target may still serve the request.
func (x *exchange) forwardNonStream(lease *balance.Lease, res *upstream.Response) (bool, refusal.Reason, error) {
	a, err := x.readAnswer(res)
	now := time.Now()
	if err != nil || a.remainder == nil {
		res.Close(now)
	}
	if err != nil {
		x.targetFailed(lease, err)
		return false, refusal.AnswerLost, err
	}
	lease.Done(balance.Answered, 0, now)
	if x.hasResponseBegun || a.status >= http.StatusInternalServerError && x.route.Resumable && x.attempts < x.route.MaxTargets {
		a.close()
		return false, refusal.AnswerLost, errors.New("the target did not answer with a stream")
	}
	x.forwardAnswer(a)
	return true, "", nil
}

// forwardEvents forwards events as they arrive, until the stream ends.
func (x *exchange) forwardEvents(lease *balance.Lease, res *upstream.Response, stallTimer *time.Timer) error {
	controller := http.NewResponseController(x.writer)
	events := newEventReader(res.Body)
	movable := x.route.Resumable && len(x.tried) < x.route.MaxTargets
	lastEventAt := time.Time{}
	for {
		e, id, err := events.next()
		if err == io.EOF {
			// Without any event, the response has not begun yet: the client
			// resumed the stream after its last event.
			x.beginResponse(res, time.Now())
			return nil
		}
		if err != nil {
			return err
		}
		if previous := cmp.Or(x.lastEventID, x.client.LastEventID); isRepeatedEvent(id, previous) {
			return fmt.Errorf("event %s follows event %s", id, previous)
		}
		now := time.Now()
		// A stalled target may still send comments that keep the connection open.
		if !events.isEmpty {
			stallTimer.Reset(stallCheckDelay)
			x.attemptActiveAt = now
			if x.attemptEvents++; x.attemptEvents == provenEvents {
				x.recordProof()
			}
			x.recordEvent(lease, lastEventAt, now)
			lastEventAt = now
		}
		x.beginResponse(res, now)
		if _, err := x.writer.Write(e); err != nil {
			return err
		}
		if err := controller.Flush(); err != nil {
			return err
		}
		if id != "" {
			x.lastEventID = id
		}
		if movable && lease.IsSlowingGroup(now) {
			return errSlow
		}
	}
}

// isRepeatedEvent reports whether an event's ID is not above the one before. IDs that are
// no numbers are not compared.
func isRepeatedEvent(id, previous string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseInt(previous, 10, 64)
	return err == nil && n <= last
}

// recordEvent records an event of a stream and the time since the previous one, if
// there is one and this process ran all the while.
func (x *exchange) recordEvent(lease *balance.Lease, previous, now time.Time) {
	if previous.IsZero() {
		lease.RecordEvent(0, now)
		return
	}
	gap := now.Sub(previous)
	if x.gateway.pauses.HasPaused(previous, now) {
		lease.RecordEvent(0, now)
	} else {
		lease.RecordEvent(gap, now)
	}
	x.gateway.metrics.eventGap.Update(gap.Seconds())
	x.longestGap = max(x.longestGap, gap)
}

// beginResponse sends the header of the target's answer to the client, unless an
// earlier segment has sent one.
func (x *exchange) beginResponse(res *upstream.Response, now time.Time) {
	if x.hasResponseBegun {
		return
	}
	platform.CopyAnswerHeader(x.writer.Header(), res.Header)
	x.writer.WriteHeader(res.StatusCode)
	x.hasResponseBegun, x.firstByteAt = true, now
	x.gateway.metrics.firstByteTime.UpdateDuration(x.began)
}
