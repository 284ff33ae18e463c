package follower

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/coordination/confirmation"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform/standin"
)

// TestListsAfterARestore checks which lists are the first of a restored store, and how long
// the watches after them wait.
func TestListsAfterARestore(t *testing.T) {
	const early, late = 2 * time.Second, 4 * time.Second
	tests := []struct {
		name string
		// generations and seconds are those of the lists, and now is the time after them.
		generations []int64
		seconds     []float64
		now         float64
		// isFirst is for the latest list.
		isFirst bool
		want    time.Duration
	}{
		{"the first list of all", []int64{3}, []float64{0}, 0, false, listWatchWait},
		{"no generation", []int64{0, 0}, []float64{0, 5}, 6, false, listWatchWait},
		{"the same generation", []int64{3, 3}, []float64{0, 5}, 6, false, listWatchWait},
		{"restored", []int64{3, 4}, []float64{0, 5}, 5.5, true, 1500 * time.Millisecond},
		{"the next list is due", []int64{3, 4}, []float64{0, 5}, 7.5, true, 0},
		{"a list too early", []int64{3, 4, 4}, []float64{0, 5, 6}, 6, false, time.Second},
		{"the list after the first period", []int64{3, 4, 4}, []float64{0, 5, 7}, 7, false, 2 * time.Second},
		{"the list after both", []int64{3, 4, 4, 4}, []float64{0, 5, 7, 9}, 9, false, listWatchWait},
		{"one late list after both", []int64{3, 4, 4}, []float64{0, 5, 20}, 20, false, listWatchWait},
		{"restored again", []int64{3, 4, 5}, []float64{0, 5, 6}, 6, true, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			at := func(seconds float64) time.Time {
				return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
			}
			var l listTimes
			isFirst := false
			for n, generation := range tt.generations {
				isFirst = l.record(generation, at(tt.seconds[n]))
			}
			c.Check(isFirst, qt.Equals, tt.isFirst)
			c.Check(l.untilNext(at(tt.now), early, late), qt.Equals, tt.want)
		})
	}
}

// restoredLifetime is how long confirmations live in tests of a restored store, and soon how
// long a follower may take that waits for nothing.
const restoredLifetime, soon = time.Second, 1500 * time.Millisecond

// confirmationCase is a follower of a store that is restored from a copy.
type confirmationCase struct {
	name string
	// isCutOff is set for a follower whose confirmation ends before the restore, isAway
	// for one that sees the store close its connections meanwhile, and starts for one that
	// starts after it.
	isCutOff, isAway, starts bool
	// isWritten is set if the operator writes the version again with the restore, and
	// isWrittenLater after it.
	isWritten, isWrittenLater bool
	others                    confirmation.Others
	err                       error
	isSoon                    bool
}

// TestConfirmationAfterARestore guards against a lost removal of a key that a follower takes for
// one that never was, and against keys that are refused although nothing can be lost.
func TestConfirmationAfterARestore(t *testing.T) {
	tests := []confirmationCase{
		{name: "in touch"},
		{name: "in touch, another one is not", others: confirmation.Others{IsWithheld: true}},
		{name: "in touch, another one is confirmed", others: confirmation.Others{IsConfirmed: true}, isSoon: true},
		{name: "in touch, no answer", err: errors.New("no answer")},
		{name: "in touch, written again", isWritten: true, isSoon: true},
		{name: "in touch, written again, no answer", isWritten: true, err: errors.New("no answer"), isSoon: true},
		{name: "in touch, written again later", isWrittenLater: true, isSoon: true},
		{name: "the store was away", isAway: true, others: confirmation.Others{IsWithheld: true}},
		{name: "the store was away, written again", isAway: true, isWritten: true, others: confirmation.Others{IsWithheld: true}, isSoon: true},
		{name: "cut off, then the store was away", isCutOff: true, isAway: true, others: confirmation.Others{IsWithheld: true}},
		{name: "cut off", isCutOff: true},
		{name: "cut off, another one in touch", isCutOff: true, others: confirmation.Others{IsConfirmed: true}, isSoon: true},
		{name: "cut off, another one as well", isCutOff: true, others: confirmation.Others{IsWithheld: true}},
		{name: "cut off, written again", isCutOff: true, isWritten: true, others: confirmation.Others{IsWithheld: true}, isSoon: true},
		{name: "cut off, written again later", isCutOff: true, isWrittenLater: true, others: confirmation.Others{IsWithheld: true}, isSoon: true},
		{name: "cut off, no answer", isCutOff: true, err: errors.New("no answer")},
		{name: "starts", starts: true, isSoon: true},
		{name: "starts, no answer", starts: true, err: errors.New("no answer")},
		{name: "starts, another one was cut off", starts: true, others: confirmation.Others{IsWithheld: true}},
		{name: "starts, one was cut off and one in touch", starts: true, others: confirmation.Others{IsConfirmed: true, IsWithheld: true}, isSoon: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(qt.New(t))
		})
	}
}

// run restores the store of a follower.
func (tt confirmationCase) run(c *qt.C) {
	store := standin.NewStore()
	write := func(version int) {
		store.Put("config", "main", map[string]any{"version": version, "routes": []any{}, "services": []any{}})
	}
	write(1)
	var isAway, isRestored atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isAway.Load() {
			panic(http.ErrAbortHandler)
		}
		store.ServeHTTP(w, r)
	}))
	defer server.Close()
	follow := func() *Follower {
		return newFollower(server, func(context.Context) (confirmation.Others, error) {
			if !isRestored.Load() {
				return confirmation.Others{}, nil
			}
			return tt.others, tt.err
		}, restoredLifetime)
	}
	isConfirmed := func(f *Follower) bool { return f.isConfirmed(process.BootTime()) }
	var f *Follower
	if !tt.starts {
		f = follow()
		defer f.Close()
		eventually(c, soon, func() bool { return isConfirmed(f) })
	}
	copied := store.Copy()
	if tt.isWritten || tt.isWrittenLater {
		write(2)
		eventually(c, soon, func() bool { return f.Table().Version() == 2 })
	}
	if tt.isCutOff {
		store.SetFailureStatus(http.StatusServiceUnavailable)
		time.Sleep(soon)
	}
	if tt.isAway {
		isAway.Store(true)
		server.CloseClientConnections()
	}
	if tt.isCutOff || tt.isAway {
		eventually(c, 2*restoredLifetime, func() bool { return !isConfirmed(f) })
	}
	isRestored.Store(true)
	store.Restore(copied)
	if tt.isWritten {
		store.Put("other", "of-the-operator", map[string]any{})
		write(2)
	}
	store.SetFailureStatus(0)
	isAway.Store(false)
	if tt.isWrittenLater {
		time.Sleep(maxRetryDelay)
		write(2)
	}
	if tt.starts {
		f = follow()
		defer f.Close()
	}
	tt.check(c, f)
}

// check checks when a follower confirms the configuration after a restore.
func (tt confirmationCase) check(c *qt.C, f *Follower) {
	restoredAt := process.BootTime()
	isNew := func() bool { return f.confirmedAt() > restoredAt }
	if !tt.isSoon {
		time.Sleep(balance.ExpiryPeriod - 100*time.Millisecond)
		c.Check(isNew(), qt.IsFalse)
	}
	eventually(c, maxRetryDelay+soon, isNew)
}

// eventually waits until a condition holds.
func eventually(c *qt.C, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// TestVersionWrittenBetweenTwoRestoresIsNotTheNewest guards against a removed key that is served
// because the version in force was written again before a later one was lost with a second restore.
func TestVersionWrittenBetweenTwoRestoresIsNotTheNewest(t *testing.T) {
	const lifetime, soon = time.Second, 1500 * time.Millisecond
	c := qt.New(t)
	store := standin.NewStore()
	write := func(version int) {
		store.Put("config", "main", map[string]any{"version": version, "routes": []any{}, "services": []any{}})
	}
	write(1)
	early := store.Copy()
	store.Put("other", "of-the-operator", map[string]any{})
	write(2)
	server := httptest.NewServer(store)
	defer server.Close()
	f := newFollower(server, func(context.Context) (confirmation.Others, error) { return confirmation.Others{}, nil }, lifetime)
	defer f.Close()
	isConfirmed := func() bool { return f.isConfirmed(process.BootTime()) }
	eventually(c, soon, isConfirmed)
	store.SetFailureStatus(http.StatusServiceUnavailable)
	eventually(c, 2*lifetime, func() bool { return !isConfirmed() })
	store.Restore(early)
	write(2)
	late := store.Copy()
	write(3) // removes a key
	store.Restore(late)
	store.SetFailureStatus(0)
	time.Sleep(balance.ExpiryPeriod - 100*time.Millisecond)
	c.Check(isConfirmed(), qt.IsFalse)
	eventually(c, maxRetryDelay+soon, isConfirmed)
}

// TestFewCallsWhileNothingCanBeConfirmed guards against questions and watches that follow each
// other closely while the configuration cannot be confirmed.
func TestFewCallsWhileNothingCanBeConfirmed(t *testing.T) {
	const lifetime, period = 1500 * time.Millisecond, 3 * time.Second
	tests := []struct {
		name string
		// isInvalid is set if the newest version is invalid, and isCutOff for a follower that was
		// out of touch when the store was restored; another one starts.
		isInvalid, isCutOff bool
		others              confirmation.Others
		err                 error
		// after is when the calls are counted from.
		after time.Duration
	}{
		{name: "starts beside one that was cut off", others: confirmation.Others{IsWithheld: true}},
		{name: "starts, no answer", err: errors.New("no answer")},
		{name: "starts with an invalid version", isInvalid: true, after: balance.ExpiryPeriod},
		{name: "cut off", isCutOff: true},
		{name: "cut off, an invalid version", isCutOff: true, isInvalid: true, after: balance.ExpiryPeriod},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := standin.NewStore()
			store.Put("config", "main", map[string]any{"version": 1, "routes": []any{}, "services": []any{}})
			copied := store.Copy()
			if tt.isInvalid {
				store.Put("config", "main", map[string]any{"version": 2})
				copied = store.Copy()
				store.DropHistory()
			}
			var watches, asked atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/objects/config" {
					watches.Add(1)
				}
				store.ServeHTTP(w, r)
			}))
			defer server.Close()
			f := newFollower(server, func(context.Context) (confirmation.Others, error) {
				asked.Add(1)
				return tt.others, tt.err
			}, lifetime)
			defer f.Close()
			if tt.isCutOff {
				time.Sleep(500 * time.Millisecond)
				store.SetFailureStatus(http.StatusServiceUnavailable)
				time.Sleep(2 * lifetime)
				store.Restore(copied)
				store.SetFailureStatus(0)
				time.Sleep(maxRetryDelay)
			}
			time.Sleep(tt.after)
			watches.Store(0)
			asked.Store(0)
			time.Sleep(period)
			c.Check(watches.Load() <= 6, qt.IsTrue, qt.Commentf("%d reads of the configuration", watches.Load()))
			c.Check(asked.Load() <= 6, qt.IsTrue, qt.Commentf("%d questions", asked.Load()))
		})
	}
}

// confirmedAt returns the boot time up to which the configuration was the newest.
func (f *Follower) confirmedAt() time.Duration {
	now := process.BootTime()
	return now - f.ConfirmationAge(now)
}

// TestShortRestoreEndsNoConfirmation guards against an entry that was in touch until the store went
// away, and serves no keys for seconds because it reads the restored store late.
func TestShortRestoreEndsNoConfirmation(t *testing.T) {
	const lifetime, away, soon = 3 * time.Second, 2300 * time.Millisecond, 600 * time.Millisecond
	c := qt.New(t)
	store := standin.NewStore()
	write := func() {
		store.Put("config", "main", map[string]any{"version": 1, "routes": []any{}, "services": []any{}})
	}
	write()
	server := httptest.NewServer(store)
	defer server.Close()
	f := newFollower(server, func(context.Context) (confirmation.Others, error) { return confirmation.Others{}, nil }, lifetime)
	defer f.Close()
	eventually(c, lifetime, func() bool { return f.isConfirmed(process.BootTime()) })
	before := f.confirmedAt()
	eventually(c, lifetime, func() bool { return f.confirmedAt() > before })
	store.SetFailureStatus(http.StatusServiceUnavailable)
	time.Sleep(away)
	store.Restore(store.Copy())
	write()
	store.SetFailureStatus(0)
	restored := process.BootTime()
	for f.confirmedAt() <= restored {
		c.Assert(f.isConfirmed(process.BootTime()), qt.IsTrue)
		c.Assert(process.BootTime()-restored < soon, qt.IsTrue)
		time.Sleep(5 * time.Millisecond)
	}
}

// TestConfirmationEndsWhereNothingIsWrittenAgain guards against keys that an entry refuses before
// its confirmation from before the restore has ended, or serves after that.
func TestConfirmationEndsWhereNothingIsWrittenAgain(t *testing.T) {
	const lifetime, away = 3 * time.Second, time.Second
	c := qt.New(t)
	store := standin.NewStore()
	store.Put("config", "main", map[string]any{"version": 1, "routes": []any{}, "services": []any{}})
	server := httptest.NewServer(store)
	defer server.Close()
	// Another entry has been in touch for longer.
	var completeAt atomic.Int64
	f := newFollower(server, func(context.Context) (confirmation.Others, error) {
		return confirmation.Others{CompleteAt: time.Duration(completeAt.Load())}, nil
	}, lifetime)
	defer f.Close()
	eventually(c, lifetime, func() bool { return f.isConfirmed(process.BootTime()) })
	store.SetFailureStatus(http.StatusServiceUnavailable)
	lastCall := process.BootTime()
	completeAt.Store(int64(lastCall + away/2))
	time.Sleep(away)
	store.Restore(store.Copy())
	store.SetFailureStatus(0)
	restored := process.BootTime()
	eventually(c, soon, func() bool { return f.confirmedAt() > lastCall })
	c.Check(f.confirmedAt(), qt.Equals, lastCall+away/2)
	time.Sleep(restored + balance.ExpiryPeriod - 100*time.Millisecond - process.BootTime())
	c.Check(f.confirmedAt(), qt.Equals, lastCall+away/2)
	eventually(c, soon, func() bool { return f.confirmedAt() > restored })
}
