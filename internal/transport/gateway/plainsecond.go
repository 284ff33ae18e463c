package gateway

import (
	"context"
	"sync"
	"time"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/refusal"
)

// plainSecond is the second request of a plain one, beside its first attempt.
type plainSecond struct {
	// first is the state of the request and of its first attempt. Its mutex guards the
	// fields below.
	first       *exchange
	ctx         context.Context
	cancelFirst context.CancelCauseFunc
	// sending waits for the second request.
	sending sync.WaitGroup
	// attempt is the state of the second request, and cancel ends it; nil if there is none.
	attempt *exchange
	cancel  context.CancelCauseFunc
	isSent  bool
	// isClosed is set once no second request is to be begun, and isDecided once an answer
	// is chosen.
	isClosed, isDecided bool
	// answer is that of the second request if it is chosen, and failure its 5xx answer, which
	// is closed at the end of the request unless it is taken.
	answer, failure *answer
}

// tryWithSecond sends the request to a target and, if that is slow, to another one as well.
// The first answer counts that is no failure. The results are those of tryTarget.
func (x *exchange) tryWithSecond(ctx context.Context, lease *balance.Lease) (*answer, bool, refusal.Reason) {
	p := &plainSecond{first: x, ctx: ctx}
	w := x.watchSecond(lease, p.send)
	if w == nil {
		return x.tryTarget(ctx, lease)
	}
	defer w.stop()
	// The context lasts until the answer is forwarded, which may still be read.
	firstCtx, cancel := context.WithCancelCause(ctx)
	p.cancelFirst = cancel
	x.plainSecond = p
	a, retry, reason := x.tryOnce(firstCtx, lease)
	if p.chooseFirst(a) {
		w.answered(time.Now())
		return a, false, ""
	}
	p.sending.Wait()
	if better := p.take(a == nil); better != nil {
		if a != nil {
			a.close()
		}
		return better, false, ""
	}
	if a != nil {
		return x.retryFailure(ctx, a), false, ""
	}
	return nil, retry, reason
}

// chooseFirst chooses the answer to the first attempt, unless that to the second request is
// chosen already, and ends the second request. It returns false if the first attempt has no
// answer or a failure.
func (p *plainSecond) chooseFirst(a *answer) bool {
	x := p.first
	x.mu.Lock()
	defer x.mu.Unlock()
	p.isClosed = true
	if p.isDecided || a == nil || a.isFailure() {
		return false
	}
	p.isDecided = true
	if p.attempt != nil {
		p.cancel(errNotNeeded)
		if p.isSent {
			x.attempts++
		}
	}
	return true
}

// send sends the second request and reports whether its answer is chosen.
func (p *plainSecond) send(s *secondRequest) bool {
	x := p.first
	x.mu.Lock()
	if p.isClosed {
		x.mu.Unlock()
		return false
	}
	b := x.copyForStandby()
	b.mayHaveRun = false
	ctx, cancel := context.WithCancelCause(p.ctx)
	p.attempt, p.cancel = b, cancel
	p.sending.Add(1)
	x.mu.Unlock()
	defer p.sending.Done()
	lease, _ := b.place(ctx, true, s.acquirer())
	if lease == nil {
		return false
	}
	s.recordSent(lease)
	x.mu.Lock()
	p.isSent = true
	x.mu.Unlock()
	a, _, _ := b.tryOnce(ctx, lease)
	return p.chooseSecond(a)
}

// chooseSecond chooses the answer to the second request, unless that to the first attempt is
// chosen already, and ends the first attempt.
func (p *plainSecond) chooseSecond(a *answer) bool {
	p.first.mu.Lock()
	defer p.first.mu.Unlock()
	switch {
	case a == nil:
		return false
	case p.isDecided:
		a.close()
		return false
	case a.isFailure():
		p.failure = a
		return false
	}
	p.answer, p.isDecided = a, true
	p.cancelFirst(errSecondFaster)
	return true
}

// take adds what the second request did to the state of the request, and returns its answer;
// nil if it has none. A failure is returned if takesFailure is set. The second request must
// have ended.
func (p *plainSecond) take(takesFailure bool) *answer {
	x, b := p.first, p.attempt
	if b == nil || !p.isSent {
		return nil
	}
	x.mu.Lock()
	x.tried = append(x.tried, b.tried[1:]...)
	x.mu.Unlock()
	x.attempts += b.attempts - 1
	x.reachedTarget, x.mayHaveRun = true, x.mayHaveRun || b.mayHaveRun
	out := p.answer
	if out == nil && takesFailure {
		out, p.failure = p.failure, nil
	}
	if out != nil {
		x.targetID, x.hasAttemptBegun, x.attemptActiveAt, x.endCause = b.targetID, true, b.attemptActiveAt, nil
	}
	return out
}

// dropPlainSecond ends what is left of the first attempt and of the second request when the
// request ends.
func (x *exchange) dropPlainSecond() {
	p := x.plainSecond
	if p == nil {
		return
	}
	p.cancelFirst(nil)
	x.mu.Lock()
	p.isClosed, p.isDecided = true, true
	if p.cancel != nil {
		p.cancel(errNotNeeded)
	}
	x.mu.Unlock()
	p.sending.Wait()
	if p.failure != nil {
		p.failure.close()
	}
}
