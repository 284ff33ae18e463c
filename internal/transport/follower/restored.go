package follower

import (
	"context"
	"errors"
	"time"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/instance"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
)

// askInterval is the longest pause between two questions to other entries while nothing is
// confirmed.
const askInterval = time.Second

// Applied is what entries tell each other of the configuration. Like those of the other
// messages, its fields are exported, because they are plain decoded values.
type Applied struct {
	// Version is the newest version that is known to be applied; 0 if none is.
	Version int64 `json:"version"`
	// IsConfirmed is set if the store has confirmed the configuration recently enough to
	// serve keys, and the entry did not start in the last seconds.
	IsConfirmed bool `json:"confirmed"`
	// Generation is that of the store in which it was confirmed; nil if it was not, or if the
	// entry does not say.
	Generation *int64 `json:"generation,omitempty"`
	// IsWithheld is set if the entry is out of touch with the store, or was when the store was
	// restored, so that a version may have been lost that the entry has never read.
	IsWithheld bool `json:"withheld"`
}

// BelievedIn returns what an entry told, without its confirmation if that holds for another
// generation of the store. An entry that was paused is asked before it has heard of a restore.
func (a Applied) BelievedIn(generation int64) Applied {
	if a.Generation != nil && *a.Generation != generation {
		a.IsConfirmed = false
	}
	return a
}

// recordGeneration records that a list of the configuration comes from the start of this
// process, or is the first since the store was restored. The store may then have lost a version
// that removed keys, so that the other entries are asked for the newest one. An entry without any
// confirmation yet counts as one that starts.
func (f *Follower) recordGeneration(c platform.ConfigRead, now time.Duration) {
	generation := c.Position.Generation()
	if f.hasRead && f.generation == generation {
		return
	}
	if f.hasRead {
		event.StoreRestored.Log(f.log, "generation", generation, "before", f.generation)
		f.start = instance.LaterStart // a missing record no longer means that there was none
	}
	f.isStarting = f.confirmedAt.Load() < 0
	hasLostTouch := f.wasSuspended || f.mayHaveMissed && !f.isConfirmed(now)
	f.isOutOfTouch.Store(f.hasRead && hasLostTouch && !f.isWrittenAgain(c))
	f.generation, f.hasRead = generation, true
	f.isWritten = false
	f.confirmedIn.Store(noGeneration)
	f.storedVersion, f.askedFrom, f.askUntil, f.askPause = 0, now, now+balance.ExpiryPeriod, minConfigWait
	if f.isStarting {
		f.vouchesFrom.Store(int64(f.askUntil))
	}
}

// recordFailure records that a read of the configuration that was requested at a boot time has
// failed. A store that closes its connections is away for everyone, and nothing is written there
// meanwhile; one that is silent or answers with a failure may still serve the operator.
func (f *Follower) recordFailure(err error, requestedAt time.Duration) {
	wasSuspended := process.BootTime()-requestedAt > healthyRunTime
	if wasSuspended || !errors.Is(err, platform.ErrClosed) && !errors.Is(err, platform.ErrHistoryGone) {
		f.mayHaveMissed = true
	}
}

// isWrittenAgain reports whether the operator has written the version in force again since the
// store was restored. A copy has it where it was, unless that was written between two restores.
func (f *Follower) isWrittenAgain(c platform.ConfigRead) bool {
	t, was := f.table.Load(), f.tableWritten
	return t != nil && c.Table != nil && c.Table.Version() == t.Version() &&
		c.Written.Generation() == was.Generation()+1 && c.Written.Revision() != was.Revision()
}

// askOthers learns the newest version that other entries have applied, and reports whether it
// is known, or could not be learned in time.
func (f *Follower) askOthers(ctx context.Context) bool {
	if f.askUntil == 0 {
		return true
	}
	record := unreadRecord
	if f.isStarting || f.isOutOfTouch.Load() {
		record = f.readRecord(ctx)
	}
	others, err := f.sink.Applied(ctx)
	f.knownVersion.Store(max(f.knownVersion.Load(), others.Version))
	now := process.BootTime()
	source := f.source(record, others, err)
	if source == unknownSource {
		if now < f.askUntil {
			event.AppliedVersionUnknown.Log(f.log, "error", unknownCause(err), "record", record.String())
			f.askPause = min(2*f.askPause, askInterval)
			return false
		}
		source = waitedSource
	}
	if source == recordSource || source == operatorSource || source == firstStartSource && f.start == instance.FirstStart {
		f.vouchesFrom.Store(int64(min(now, time.Duration(f.vouchesFrom.Load()))))
	}
	event.ConfigTrusted.Log(f.log, "generation", f.generation, "version", f.storedVersion, "source", string(source), "record", record.String(), "asked-ms", (now - f.askedFrom).Milliseconds())
	f.askUntil, f.isStarting = 0, false
	f.isOutOfTouch.Store(false)
	return true
}

// source is what shows that this entry knows each version that the store may have lost.
type source string

const (
	unknownSource    source = ""
	entrySource      source = "another entry"
	recordSource     source = "record in the store"
	firstStartSource source = "first start"
	operatorSource   source = "operator's write"
	inTouchSource    source = "this entry"
	waitedSource     source = "none, the operator has had time to write"
)

// source returns what shows that the newest version is known: this entry or one of the others
// has read all versions that the store may have lost, or the store has lost none.
func (f *Follower) source(record recordState, others Applied, err error) source {
	switch {
	case record == recordedNow:
		return recordSource
	case others.IsConfirmed:
		return entrySource
	case f.isWritten:
		return operatorSource
	case f.isOutOfTouch.Load() || err != nil:
		return unknownSource
	case !f.isStarting:
		return inTouchSource
	case record == notRecorded && f.start != instance.LaterStart && !others.IsWithheld:
		return firstStartSource
	default:
		return unknownSource
	}
}

// unknownCause returns why the other entries have not told the newest version.
func unknownCause(err error) string {
	if err != nil {
		return err.Error()
	}
	return "no other entry has been in touch with the store"
}

// listTimes tells which list is the first one of a restored store, and when the lists after
// it are due.
type listTimes struct {
	// generation is that of the store at the latest list, which was at listedAt.
	generation int64
	listedAt   time.Time
	// restoredAt is the time of the first list of the restored store; zero if there was
	// none.
	restoredAt time.Time
}

// record records a list, and reports whether it is the first one of a restored store.
func (l *listTimes) record(generation int64, now time.Time) bool {
	isFirst := !l.listedAt.IsZero() && generation != l.generation
	l.generation, l.listedAt = generation, now
	if isFirst {
		l.restoredAt = now
	}
	return isFirst
}

// untilNext returns how long a watch may wait if there is to be a list after each of the
// periods since the store was restored, in rising order; 0 if one is due.
func (l *listTimes) untilNext(now time.Time, periods ...time.Duration) time.Duration {
	for _, period := range periods {
		if due := l.restoredAt.Add(period); l.listedAt.Before(due) {
			return min(listWatchWait, max(0, due.Sub(now)))
		}
	}
	return listWatchWait
}
