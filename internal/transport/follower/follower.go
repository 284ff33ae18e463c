package follower

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/fleet"
	"bluebellcrank/internal/state/routing"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
)

const (
	// configWait is how long the configuration's watch waits at most: what
	// it finds out about the store holds for the other watches, too.
	configWait = 2 * time.Second
	// waitShare and proofShare are the parts of the time that a proof of keys
	// holds which a watch may take, and at which the next proof should have
	// come: the answer of a watch that brings news proves nothing about the
	// time it waited, so that the one behind it has to be shorter.
	waitShare  = 0.57
	proofShare = 0.77
	// leastWait keeps short watches from following on each other.
	leastWait = 200 * time.Millisecond
	// listWait is how long the other watches wait. A connection that has gone
	// silent is found by its probes, and a store that is silent shows in the
	// configuration's watch, which has the others start anew.
	listWait = 15 * time.Second
	// gatherShare is the part of the time that a leaving target may still get
	// new work for which changes of targets are gathered, so that those which
	// come together take one call.
	gatherShare = 0.4
	// retryPause is the time between calls that fail; it doubles up to
	// retryMost, since calls that are refused are charged for as well.
	retryPause = 150 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
)

// Sink takes what the follower learns; its functions are called from several
// goroutines.
type Sink struct {
	// ReplaceTargets takes the whole list of targets.
	ReplaceTargets func(targets []fleet.Target, now time.Time)
	// ApplyChanges takes changes of the list.
	ApplyChanges func(changes []fleet.Change, now time.Time)
	// SetOutOfService takes all data centres that are out of service.
	SetOutOfService func(out map[string]bool, now time.Time)
}

// Follower follows the store until it is closed.
type Follower struct {
	store  *platform.Store
	sink   Sink
	limits func() Limits
	log    hclog.Logger

	table     atomic.Pointer[routing.Table]
	proof     atomic.Int64
	listed    atomic.Bool
	outListed atomic.Bool
	lost      atomic.Bool

	// sound ends when a call for the configuration fails: the connections of
	// the other watches may have gone silent as well.
	sound atomic.Pointer[soundness]

	stop   context.CancelFunc
	ending sync.WaitGroup
}

// Limits are what a deployment allows.
type Limits struct {
	// DrainPeriod is how long a leaving target may still get new work.
	DrainPeriod time.Duration
	// ConfirmationLifetime is how long keys are served after the store said that they stand.
	ConfirmationLifetime time.Duration
}

// New starts to follow a store; limits returns those in force.
func New(s *platform.Store, sink Sink, limits func() Limits, log hclog.Logger) *Follower {
	ctx, stop := context.WithCancel(context.Background())
	f := &Follower{store: s, sink: sink, limits: limits, log: log, stop: stop}
	f.proof.Store(int64(-time.Hour))
	f.sound.Store(newSoundness(ctx))
	f.ending.Go(func() { f.repeat(ctx, f.followConfig) })
	for _, follow := range []func(context.Context) error{f.followTargets, f.followOut} {
		f.ending.Go(func() { f.repeat(ctx, func(ctx context.Context) error { return f.renewable(ctx, follow) }) })
	}
	return f
}

// Close stops following.
func (f *Follower) Close() {
	f.stop()
	f.ending.Wait()
}

// Table returns the configuration in force, or nil before the first.
func (f *Follower) Table() *routing.Table { return f.table.Load() }

// ConfirmationAge returns how old the proof is that the configuration is the newest one,
// at a boot time.
func (f *Follower) ConfirmationAge(boot time.Duration) time.Duration {
	return boot - time.Duration(f.proof.Load())
}

// HasSynced reports whether everything was read once.
func (f *Follower) HasSynced() bool {
	return f.table.Load() != nil && f.listed.Load() && f.outListed.Load()
}

// callsWell is how long a list and its watches go on when the store is well,
// longer than a single call may take.
const callsWell = 5 * time.Second

// repeat lists and watches one kind of object for ever.
func (f *Follower) repeat(ctx context.Context, follow func(context.Context) error) {
	pause := retryPause
	for ctx.Err() == nil {
		began := time.Now()
		err := follow(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if time.Since(began) > callsWell {
			pause = retryPause
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			event.StoreHistoryLost.Log(f.log)
			continue
		}
		if !f.lost.Swap(true) {
			event.PlatformUnreachable.Log(f.log, "error", err.Error())
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, retryMost)
	}
}

// soundness is the time from one failed call to the next.
type soundness struct {
	ctx context.Context
	end context.CancelFunc
}

func newSoundness(ctx context.Context) *soundness {
	own, end := context.WithCancel(ctx)
	return &soundness{ctx: own, end: end}
}

// unsound has the other watches start anew.
func (f *Follower) unsound(ctx context.Context) {
	f.sound.Swap(newSoundness(ctx)).end()
}

// renewable runs a watch that ends when a call for the configuration fails.
func (f *Follower) renewable(_ context.Context, follow func(context.Context) error) error {
	return follow(f.sound.Load().ctx)
}

func (f *Follower) answered() {
	if f.lost.Swap(false) {
		event.PlatformReachable.Log(f.log)
	}
}

// followConfig returns on the second error in a row, after which it lists
// anew.
func (f *Follower) followConfig(ctx context.Context) error {
	asked := process.BootTime()
	t, at, err := f.store.Config(ctx)
	if err != nil {
		return err
	}
	f.adopt(t)
	f.prove(asked)
	for fails := 0; ; {
		asked = process.BootTime()
		wait := nextWait(f.ConfirmationAge(asked), f.limits().ConfirmationLifetime)
		t, next, err := f.store.WatchConfig(ctx, at, wait)
		if err != nil {
			f.unsound(ctx)
			if fails++; errors.Is(err, platform.ErrHistoryGone) || fails > 1 {
				return err
			}
			continue
		}
		fails = 0
		at = next
		f.adopt(t)
		f.prove(provenAt(asked, process.BootTime(), wait, t != nil))
	}
}

// provenAt is the boot time at which the store said that there is nothing
// newer: an answer without news comes once the wait is over.
func provenAt(asked, answered, wait time.Duration, news bool) time.Duration {
	if news || answered < asked+wait {
		return asked
	}
	return asked + wait
}

// nextWait is how long the next watch may wait for a proof of an age, where
// proofs hold for a time.
func nextWait(age, holds time.Duration) time.Duration {
	most := min(configWait, time.Duration(waitShare*float64(holds)))
	return min(most, max(leastWait, time.Duration(proofShare*float64(holds))-age))
}

func (f *Follower) prove(at time.Duration) {
	f.proof.Store(max(f.proof.Load(), int64(at)))
	f.answered()
}

func (f *Follower) adopt(t *routing.Table) {
	if t == nil {
		return
	}
	if old := f.table.Load(); old != nil && old.Version() >= t.Version() {
		return
	}
	f.table.Store(t)
	event.ConfigAdopted.Log(f.log, "version", t.Version())
}

func (f *Follower) followTargets(ctx context.Context) error {
	list, faults, at, err := f.store.Targets(ctx)
	if err != nil {
		return err
	}
	f.report(faults)
	f.sink.ReplaceTargets(list, time.Now())
	f.listed.Store(true)
	for {
		changes, faults, next, err := f.store.WatchTargets(ctx, at, listWait)
		if err != nil {
			return err
		}
		at = next
		f.report(faults)
		f.answered()
		if len(changes) > 0 {
			f.sink.ApplyChanges(changes, time.Now())
			time.Sleep(time.Duration(gatherShare * float64(f.limits().DrainPeriod)))
		}
	}
}

func (f *Follower) report(faults []error) {
	for _, err := range faults {
		event.TargetInvalid.Log(f.log, "error", err.Error())
	}
}

func (f *Follower) followOut(ctx context.Context) error {
	out, at, err := f.store.Evacuations(ctx)
	if err != nil {
		return err
	}
	f.setOut(out)
	f.outListed.Store(true)
	for {
		changes, next, err := f.store.WatchEvacuations(ctx, at, listWait)
		if err != nil {
			return err
		}
		at = next
		if len(changes) == 0 {
			continue
		}
		merged := map[string]bool{}
		for name, is := range out {
			merged[name] = is
		}
		for name, is := range changes {
			merged[name] = is
		}
		out = merged
		f.setOut(out)
	}
}

func (f *Follower) setOut(out map[string]bool) {
	for name, is := range out {
		event.DataCentreServiceChanged.Log(f.log, "data-centre", name, "out", is)
	}
	f.sink.SetOutOfService(out, time.Now())
}
