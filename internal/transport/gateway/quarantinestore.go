package gateway

import (
	"context"
	"errors"
	"time"

	"bluebellcrank/internal/coordination/quarantine"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
)

const (
	// quarantineRetryDelay is the time between attempts to read or write the
	// quarantined keys in the store.
	quarantineRetryDelay = time.Second
	// maxClockDifference bounds the difference of the clocks of two entries, of which
	// one reads what the other has stored.
	maxClockDifference = 5 * time.Second
)

// save has the state of keys written to the store.
func (q *quarantineList) save(keys []quarantine.Key) {
	for _, k := range keys {
		select {
		case q.unsaved <- k:
		default:
			event.QuarantineNotStored.Log(q.log, "error", "too many quarantined keys wait for the store", "key", keyName(k))
		}
	}
}

// syncStore reads the quarantined keys from the store, and then writes those that change, and
// all of them once the store was restored.
func (q *quarantineList) syncStore(ctx context.Context) {
	q.repeat(ctx, q.load)
	saved, _ := q.store.Generation()
	for {
		generation, restored := q.store.Generation()
		if generation != saved {
			saved = generation
			for _, k := range q.quarantined(process.BootTime()) {
				q.repeat(ctx, func(ctx context.Context) error { return q.write(ctx, k) })
			}
		}
		select {
		case k := <-q.unsaved:
			q.repeat(ctx, func(ctx context.Context) error { return q.write(ctx, k) })
		case <-restored:
		case <-ctx.Done():
			return
		}
	}
}

// quarantined returns all keys that are quarantined.
func (q *quarantineList) quarantined(now time.Duration) []quarantine.Key {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []quarantine.Key
	for _, r := range q.list.Reports(0, now) {
		if q.list.IsQuarantined(r.Key) {
			out = append(out, r.Key)
		}
	}
	return out
}

// repeat runs f until it succeeds or the context ends.
func (q *quarantineList) repeat(ctx context.Context, f func(context.Context) error) {
	for ctx.Err() == nil {
		err := f(ctx)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			event.QuarantineNotStored.Log(q.log, "error", err.Error())
		}
		select {
		case <-time.After(quarantineRetryDelay):
		case <-ctx.Done():
		}
	}
}

// load adds the quarantined keys of the store, and removes those that have expired.
func (q *quarantineList) load(ctx context.Context) error {
	askedAt := process.BootTime()
	stored, invalid, err := q.store.Quarantined(ctx)
	if err != nil {
		return err
	}
	for _, err := range invalid {
		event.QuarantineNotStored.Log(q.log, "error", err.Error())
	}
	var reports []quarantine.Report
	for _, s := range stored {
		age := max(time.Since(s.StoredAt), 0)
		if age < quarantine.RecordLifetime {
			reports = append(reports, s.Report.AsOf(age, maxClockDifference))
			continue
		}
		if err := q.store.RemoveQuarantined(ctx, s.Name); err != nil && !errors.Is(err, platform.ErrNotFound) {
			event.QuarantineNotStored.Log(q.log, "error", err.Error())
		}
	}
	q.update(func(l *quarantine.List) quarantine.Changes { return l.Merge(reports, askedAt, process.BootTime()) }, "store")
	return nil
}

// write stores a key that is quarantined, or removes one that no longer is.
func (q *quarantineList) write(ctx context.Context, k quarantine.Key) error {
	q.mu.Lock()
	report, isQuarantined := q.list.ReportOf(k, process.BootTime()), q.list.IsQuarantined(k)
	q.mu.Unlock()
	if isQuarantined {
		return q.store.PutQuarantined(ctx, platform.QuarantinedKey{Name: keyName(k), Report: report, StoredAt: time.Now()})
	}
	if err := q.store.RemoveQuarantined(ctx, keyName(k)); !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	return nil
}
