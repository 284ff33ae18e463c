package follower

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/coordination/confirmation"
	"bluebellcrank/internal/state/instance"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
	"bluebellcrank/platform/standin"
)

// kindOfRecords is the kind of the objects that record confirmed generations.
const kindOfRecords = "bluebellcrank-confirmed-generations"

// TestStartTellsARestoredStore guards against a follower that starts and takes a store that came
// back from a copy for one that lost nothing, and the other way round.
func TestStartTellsARestoredStore(t *testing.T) {
	tests := []struct {
		name  string
		start instance.Start
		// records are the generations that the copy has; -1 stands for an object that is no
		// record. restores is how often the store came back from it, and recordedLater is set
		// if another entry records the present generation afterwards.
		records       []int64
		restores      int
		recordedLater bool
		others        confirmation.Others
		err           error
		isSoon        bool
	}{
		{name: "first start", start: instance.FirstStart, isSoon: true},
		{name: "no record, a start of unknown kind", isSoon: true},
		{name: "no record, a later start", start: instance.LaterStart},
		{name: "no record, a later start beside one in touch", start: instance.LaterStart, others: confirmation.Others{IsConfirmed: true}, isSoon: true},
		{name: "recorded", start: instance.LaterStart, records: []int64{1}, isSoon: true},
		{name: "recorded, no other answers", records: []int64{1}, err: errors.New("no answer"), isSoon: true},
		{name: "recorded, another one is out of touch", records: []int64{1}, others: confirmation.Others{IsWithheld: true}, isSoon: true},
		{name: "restored", records: []int64{1}, restores: 1},
		{name: "restored, said to be the first start", start: instance.FirstStart, records: []int64{1}, restores: 1},
		{name: "restored twice", records: []int64{1, 2}, restores: 2},
		{name: "restored, another one in touch", records: []int64{1}, restores: 1, others: confirmation.Others{IsConfirmed: true}, isSoon: true},
		{name: "restored, then recorded", records: []int64{1}, restores: 1, recordedLater: true, isSoon: true},
		{name: "an object that is no record", records: []int64{-1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := standin.NewStore()
			store.Put("config", "main", map[string]any{"version": 1, "routes": []any{}, "services": []any{}})
			for _, generation := range tt.records {
				if generation < 0 {
					store.Put(kindOfRecords, "other", "of another writer")
					continue
				}
				store.Put(kindOfRecords, "copied", map[string]any{"generation": generation})
			}
			copied := store.Copy()
			for range tt.restores {
				store.Restore(copied)
			}
			server := httptest.NewServer(store)
			defer server.Close()
			f := newStartedFollower(server, tt.start, func(context.Context) (confirmation.Others, error) { return tt.others, tt.err }, 4*time.Second)
			defer f.Close()
			isConfirmed := func() bool { return f.isConfirmed(process.BootTime()) }
			if tt.recordedLater {
				time.Sleep(soon)
				c.Check(isConfirmed(), qt.IsFalse)
				store.Put(kindOfRecords, "later", map[string]any{"generation": tt.restores + 1})
			}
			if !tt.isSoon {
				time.Sleep(balance.ExpiryPeriod - 100*time.Millisecond)
				c.Check(isConfirmed(), qt.IsFalse)
			}
			eventually(c, soon, isConfirmed)
		})
	}
}

// TestConfirmationIsRecordedOnce guards against a generation that is not recorded after a restore,
// records that pile up, and writes at each confirmation.
func TestConfirmationIsRecordedOnce(t *testing.T) {
	c := qt.New(t)
	store := standin.NewStore()
	write := func() {
		store.Put("config", "main", map[string]any{"version": 1, "routes": []any{}, "services": []any{}})
	}
	write()
	server := httptest.NewServer(store)
	defer server.Close()
	reader := platform.NewStore(server.Listener.Addr().String())
	recorded := func() []int64 {
		records, _, _, err := reader.ConfirmedGenerations(t.Context())
		c.Assert(err, qt.IsNil)
		var out []int64
		for _, r := range records {
			out = append(out, r.Generation())
		}
		return out
	}
	f := newStartedFollower(server, instance.FirstStart, func(context.Context) (confirmation.Others, error) { return confirmation.Others{}, nil }, 4*time.Second)
	defer f.Close()
	for generation := range int64(3) {
		eventually(c, balance.ExpiryPeriod, func() bool { r := recorded(); return len(r) == 1 && r[0] == generation+1 })
		revision := store.Revision()
		time.Sleep(soon)
		c.Check(store.Revision(), qt.Equals, revision)
		store.Restore(store.Copy())
		write()
	}
}

// TestRecorderRetries checks when a generation is recorded, and again after failures.
func TestRecorderRetries(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := newRecorder()
	c.Check(r.isDue(confirmation.NoGeneration, now), qt.IsFalse)
	for _, delay := range []time.Duration{recordInterval, 2 * recordInterval, 4 * recordInterval} {
		c.Check(r.isDue(1, now), qt.IsTrue)
		r.update(1, errors.New("no answer"), now)
		c.Check(r.isDue(1, now.Add(delay-time.Millisecond)), qt.IsFalse)
		now = now.Add(delay)
	}
	r.update(1, nil, now)
	c.Check(r.isDue(1, now.Add(maxRecordDelay)), qt.IsFalse)
	c.Check(r.isDue(2, now), qt.IsTrue)
}
