package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
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

// errSpoiled is the error of an answer that is not the target's own.
var errSpoiled = errors.New("the answer is unsigned or encoded")

// segment is the part of a stream that one target serves.
type segment struct {
	lease *balance.Lease
	ctx   context.Context
	// end ends the segment for a reason.
	end    context.CancelCauseFunc
	res    *upstream.Response
	info   platform.Answer
	events *eventReader
	// second decides on a second request; nil if there is to be none.
	second *secondWatch
}

// newSegment returns a segment that is not open yet; its end must be called.
func newSegment(ctx context.Context, lease *balance.Lease) *segment {
	s := &segment{lease: lease}
	s.ctx, s.end = context.WithCancelCause(ctx)
	return s
}

// serveStream serves a request that is answered by a stream of events. A
// resumable stream continues at another target when one fails.
func (x *exchange) serveStream(ctx context.Context) {
	defer x.dropStandby()
	var next *segment
	for {
		if next == nil {
			lease, why := x.place(ctx, false, (*exchange).acquireLease)
			if lease == nil {
				x.endUnplacedStream(ctx, why)
				return
			}
			next = newSegment(ctx, lease)
		}
		ended, reason, err := x.serveSegment(ctx, next)
		if ended {
			return
		}
		if next = x.takeStandby(); next == nil && !x.reserveRetry(ctx) {
			if x.hasResponseBegun {
				x.abortStream(ctx, err)
			}
			x.refuse(reason, retryDelay(minRetryDelay, maxRetryDelay))
			return
		}
		if x.hasResponseBegun {
			x.gateway.metrics.streamsResumed.Inc()
			event.AnswerResumed.Log(x.gateway.log, "id", x.client.AttemptID, "after", x.lastEventID, "cause", x.causeText())
		}
	}
}

// endUnplacedStream ends a stream for which there is no target.
func (x *exchange) endUnplacedStream(ctx context.Context, why unplaced) {
	if !x.hasResponseBegun {
		x.refuseUnplaced(ctx, why)
		return
	}
	err := errors.New("no target to resume the stream")
	if why.reason != "" {
		err = fmt.Errorf("the stream is not resumed: %s", why.reason)
	}
	x.abortStream(ctx, err)
}

// abortStream closes the client's connection in the middle of a stream.
func (x *exchange) abortStream(ctx context.Context, err error) {
	if x.hasClientLeft() {
		x.finish(0, string(refusal.Cancelled))
		x.breakOff()
	}
	x.abort(errors.Join(err, ctx.Err()))
}

// openSegment sends the request to the segment's target and reads the header of the answer.
// If the target does not answer it, the segment has ended for the returned reason.
func (x *exchange) openSegment(ctx context.Context, s *segment) (refusal.Reason, error) {
	res, info, err := x.send(s.ctx, s.lease)
	if err != nil {
		x.endCause = context.Cause(s.ctx)
		err = errors.Join(err, x.endCause)
		return x.sendFailed(ctx, s.lease, err), err
	}
	if info.NotRun {
		x.targetRefused(s.lease, res, info)
		return refusal.Full, errors.New("the target refused the request")
	}
	x.attempts++
	x.mayHaveRun = true
	s.res, s.info, s.events = res, info, newEventReader(res.Body)
	return "", nil
}

// serveSegment opens a segment, unless a standby has, and forwards its events to the
// client. It reports whether the request has ended; if not, it returns the reason
// and the error of the failed attempt.
func (x *exchange) serveSegment(ctx context.Context, s *segment) (bool, refusal.Reason, error) {
	defer s.end(nil)
	watch := x.watchStall(ctx, s)
	defer watch.stop()
	if s.res == nil {
		s.second = x.watchSecond(s.lease, func(r *secondRequest) bool {
			return x.isMovable() && watch.openStandby(errSecondFaster, r.acquirer(), 0)
		})
		defer s.second.stop()
		if reason, err := x.openSegment(ctx, s); err != nil {
			return false, reason, err
		}
	}
	if s.res.StatusCode != http.StatusOK || !x.hasEvents(s.res) {
		return x.forwardNonStream(s.lease, s.res)
	}
	if !s.info.Signed || s.info.Encoded {
		return false, refusal.AnswerLost, x.segmentFailed(s, errSpoiled)
	}
	err := x.forwardEvents(s, watch)
	if err == nil {
		now := time.Now()
		s.res.MarkBodyRead()
		s.res.Close(now)
		s.lease.Done(balance.Answered, 0, now)
		x.recordProof()
		x.finish(http.StatusOK, "")
		return true, "", nil
	}
	err = x.segmentFailed(s, err)
	if ctx.Err() != nil {
		return false, x.deadlineReason(), err
	}
	return false, refusal.AnswerLost, err
}

// segmentFailed closes a segment whose stream is not whole, and returns the error with what
// ended the segment, if this entry did.
func (x *exchange) segmentFailed(s *segment, err error) error {
	s.res.Close(time.Now())
	x.endCause = context.Cause(s.ctx)
	err = errors.Join(err, x.endCause)
	x.targetFailed(s.lease, err)
	return err
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
func (x *exchange) forwardEvents(s *segment, watch *stallWatch) error {
	controller := http.NewResponseController(x.writer)
	lastEventAt := time.Time{}
	for {
		e, id, err := s.events.next()
		if err == io.EOF {
			if !x.claimEvent("") {
				return errOvertaken
			}
			// Without any event, the response has not begun yet: the client
			// resumed the stream after its last event.
			x.beginResponse(s.res, time.Now())
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
		if !s.events.isEmpty {
			if !x.claimEvent(id) {
				return errOvertaken
			}
			watch.eventArrived()
			if lastEventAt.IsZero() {
				s.second.answered(now)
			}
			x.attemptActiveAt = now
			if x.attemptEvents++; x.attemptEvents == provenEvents {
				x.recordProof()
			}
			x.recordEvent(s.lease, lastEventAt, now)
			lastEventAt = now
		}
		x.beginResponse(s.res, now)
		if _, err := x.writer.Write(e); err != nil {
			return err
		}
		if err := controller.Flush(); err != nil {
			return err
		}
		if s.lease.IsSlowingGroup(now) && watch.moveFromSlow(now) {
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
	x.mu.Lock()
	x.hasResponseBegun = true
	x.mu.Unlock()
	x.firstByteAt = now
	x.gateway.metrics.firstByteTime.UpdateDuration(x.began)
}
