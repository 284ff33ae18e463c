package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"bluebellcrank/internal/coordination/balance"
)

const (
	// stallCheckDelay is the time without an event after which a stream checks
	// whether its target is silent or its rank group stalled; clients abandon a
	// stream after a gap of 2 s.
	stallCheckDelay = 700 * time.Millisecond
	// stallCheckInterval is the time between two such checks.
	stallCheckInterval = 150 * time.Millisecond
	// maxMoveTime bounds how long the events of a slow target are held back while
	// another one begins to go on with the stream.
	maxMoveTime = time.Second
)

var (
	errStalled = errors.New("the target's rank group is stalled")
	errSlow    = errors.New("the target slows its rank group down")
	errSilent  = errors.New("the target sends no events while its rank group does")
	// errSilentConn is the error of a connection that an end has lost track of.
	errSilentConn = errors.New("the connection brings no events while its target sends some on others")
	// errNotNeeded ends a standby, and errOvertaken a segment that a standby replaces.
	errNotNeeded = errors.New("the stream goes on without this attempt")
	errOvertaken = errors.New("another target has gone on with the stream")
)

// standby is an attempt at a stream beside the one of the current segment, which is silent
// or slow. That one ends only once the standby has brought an event: silence does not prove
// that a target has failed, and the standby may lack a target or the retry budget.
type standby struct {
	// exchange is the state of the attempt.
	exchange *exchange
	// triedBefore is how many targets had been tried before it.
	triedBefore int
	cancel      context.CancelCauseFunc
	// segment is set once it has brought an event.
	segment *segment
}

// standbyState is the state of a stream's standbys, guarded by exchange.mu.
type standbyState struct {
	// watch is that of the current segment; nil if it has ended.
	watch *stallWatch
	// current is the standby that is being opened, or replaces the current segment.
	current *standby
	// opening waits for standbys that are being opened.
	opening sync.WaitGroup
	// tried and attempts are those of standbys that failed or were not needed.
	tried    []string
	attempts int
}

// stallWatch checks whether the target of a segment is silent, slow or stalled, and opens a
// standby then.
type stallWatch struct {
	exchange *exchange
	// ctx is the request's context.
	ctx     context.Context
	segment *segment
	timer   *time.Timer
	// nextMoveAt is when the stream may be moved from a slow target.
	nextMoveAt time.Time
}

// watchStall starts to watch a segment.
func (x *exchange) watchStall(ctx context.Context, s *segment) *stallWatch {
	w := &stallWatch{exchange: x, ctx: ctx, segment: s}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.standbys.watch = w
	// The timer first gets a duration that never passes, because its function uses it.
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(stallCheckDelay)
	return w
}

// eventArrived postpones the next check.
func (w *stallWatch) eventArrived() { w.timer.Reset(stallCheckDelay) }

// stop ends the watch. A standby that has been started goes on.
func (w *stallWatch) stop() {
	w.timer.Stop()
	w.exchange.mu.Lock()
	defer w.exchange.mu.Unlock()
	w.exchange.standbys.watch = nil
}

// check opens a standby if the target is silent or its rank group stalled.
func (w *stallWatch) check() {
	now := time.Now()
	interval := stallCheckInterval
	// After a pause of this process, events may have arrived that were not read yet.
	if !w.exchange.gateway.pauses.HasPaused(now.Add(-stallCheckDelay), now) && w.exchange.isMovable() {
		if cause := w.silence(now); cause != nil {
			w.openStandby(cause, (*exchange).acquireLease, 0)
			interval = stallCheckDelay
		}
	}
	if w.segment.ctx.Err() == nil {
		w.timer.Reset(interval)
	}
}

// silence returns why the segment counts as silent, or nil.
func (w *stallWatch) silence(now time.Time) error {
	lease := w.segment.lease
	switch {
	case lease.CheckGroupStall(now):
		return errStalled
	case !lease.IsSilent(now):
		return nil
	case lease.IsTargetActive(now):
		return errSilentConn
	}
	lease.SuspendTarget(now)
	return errSilent
}

// moveFromSlow opens a standby while no event of the current segment is read, and reports
// whether it replaces the segment.
func (w *stallWatch) moveFromSlow(now time.Time) bool {
	if now.Before(w.nextMoveAt) || !w.exchange.isMovable() {
		return false
	}
	w.nextMoveAt = now.Add(stallCheckDelay)
	return w.openStandby(errSlow, (*exchange).pickLease, maxMoveTime)
}

// isMovable reports whether the route lets the stream go on at another target.
func (x *exchange) isMovable() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.route.Resumable && len(x.tried)+len(x.standbys.tried) < x.route.MaxTargets
}

// openStandby opens a standby and ends the current segment for a reason once the standby has
// brought an event, unless the segment does so before. It reports whether the standby
// replaces the segment. A limit of 0 means no limit.
func (w *stallWatch) openStandby(cause error, acquire acquireFunc, limit time.Duration) bool {
	x := w.exchange
	ctx, cancel := context.WithCancelCause(w.ctx)
	b := &standby{cancel: cancel}
	x.mu.Lock()
	if x.standbys.watch != w || x.standbys.current != nil {
		x.mu.Unlock()
		cancel(nil)
		return false
	}
	b.exchange, b.triedBefore = x.copyForStandby(), len(x.tried)
	x.standbys.current = b
	x.standbys.opening.Add(1)
	x.mu.Unlock()
	defer x.standbys.opening.Done()
	if limit > 0 {
		defer time.AfterFunc(limit, func() { x.cancelStandby(b) }).Stop()
	}
	s := b.exchange.openAsStandby(ctx, acquire)
	x.mu.Lock()
	isUsed := s != nil && x.standbys.current == b
	if isUsed {
		b.segment = s
	} else {
		if x.standbys.current == b {
			x.standbys.current = nil
		}
		x.standbys.tried = append(x.standbys.tried, b.exchange.tried[b.triedBefore:]...)
		x.standbys.attempts += b.exchange.attempts - b.triedBefore
	}
	x.mu.Unlock()
	if isUsed {
		w.segment.end(cause)
	} else {
		b.close(s)
	}
	return isUsed
}

// close ends a standby that is not used, and its segment if it has one.
func (b *standby) close(s *segment) {
	b.cancel(errNotNeeded)
	if s != nil {
		_ = b.exchange.segmentFailed(s, errNotNeeded) // it logs the error
		s.end(nil)
	}
}

// copyForStandby returns the state in which a standby begins. The caller holds x.mu.
func (x *exchange) copyForStandby() *exchange {
	return &exchange{
		requestInfo:      x.requestInfo,
		attempts:         len(x.tried),
		reachedTarget:    true,
		mayHaveRun:       true,
		tried:            slices.Clone(x.tried),
		hasResponseBegun: x.hasResponseBegun,
		lastEventID:      x.lastEventID,
	}
}

// openAsStandby sends the request to another target and waits for the first event, or for
// the end of a stream of which the client has all events. It returns nil if there is none.
func (x *exchange) openAsStandby(ctx context.Context, acquire acquireFunc) *segment {
	lease, _ := x.place(ctx, true, acquire)
	if lease == nil {
		return nil
	}
	x.second.recordSent(lease)
	s := newSegment(ctx, lease)
	if _, err := x.openSegment(ctx, s); err != nil {
		s.end(nil)
		return nil
	}
	err := x.checkStream(s)
	if err == nil {
		err = s.events.peek()
	}
	if err == nil && isRepeatedEvent(*s.events.peekedID, x.lastEventID) {
		err = fmt.Errorf("event %s follows event %s", *s.events.peekedID, x.lastEventID)
	}
	if err != nil && (err != io.EOF || x.lastEventID == "") {
		_ = x.segmentFailed(s, err) // it logs the error
		s.end(nil)
		return nil
	}
	return s
}

// checkStream returns an error if the answer is not one with which a stream may go on.
func (x *exchange) checkStream(s *segment) error {
	if s.res.StatusCode != http.StatusOK || !x.hasEvents(s.res) {
		return errors.New("the target did not answer with a stream")
	}
	if !s.info.Signed || s.info.Encoded {
		return errSpoiled
	}
	return nil
}

// claimEvent records that an event of the current segment, or its end, is forwarded, and
// cancels a standby. It returns false if a standby has replaced the segment.
func (x *exchange) claimEvent(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b := x.standbys.current; b != nil {
		if b.segment != nil {
			return false
		}
		b.cancel(errNotNeeded)
		x.standbys.current = nil
	}
	if id != "" {
		x.lastEventID = id
	}
	return true
}

// cancelStandby cancels a standby unless it has replaced the current segment.
func (x *exchange) cancelStandby(b *standby) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.standbys.current == b && b.segment == nil {
		b.cancel(errNotNeeded)
		x.standbys.current = nil
	}
}

// takeStandby waits for a standby that is being opened and returns its segment, which goes
// on with the stream; nil if there is none.
func (x *exchange) takeStandby() *segment {
	x.standbys.opening.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	b := x.standbys.current
	x.standbys.current = nil
	if b != nil {
		x.tried, x.attempts = b.exchange.tried, b.exchange.attempts
		x.reachedTarget, x.mayHaveRun = true, true
		x.targetID, x.hasAttemptBegun = b.exchange.targetID, true
		x.attemptActiveAt, x.attemptEvents = b.exchange.attemptActiveAt, 0
	}
	x.tried = append(x.tried, x.standbys.tried...)
	x.attempts += x.standbys.attempts
	x.standbys.tried, x.standbys.attempts = nil, 0
	if b == nil {
		return nil
	}
	return b.segment
}

// dropStandby ends a standby that is left when the request ends.
func (x *exchange) dropStandby() {
	x.mu.Lock()
	b := x.standbys.current
	x.standbys.current = nil
	x.mu.Unlock()
	if b != nil {
		b.cancel(errNotNeeded)
	}
	x.standbys.opening.Wait()
	if b != nil && b.segment != nil {
		b.close(b.segment)
	}
}

// pickLease reserves a slot of a target that has one now.
func (x *exchange) pickLease(_ context.Context, now time.Time) (*balance.Lease, balance.Verdict) {
	return x.gateway.fleet.Pick(x.balanceRequest(), now)
}
