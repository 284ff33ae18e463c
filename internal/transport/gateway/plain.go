package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/routing"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/internal/transport/upstream"
	"bluebellcrank/platform"
)

// maxBufferedBytes is the size below which an answer is read completely before any
// of it is sent to the client, so that an incomplete answer can be requested again.
const maxBufferedBytes = 256 << 10

// answer is a target's answer to a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// remainder holds the bytes after body if the answer has maxBufferedBytes or
	// more; nil otherwise.
	remainder *upstream.Response
}

// isFailure reports whether the target failed to serve the request, or its answer is not to
// be forwarded.
func (a *answer) isFailure() bool {
	return a.status >= http.StatusInternalServerError || impliesNotRun(a.status)
}

// close closes the connection of an answer that has a remainder.
func (a *answer) close() {
	if a.remainder != nil {
		a.remainder.Close(time.Now())
	}
}

// servePlain serves a request that has a single answer.
func (x *exchange) servePlain(ctx context.Context) {
	defer x.dropPlainSecond()
	for {
		lease, why := x.place(ctx, false, (*exchange).acquireLease)
		if lease == nil {
			x.refuseUnplaced(ctx, why)
			return
		}
		a, retry, reason := x.tryWithSecond(ctx, lease)
		if a != nil {
			x.forwardAnswer(a)
			return
		}
		if !retry || !x.reserveRetry(ctx) {
			x.refuse(reason, retryDelay(minRetryDelay, maxRetryDelay))
			return
		}
	}
}

// unplaced is why a request is not sent to a target.
type unplaced struct {
	// reason is empty if no target was found, as verdict explains.
	reason  refusal.Reason
	verdict balance.Verdict
	// wait is the time after which the client is told to retry.
	wait time.Duration
}

// acquireFunc reserves a slot of a target for a request.
type acquireFunc func(x *exchange, ctx context.Context, now time.Time) (*balance.Lease, balance.Verdict)

// place finds a target to which the request must be sent at once. For a retry it deducts
// the attempt from the retry budget once a target is found.
func (x *exchange) place(ctx context.Context, isRetry bool, acquire acquireFunc) (*balance.Lease, unplaced) {
	for {
		now := time.Now()
		// After a pause of the process, the timer of the context may be late.
		if ctx.Err() != nil || !now.Before(x.deadline) {
			x.noRetry = "time"
			return nil, unplaced{reason: x.endReason()}
		}
		lease, verdict := acquire(x, ctx, now)
		if lease == nil {
			x.noRetry = "target"
			return nil, unplaced{verdict: verdict}
		}
		if !lease.IsUsable() {
			lease.Done(balance.Abandoned, 0, now)
			continue
		}
		why := unplaced{reason: x.checkKey(), wait: retryDelay(minRetryDelay, maxRetryDelay)}
		if why.reason == "" && isRetry && !x.reserveRetry(ctx) {
			why.reason = refusal.Full
		}
		if why.reason == "" {
			// Last, since what the quarantine admits must be sent.
			if why.wait = x.quarantineWait(); why.wait <= 0 {
				return lease, unplaced{}
			}
			why.reason = refusal.Quarantined
		}
		lease.Done(balance.Abandoned, 0, now)
		return nil, why
	}
}

// refuseUnplaced ends a request that is not sent to a target.
func (x *exchange) refuseUnplaced(ctx context.Context, why unplaced) {
	switch {
	case why.reason != "":
		x.refuse(why.reason, why.wait)
	case ctx.Err() != nil:
		x.refuse(x.endReason(), 0)
	case why.verdict == balance.NoTarget:
		x.refuse(refusal.NoTarget, x.noTargetDelay(time.Now()))
	default:
		x.gateway.metrics.countCapacityRefusal(x.priority, x.isRepeated)
		x.refuse(refusal.Full, x.fullDelay(time.Now()))
	}
}

// fullDelay returns the time after which a client whose request found no target with
// capacity is told to retry.
func (x *exchange) fullDelay(now time.Time) time.Duration {
	if wait := x.gateway.fleet.WaitForTarget(x.service, now); wait > 0 && wait < balance.Never {
		return wait + retryDelay(0, maxRetryDelay)
	}
	if soonest, latest, lasts := x.gateway.recordOverload(x.service, x.deadline.Sub(now), now); lasts {
		return retryDelay(soonest, latest)
	}
	return retryDelay(minRetryDelay, maxRetryDelay)
}

// noTargetDelay returns the time after which a client whose request found no target is
// told to retry.
func (x *exchange) noTargetDelay(now time.Time) time.Duration {
	if x.gateway.fleet.WaitForTarget(x.service, now) > 0 {
		return x.fullDelay(now)
	}
	return retryDelay(x.gateway.recordOutage(x.service, now))
}

// hasClientLeft reports whether the client's connection has ended, other than by a time-out of
// this entry. The request is still answered: a client that has only shut down its sending side
// can't be told from one that has closed its connection.
func (x *exchange) hasClientLeft() bool {
	end := connectionEnd(x.request.Context())
	return end != "" && end != endedByTimeout
}

// endReason returns the reason for a request whose context has ended.
func (x *exchange) endReason() refusal.Reason {
	if x.hasClientLeft() {
		return refusal.Cancelled
	}
	return x.deadlineReason()
}

// deadlineReason returns the reason for a request whose deadline has passed. Full
// promises that the request has not run, so it is used only where no target may
// have run it.
func (x *exchange) deadlineReason() refusal.Reason {
	if x.mayHaveRun {
		return refusal.TimedOut
	}
	return refusal.Full
}

// maxUnreachableTargets is the number of targets tried for a request if none can
// be reached: each costs the client up to the connect timeout of a quarter of a
// second.
const maxUnreachableTargets = 3

// reserveRetry reports whether the request may be sent once more, and deducts the
// attempt from the retry budget. A request that has not reached any target uses
// none of the budget.
func (x *exchange) reserveRetry(ctx context.Context) bool {
	switch {
	case ctx.Err() != nil:
		x.noRetry = "time"
	case x.attempts >= x.route.MaxTargets:
		x.noRetry = "attempts"
	case x.mayHaveRun && !x.route.IsRepeatable():
		x.noRetry = "permission to repeat"
	case !x.reachedTarget:
		if len(x.tried) < maxUnreachableTargets {
			return true
		}
		x.noRetry = "reachable target"
	case !x.gateway.spendRetry(x.service, time.Now()):
		x.noRetry = "retry budget"
		event.RetryBudgetExhausted.Log(x.gateway.log, "id", x.client.AttemptID, "service", x.service)
	default:
		x.gateway.metrics.retries.Inc()
		return true
	}
	return false
}

// tryTarget sends the request once, and again after a 5xx answer if the route is
// idempotent. The boolean reports whether another target may succeed; the reason
// explains a nil answer.
func (x *exchange) tryTarget(ctx context.Context, lease *balance.Lease) (*answer, bool, refusal.Reason) {
	a, retry, reason := x.tryOnce(ctx, lease)
	if a != nil {
		a = x.retryFailure(ctx, a)
	}
	return a, retry, reason
}

// tryOnce sends the request once. Its results are those of tryTarget.
func (x *exchange) tryOnce(ctx context.Context, lease *balance.Lease) (*answer, bool, refusal.Reason) {
	began := time.Now()
	res, info, err := x.send(ctx, lease)
	if err != nil {
		x.endCause = context.Cause(ctx)
		return nil, true, x.sendFailed(ctx, lease, x.withEndOfSecond(err))
	}
	if info.NotRun {
		x.targetRefused(lease, res, info)
		return nil, true, refusal.Full
	}
	x.attempts++
	x.mayHaveRun = true
	a, err := x.readAnswer(res)
	now := time.Now()
	if err != nil || a.status < 300 && !info.Signed || info.Encoded {
		x.endCause = context.Cause(ctx)
		res.Close(now)
		x.targetFailed(lease, x.withEndOfSecond(errors.Join(err, errors.New("the answer is incomplete, unsigned or encoded"))))
		return nil, true, refusal.AnswerLost
	}
	if a.remainder == nil {
		res.Close(now)
	}
	lease.Done(balance.Answered, now.Sub(began), now)
	x.recordProof()
	return a, false, ""
}

// retryFailure sends the request once more if the answer is a failure and the route is
// idempotent. It returns the better answer.
func (x *exchange) retryFailure(ctx context.Context, a *answer) *answer {
	if a.status >= http.StatusInternalServerError && x.route.Kind == routing.Idempotent && x.attempts < x.route.MaxTargets && a.remainder == nil {
		if better := x.tryAnotherTarget(ctx); better != nil {
			return better
		}
	}
	return a
}

// withEndOfSecond adds to the error of a plain attempt that this entry has ended it because
// of another one.
func (x *exchange) withEndOfSecond(err error) error {
	if errors.Is(x.endCause, errSecondFaster) || errors.Is(x.endCause, errNotNeeded) {
		return errors.Join(err, x.endCause)
	}
	return err
}

// tryAnotherTarget sends the request once more, after a target has answered with a
// failure. It returns nil if that brings no answer.
func (x *exchange) tryAnotherTarget(ctx context.Context) *answer {
	lease, _ := x.place(ctx, true, (*exchange).pickLease)
	if lease == nil {
		return nil
	}
	a, _, _ := x.tryTarget(ctx, lease)
	return a
}

// sendFailed ends the lease of an attempt that got no answer, and returns the
// reason.
func (x *exchange) sendFailed(ctx context.Context, lease *balance.Lease, err error) refusal.Reason {
	var s *upstream.SendError
	sent := !errors.As(err, &s) || s.Sent()
	if sent {
		x.attempts++
		x.reachedTarget, x.mayHaveRun = true, true
	}
	x.targetFailed(lease, err)
	switch {
	case ctx.Err() != nil:
		return x.deadlineReason()
	case sent:
		return refusal.ConnectionLost
	}
	return refusal.TargetDown
}

// targetFailed ends the lease of a target that gave no complete answer. A request
// that its client cancelled, or that moves to another target because the rank
// group is stalled or slowed down, does not count against the target, nor does a
// standby that is not needed any more, nor an attempt that a second request overtook, nor
// one that timed out while this process stood still, when an answer may have waited.
func (x *exchange) targetFailed(lease *balance.Lease, err error) {
	ended := x.recordEnd(lease, err)
	event.AttemptFailed.Log(x.gateway.log, "id", x.client.AttemptID, "target", lease.Target().ID,
		"error", err.Error(), "cause", x.causeText(), "may-have-run", x.mayHaveRun, "events", x.attemptEvents,
		"silent-ms", time.Since(x.attemptActiveAt).Milliseconds(), "target-ended", ended,
		"prompt-parts", strings.Join(x.client.PromptParts, ","), "keys", keyNames(x.suspect))
	if x.request.Context().Err() != nil || errors.Is(err, errStalled) || errors.Is(err, errSlow) || errors.Is(err, errNotNeeded) || errors.Is(err, errSecondFaster) ||
		isTimeout(err) && x.gateway.pauses.HasPaused(x.attemptActiveAt, time.Now()) {
		lease.Done(balance.Abandoned, 0, time.Now())
		return
	}
	x.gateway.pool.CloseIdle(lease.Target().Address)
	isSilentConn := errors.Is(err, errSilentConn)
	if isSilentConn || upstream.IsSilent(err) {
		if closed := x.gateway.pool.CloseUnused(x.attemptActiveAt); closed > 0 {
			event.SilentConnectionsClosed.Log(x.gateway.log, "id", x.client.AttemptID, "target", lease.Target().ID,
				"connections", closed, "silent-ms", time.Since(x.attemptActiveAt).Milliseconds())
		}
	}
	if isSilentConn {
		lease.Done(balance.Abandoned, 0, time.Now())
		return
	}
	lease.Done(balance.Failed, 0, time.Now())
}

// isTimeout reports whether an attempt was ended by a time limit of this entry.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// targetRefused ends the lease of a target that did not run the request.
func (x *exchange) targetRefused(lease *balance.Lease, res *upstream.Response, info platform.Answer) {
	event.TargetRefused.Log(x.gateway.log, "id", x.client.AttemptID, "target", lease.Target().ID, "status", res.StatusCode,
		"answers-id", info.AttemptID, "connection", res.Conn().Local(), "requests", res.Conn().Requests(),
		"after-ms", time.Since(x.attemptActiveAt).Milliseconds())
	res.DiscardBody()
	now := time.Now()
	res.Close(now)
	if info.WrongTarget {
		lease.Done(balance.Moved, 0, now)
		return
	}
	x.attempts++
	x.gateway.hedges.recordRefusal(x.service, now)
	if info.FaultyTarget != "" {
		lease.MarkGroupSuspect()
	}
	lease.Done(balance.Refused, 0, now)
}

// readAnswer reads the body of an answer, or its first maxBufferedBytes.
func (x *exchange) readAnswer(res *upstream.Response) (*answer, error) {
	a := &answer{status: res.StatusCode, header: res.Header}
	body, err := x.readBuffered(io.LimitReader(res.Body, maxBufferedBytes))
	if err != nil {
		return nil, err
	}
	a.body = body
	if len(body) == maxBufferedBytes {
		a.remainder = res
		return a, nil
	}
	res.MarkBodyRead()
	return a, nil
}

// impliesNotRun reports whether clients conclude from a status that the request did
// not run. An answer of a target with such a status is not forwarded, since it does
// not state that the request did not run. Answers that do, by a header or by the
// status 421, are handled by targetRefused.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardAnswer forwards a target's answer to the client and closes it.
func (x *exchange) forwardAnswer(a *answer) {
	defer a.close()
	if impliesNotRun(a.status) {
		x.refuse(refusal.ConnectionLost, 0)
		return
	}
	platform.CopyAnswerHeader(x.writer.Header(), a.header)
	x.hasResponseBegun, x.firstByteAt = true, time.Now()
	if a.remainder == nil {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.writer.WriteHeader(a.status)
	_, err := x.writer.Write(a.body)
	if a.remainder != nil {
		if copyErr := x.forwardRemainder(a); copyErr != nil {
			x.abort(copyErr)
		}
		a.remainder.MarkBodyRead()
	}
	if err != nil {
		x.finish(a.status, string(refusal.Cancelled))
		return
	}
	x.gateway.metrics.firstByteTime.UpdateDuration(x.began)
	x.finish(a.status, "")
}

// causeText returns why this entry ended the current attempt, or an empty text if it did
// not.
func (x *exchange) causeText() string {
	if x.endCause == nil {
		return ""
	}
	return x.endCause.Error()
}

// abort closes the client's connection, so that the client does not mistake an
// incomplete answer for a complete one.
func (x *exchange) abort(err error) {
	now := time.Now()
	event.AnswerInterrupted.Log(x.gateway.log, "id", x.client.AttemptID, "target", x.targetID, "error", err.Error(),
		"cause", x.causeText(), "no-retry", x.noRetry, "events", x.attemptEvents,
		"silent-ms", now.Sub(x.attemptActiveAt).Milliseconds(), "stop-ms", x.gateway.sinceStop(now).Milliseconds())
	x.finish(0, string(refusal.AnswerLost))
	x.breakOff()
}

// breakOff ends the handler and closes the client's connection, so that an answer that has begun
// does not look complete. HTTP/1.1 misses the last chunk then; HTTP/1.0 has none, so that the
// connection is reset.
func (x *exchange) breakOff() {
	if !x.request.ProtoAtLeast(1, 1) {
		process.ResetOnClose(connIn(x.request.Context()))
	}
	panic(http.ErrAbortHandler)
}
