package follower

import (
	"context"
	"time"

	"bluebellcrank/internal/coordination/confirmation"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
)

const (
	// recordInterval is the time between two checks whether a confirmation has to be recorded.
	recordInterval = 250 * time.Millisecond
	// maxRecordDelay is the longest delay after a failed record.
	maxRecordDelay = 4 * time.Second
)

// readRecord reads from the store in which generation the configuration was last confirmed.
func (f *Follower) readRecord(ctx context.Context, generation int64) confirmation.RecordState {
	records, readIn, invalid, err := f.store.ConfirmedGenerations(ctx)
	if err != nil {
		event.ConfirmationNotRecorded.Log(f.log, "call", "read", "error", err.Error())
		return confirmation.UnreadRecord
	}
	for _, err := range invalid {
		event.ConfirmationNotRecorded.Log(f.log, "call", "read", "error", err.Error())
	}
	if readIn != generation {
		return confirmation.UnreadRecord
	}
	state := confirmation.NotRecorded
	if len(invalid) > 0 {
		state = confirmation.RecordedEarlier
	}
	for _, r := range records {
		if r.Generation() == generation {
			return confirmation.RecordedNow
		}
		state = confirmation.RecordedEarlier
	}
	return state
}

// recorder records confirmations that other entries may believe, once in each generation.
type recorder struct {
	// recorded is the latest generation that was recorded.
	recorded int64
	// retryAt is when a failed record is tried again, after a delay that doubles.
	retryAt time.Time
	delay   time.Duration
}

func newRecorder() *recorder {
	return &recorder{recorded: confirmation.NoGeneration, delay: recordInterval}
}

// isDue reports whether a generation in which the configuration is confirmed is to be recorded.
func (r *recorder) isDue(confirmed int64, now time.Time) bool {
	return confirmed != confirmation.NoGeneration && confirmed != r.recorded && !now.Before(r.retryAt)
}

// update records the outcome of a record of a generation.
func (r *recorder) update(generation int64, err error, now time.Time) {
	if err == nil {
		r.recorded, r.delay = generation, recordInterval
		return
	}
	r.retryAt = now.Add(r.delay)
	r.delay = min(2*r.delay, maxRecordDelay)
}

// recordConfirmations records in the store in which generation it was confirmed, until the
// context ends.
func (f *Follower) recordConfirmations(ctx context.Context) {
	r := newRecorder()
	process.Every(recordInterval, ctx.Done(), func(now time.Time) {
		boot := process.BootTime()
		confirmed := f.confirmations.ConfirmedGeneration(boot)
		if !f.isConfirmed(boot) || !r.isDue(confirmed, now) {
			return
		}
		err := f.store.RecordConfirmed(ctx, confirmed)
		if err != nil && ctx.Err() == nil {
			event.ConfirmationNotRecorded.Log(f.log, "call", "write", "generation", confirmed, "error", err.Error())
		}
		r.update(confirmed, err, now)
	})
}
