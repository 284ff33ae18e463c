package follower

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
)

const (
	// targetCheckAge and evacuationCheckAge are the ages from which a list is checked if the
	// store has changed since. Any change of targets leaves the list of data centres behind, so
	// that it is checked less often.
	targetCheckAge     = time.Second
	evacuationCheckAge = 3 * time.Second
	// checkDelay is the time from an answer with a later revision to the check of a list. The
	// watch of the list may bring the change at the same moment.
	checkDelay = 50 * time.Millisecond
	// checkWait is how long the store waits for a change in a check.
	checkWait = time.Millisecond
	// listAgeInterval is the time between two looks at the ages of the lists.
	listAgeInterval = 250 * time.Millisecond
)

// errMissedChange is the cause with which a watch is cancelled that has not brought a change.
var errMissedChange = errors.New("follower: the store has a change that the watch has not brought")

// errListUnknown is the cause with which a watch is cancelled whose list is too old.
var errListUnknown = errors.New("follower: the list has not been confirmed in time")

// probe reads the changes of a list after a position, and returns whether there are any and the
// next position.
type probe func(ctx context.Context, from platform.Position) (hasChanges bool, next platform.Position, err error)

// watchedList is what is known of one list that the follower watches. An answer to a watch may be
// lost, or may never come, while the store answers other calls; the revisions in those tell
// whether the list may have changed. It is safe for concurrent use.
type watchedList struct {
	name     string
	checkAge time.Duration
	probe    probe
	log      hclog.Logger
	// states has the latest state of the store for which the list is to be checked.
	states chan platform.Position
	// times is used by the goroutine of the list only.
	times listTimes

	mu sync.Mutex
	// position is where the list is watched from, and complete is the latest state of the store
	// at which nothing newer is missing from the list.
	position, complete platform.Position
	// newest is the latest state of the store that any answer told.
	newest platform.Position
	// provenAt is the latest boot time at which the list was complete.
	provenAt time.Duration
	// cancelWatch ends the watch that is waiting; nil if none is.
	cancelWatch context.CancelCauseFunc
	isChecking  bool
	isUnknown   bool
}

func newWatchedList(name string, checkAge time.Duration, p probe, log hclog.Logger, now time.Duration) *watchedList {
	return &watchedList{name: name, checkAge: checkAge, probe: p, log: log, states: make(chan platform.Position, 1), provenAt: now}
}

// listCall is a call that reads a list or its changes.
type listCall struct {
	// requestedAt is the boot time of the request, and newest the state of the store that was
	// known by then, which the answer covers.
	requestedAt time.Duration
	newest      platform.Position
}

// begin begins a call at a boot time.
func (l *watchedList) begin(now time.Duration) listCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	return listCall{requestedAt: now, newest: l.newest}
}

// watch returns the context of a watch, which ends when the watch is found to have missed a
// change, and a function that ends it.
func (l *watchedList) watch(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelWatch = cancel
	return ctx, func() {
		cancel(nil)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.cancelWatch = nil
	}
}

// await makes a watch that waits for changes, records the answer, and returns the next position.
// It returns errMissedChange or errListUnknown if the watch was ended for that.
func (l *watchedList) await(ctx context.Context, wait time.Duration, watch func(context.Context) (hasChanges bool, next platform.Position, err error)) (platform.Position, error) {
	call := l.begin(process.BootTime())
	ctx, end := l.watch(ctx)
	defer end()
	hasChanges, next, err := watch(ctx)
	if err != nil {
		return platform.Position{}, cmp.Or(context.Cause(ctx), err)
	}
	l.recordAnswer(call, next, confirmationTime(call.requestedAt, process.BootTime(), wait, hasChanges))
	return next, nil
}

// recordAnswer records the answer to a call, which leaves the list complete at a boot time, and the
// position from which it is watched next.
func (l *watchedList) recordAnswer(c listCall, next platform.Position, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.position = next
	l.recordComplete(c, next, at)
}

// recordComplete records that the list is complete up to a state of the store, and up to the one
// that was known when the call began. The caller holds l.mu.
func (l *watchedList) recordComplete(c listCall, state platform.Position, at time.Duration) {
	if c.newest.IsAfter(state) {
		state = c.newest
	}
	if state.Generation() != l.complete.Generation() || state.IsAfter(l.complete) {
		l.complete = state
	}
	l.provenAt = max(l.provenAt, at)
}

// recordState records a state of the store that an answer to another call told of a boot time. It
// reports whether the list has to be checked, since it may have changed by then. If the list is
// older than allowed, its watch ends.
func (l *watchedList) recordState(state platform.Position, at, now, allowed time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state.Generation() != l.newest.Generation() || state.IsAfter(l.newest) {
		l.newest = state
	}
	if state.Generation() == l.complete.Generation() && !state.IsAfter(l.complete) {
		l.provenAt = max(l.provenAt, at)
	}
	age := now - l.provenAt
	if age > allowed && l.cancelWatch != nil {
		l.cancelWatch(errListUnknown)
	}
	return state.IsAfter(l.complete) && age >= l.checkAge
}

// check reads the changes that the store has at a boot time, beside the watch that waits for them,
// and ends the watch if it has not brought them.
func (l *watchedList) check(ctx context.Context, state platform.Position, now time.Duration) {
	l.mu.Lock()
	isDue := !l.isChecking && l.cancelWatch != nil && state.IsAfter(l.complete)
	from, c := l.position, listCall{requestedAt: now, newest: l.newest}
	l.isChecking = l.isChecking || isDue
	l.mu.Unlock()
	if !isDue {
		return
	}
	hasChanges, next, err := l.probe(ctx, from)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isChecking = false
	switch {
	case err != nil || from != l.position: // the watch has ended meanwhile, or is about to
	case !hasChanges:
		l.recordComplete(c, next, c.requestedAt)
	case l.cancelWatch != nil:
		event.WatchMissedChange.Log(l.log, "list", l.name, "age-ms", (c.requestedAt - l.provenAt).Milliseconds())
		l.cancelWatch(errMissedChange)
	}
}

// age returns the time for which the list has not been known to be complete.
func (l *watchedList) age(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, now-l.provenAt)
}

// recordAge logs when the list becomes older than allowed, and when it is confirmed again.
func (l *watchedList) recordAge(now, allowed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := now - l.provenAt
	isUnknown := age > allowed
	switch {
	case isUnknown && !l.isUnknown:
		event.ListUnknown.Log(l.log, "list", l.name, "age-ms", age.Milliseconds())
	case !isUnknown && l.isUnknown:
		event.ListKnown.Log(l.log, "list", l.name)
	}
	l.isUnknown = isUnknown
}

// requestCheck has the list be checked for a state of the store.
func (l *watchedList) requestCheck(state platform.Position) {
	select {
	case l.states <- state:
	default: // a check is about to begin
	}
}

// runChecks makes the checks that are requested, until the context ends.
func (l *watchedList) runChecks(ctx context.Context) {
	for {
		select {
		case state := <-l.states:
			time.Sleep(checkDelay)
			l.check(ctx, state, process.BootTime())
		case <-ctx.Done():
			return
		}
	}
}
