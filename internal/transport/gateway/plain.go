package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/routing"
	"bluebellcrank/internal/transport/upstream"
	"bluebellcrank/platform"
)

// held is the largest answer that is read whole before any of it goes to the
// client, so that a broken one can be asked for again.
const held = 256 << 10

// answer is a target's whole answer to a plain request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// rest is what is behind the first bytes of a large answer.
	rest *upstream.Response
}

// plain serves a request that has one answer.
func (x *exchange) plain(ctx context.Context) {
	for {
		now := time.Now()
		l, v := x.place(ctx, now)
		if l == nil {
			x.unplaced(ctx, v)
			return
		}
		if !x.allowed(l) {
			l.Done(balance.Abandoned, 0, now)
			x.refuse(refusal.PlatformDown, retryDelay(retrySoonest, retryLatest))
			return
		}
		a, again, reason := x.try(ctx, l)
		if a != nil {
			x.deliver(a)
			return
		}
		if !again || !x.another(ctx) {
			x.refuse(reason, retryDelay(retrySoonest, retryLatest))
			return
		}
	}
}

// unplaced ends a request for which there is no target.
func (x *exchange) unplaced(ctx context.Context, v balance.Verdict) {
	switch {
	case x.request.Context().Err() != nil:
		x.ended(0, string(refusal.Cancelled))
	case ctx.Err() != nil:
		x.refuse(x.late(), 0)
	case v == balance.NoTarget:
		x.refuse(refusal.NoTarget, retryDelay(x.gateway.absent(x.service, time.Now())))
	default:
		x.refuse(refusal.Full, retryDelay(retrySoonest, retryLatest))
	}
}

// late is the reason at the end of the time: a request that never left is
// said not to have run.
func (x *exchange) late() refusal.Reason {
	if x.uncertain {
		return refusal.TimedOut
	}
	return refusal.Full
}

// dialsMost is how many targets are tried that cannot be reached: each costs
// a caller up to the time to connect, a quarter of a second.
const dialsMost = 3

// another reports whether the request may be sent once more. One that has not
// reached any target spends nothing of the common budget.
func (x *exchange) another(ctx context.Context) bool {
	if ctx.Err() != nil || x.sends >= x.route.MaxTargets {
		return false
	}
	if x.uncertain && !x.route.IsRepeatable() {
		return false
	}
	if !x.arrived {
		return len(x.tried) < dialsMost
	}
	if !x.gateway.spend(x.service, time.Now()) {
		event.RetryBudgetExhausted.Log(x.gateway.log, "id", x.client.AttemptID, "service", x.service)
		return false
	}
	x.gateway.metrics.repeats.Inc()
	return true
}

// try sends the request once. Again says that another target may do better.
func (x *exchange) try(ctx context.Context, l *balance.Lease) (*answer, bool, refusal.Reason) {
	began := time.Now()
	res, said, err := x.send(ctx, l)
	if err != nil {
		return nil, true, x.sendFailed(ctx, l, err)
	}
	if said.NotRun {
		x.turnedAway(l, res, said)
		return nil, true, refusal.Full
	}
	x.sends++
	x.uncertain = true
	a, err := x.readAnswer(res)
	now := time.Now()
	if err != nil || a.status < 300 && !said.Signed || said.Encoded {
		res.Close(now)
		x.failed(l, errors.Join(err, errors.New("the answer is not whole or not the target's")))
		return nil, true, refusal.AnswerLost
	}
	if a.rest == nil {
		res.Close(now)
	}
	l.Done(balance.Answered, now.Sub(began), now)
	if a.status >= 500 && x.route.Kind == routing.Idempotent && x.sends < x.route.MaxTargets && a.rest == nil {
		if x.another(ctx) {
			if l, _ := x.gateway.fleet.Pick(x.need(), now); l != nil {
				if better, _, _ := x.try(ctx, l); better != nil {
					return better, false, ""
				}
			}
		}
	}
	return a, false, ""
}

// sendFailed notes that no answer came.
func (x *exchange) sendFailed(ctx context.Context, l *balance.Lease, err error) refusal.Reason {
	var s *upstream.SendError
	sent := !errors.As(err, &s) || s.Sent()
	if sent {
		x.sends++
		x.arrived, x.uncertain = true, true
	}
	x.failed(l, err)
	switch {
	case ctx.Err() != nil:
		return x.late()
	case sent:
		return refusal.ConnectionLost
	}
	return refusal.TargetDown
}

// failed ends a lease whose target gave no whole answer; a request that was
// cut by its caller, or moved for the sake of its group, does not count
// against the target.
func (x *exchange) failed(l *balance.Lease, err error) {
	event.AttemptFailed.Log(x.gateway.log, "id", x.client.AttemptID, "target", l.Target().ID,
		"error", err.Error(), "may-have-run", x.uncertain)
	if x.request.Context().Err() != nil || errors.Is(err, errStalled) || errors.Is(err, errSlow) {
		l.Done(balance.Abandoned, 0, time.Now())
		return
	}
	x.gateway.pool.CloseIdle(l.Target().Address)
	l.Done(balance.Failed, 0, time.Now())
}

// turnedAway ends a lease whose target did not run the request.
func (x *exchange) turnedAway(l *balance.Lease, res *upstream.Response, said platform.Answer) {
	now := time.Now()
	if _, err := io.Copy(io.Discard, res.Body); err == nil {
		res.MarkBodyRead()
	}
	res.Close(now)
	if said.WrongTarget {
		l.Done(balance.Moved, 0, now)
		return
	}
	x.sends++
	if said.FaultyTarget != "" {
		l.MarkGroupSuspect()
	}
	l.Done(balance.Refused, 0, now)
}

// readAnswer reads the body, or the first part of a large one.
func (x *exchange) readAnswer(res *upstream.Response) (*answer, error) {
	a := &answer{status: res.StatusCode, header: res.Header}
	body, err := io.ReadAll(io.LimitReader(res.Body, held))
	if err != nil {
		return nil, err
	}
	a.body = body
	if len(body) == held {
		a.rest = res
		return a, nil
	}
	res.MarkBodyRead()
	return a, nil
}

// promises are the statuses by which an answer says that the request did not
// run; a target that does not say so itself is not passed on with them.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// deliver passes a target's answer on.
func (x *exchange) deliver(a *answer) {
	if promises(a.status) {
		x.refuse(refusal.ConnectionLost, 0)
		return
	}
	platform.CopyAnswerHeader(x.writer.Header(), a.header)
	x.begun, x.firstByte = true, time.Now()
	if a.rest == nil {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.writer.WriteHeader(a.status)
	_, err := x.writer.Write(a.body)
	if a.rest != nil {
		if _, copied := io.Copy(x.writer, a.rest.Body); copied != nil {
			a.rest.Close(time.Now())
			x.abort(copied)
		}
		a.rest.Close(time.Now())
	}
	if err != nil {
		x.ended(a.status, string(refusal.Cancelled))
		return
	}
	x.gateway.metrics.firsts.UpdateDuration(x.began)
	x.ended(a.status, "")
}

// abort ends the client's connection, so that an answer that is not whole
// does not look so.
func (x *exchange) abort(err error) {
	event.AnswerInterrupted.Log(x.gateway.log, "id", x.client.AttemptID, "error", err.Error())
	x.ended(0, string(refusal.AnswerLost))
	panic(http.ErrAbortHandler)
}
