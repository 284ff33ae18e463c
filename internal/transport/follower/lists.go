package follower

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/fleet"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
)

const (
	// listWatchWait is how long the watches of targets and data centres wait.
	// TCP keep-alive probes detect a dead connection, and an unresponsive store
	// makes the configuration watch fail, which restarts the other watches.
	listWatchWait = 15 * time.Second
	// batchingShare is the fraction of Limits.DrainPeriod to wait after a
	// change of targets before the next watch, so that changes close together
	// are fetched in one call.
	batchingShare = 0.4
)

// newLists returns the lists of targets and of data centres, as of a boot time.
func newLists(s *platform.Store, log hclog.Logger, now time.Duration) (targets, evacuations *watchedList) {
	targets = newWatchedList("targets", targetCheckAge, func(ctx context.Context, from platform.Position) (bool, platform.Position, error) {
		changes, _, next, err := s.WatchTargets(ctx, from, checkWait)
		return len(changes) > 0, next, err
	}, log, now)
	evacuations = newWatchedList("data-centres", evacuationCheckAge, func(ctx context.Context, from platform.Position) (bool, platform.Position, error) {
		changes, next, err := s.WatchEvacuations(ctx, from, checkWait)
		return len(changes) > 0, next, err
	}, log, now)
	return targets, evacuations
}

// lists returns the lists that are watched.
func (f *Follower) lists() []*watchedList { return []*watchedList{f.targets, f.evacuations} }

// allowedAge returns the age from which a list counts as unknown.
func (f *Follower) allowedAge(l *watchedList) time.Duration {
	return f.limits().StabilityWindow + l.checkAge
}

// ListAges returns, by the names of the lists, the time for which each has not been known to be
// complete at a boot time.
func (f *Follower) ListAges(boot time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, l := range f.lists() {
		out[l.name] = l.age(boot)
	}
	return out
}

// recordState has the lists compared with a state of the store that the configuration was read
// at, as of a boot time.
func (f *Follower) recordState(state platform.Position, at time.Duration) {
	now := process.BootTime()
	for _, l := range f.lists() {
		if l.recordState(state, at, now, f.allowedAge(l)) {
			l.requestCheck(state)
		}
	}
}

// listWait returns how long a watch of a list may wait if the next list is due after a time. While
// the store does not answer this instance directly, a watch may have been lost on one path and
// depend on the other one, so that it ends soon.
func (f *Follower) listWait(untilNext time.Duration) time.Duration {
	if f.store.IsDirect() {
		return untilNext
	}
	return min(untilNext, maxConfigWait)
}

// followTargets lists the targets and applies their changes until a call fails.
func (f *Follower) followTargets(ctx context.Context) error {
	l := f.targets
	call := l.begin(process.BootTime())
	list, faults, position, err := f.store.Targets(ctx)
	if err != nil {
		return err
	}
	l.recordAnswer(call, position, call.requestedAt)
	f.logInvalid(faults)
	if now := time.Now(); l.times.record(position.Generation(), now) {
		f.sink.MergeTargets(list, now)
	} else {
		f.sink.ReplaceTargets(list, now)
	}
	f.targetsListed.Store(true)
	for {
		wait := f.listWait(l.times.untilNext(time.Now(), balance.RewritePeriod, balance.ExpiryPeriod))
		if wait == 0 {
			return nil
		}
		var changes []fleet.Change
		next, err := l.await(ctx, wait, func(ctx context.Context) (bool, platform.Position, error) {
			var next platform.Position
			var err error
			changes, faults, next, err = f.store.WatchTargets(ctx, position, wait)
			return len(changes)+len(faults) > 0, next, err
		})
		if errors.Is(err, errMissedChange) {
			continue
		}
		if err != nil {
			return err
		}
		position = next
		f.logInvalid(faults)
		f.recordReachable()
		if len(changes) > 0 {
			f.sink.ApplyChanges(changes, time.Now())
			time.Sleep(time.Duration(batchingShare * float64(f.limits().DrainPeriod)))
		}
	}
}

// logInvalid logs the entries that are not valid targets.
func (f *Follower) logInvalid(faults []error) {
	for _, err := range faults {
		event.TargetInvalid.Log(f.log, "error", err.Error())
	}
}

// followEvacuations lists the data centres that are out of service and applies
// changes until a call fails.
func (f *Follower) followEvacuations(ctx context.Context) error {
	l := f.evacuations
	call := l.begin(process.BootTime())
	out, position, err := f.store.Evacuations(ctx)
	if err != nil {
		return err
	}
	l.recordAnswer(call, position, call.requestedAt)
	now, apply := time.Now(), f.sink.SetOutOfService
	if l.times.record(position.Generation(), now) {
		apply = f.sink.MergeOutOfService
	}
	f.logEvacuations(out)
	apply(out, now)
	f.evacuationsListed.Store(true)
	for {
		wait := f.listWait(l.times.untilNext(time.Now(), balance.ExpiryPeriod))
		if wait == 0 {
			return nil
		}
		var changes map[string]bool
		next, err := l.await(ctx, wait, func(ctx context.Context) (bool, platform.Position, error) {
			var next platform.Position
			var err error
			changes, next, err = f.store.WatchEvacuations(ctx, position, wait)
			return len(changes) > 0, next, err
		})
		if errors.Is(err, errMissedChange) {
			continue
		}
		if err != nil {
			return err
		}
		position = next
		if len(changes) == 0 {
			continue
		}
		merged := map[string]bool{}
		for name, isOut := range out {
			merged[name] = isOut
		}
		for name, isOut := range changes {
			merged[name] = isOut
		}
		out = merged
		f.logEvacuations(out)
		f.sink.SetOutOfService(out, time.Now())
	}
}

func (f *Follower) logEvacuations(out map[string]bool) {
	for name, isOut := range out {
		event.DataCentreServiceChanged.Log(f.log, "data-centre", name, "out", isOut)
	}
}
