package follower

import (
	"context"
	"time"

	"bluebellcrank/internal/coordination/confirmation"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
)

// recordGeneration records the generation of a list of the configuration that was read at a boot
// time. After the start, and after the store was restored, it may lack a version that removed keys.
func (f *Follower) recordGeneration(c platform.ConfigRead, now time.Duration) {
	generation, before := c.Position.Generation(), f.confirmations.Generation()
	if f.confirmations.RecordList(generation, f.isWrittenAgain(c), now) {
		event.StoreRestored.Log(f.log, "generation", generation, "before", before, "proof-age-ms", f.ConfirmationAge(now).Milliseconds())
	}
}

// isWrittenAgain reports whether the operator has written the version in force again since the
// store was restored. A copy has it where it was, unless that was written between two restores.
func (f *Follower) isWrittenAgain(c platform.ConfigRead) bool {
	t, was := f.table.Load(), f.tableWritten
	return t != nil && c.Table != nil && c.Table.Version() == t.Version() &&
		c.Written.Generation() == was.Generation()+1 && c.Written.Revision() != was.Revision()
}

// askOthers looks for evidence that no version was lost that this entry has not read: in the store,
// which is in a generation, and at other entries.
func (f *Follower) askOthers(ctx context.Context, generation int64) {
	record := f.readRecord(ctx, generation)
	others, err := f.sink.Applied(ctx)
	o := f.confirmations.RecordEvidence(confirmation.Evidence{Record: record, Others: others, Err: err}, process.BootTime())
	if o.Source == confirmation.Unknown {
		event.AppliedVersionUnknown.Log(f.log, "error", unknownCause(err), "record", record.String(),
			"proof-age-ms", f.ConfirmationAge(process.BootTime()).Milliseconds())
		return
	}
	event.ConfigTrusted.Log(f.log, "generation", o.Generation, "version", o.Version, "source", string(o.Source), "record", record.String(), "asked-ms", o.Open.Milliseconds())
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
