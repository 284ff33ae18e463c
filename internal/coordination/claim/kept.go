package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// keepPeriod is how long a record is kept. A store that is restored may lose what was
	// written in the seconds before.
	keepPeriod = time.Minute
	// expireInterval is the time between two removals of older records.
	expireInterval = time.Second
)

// Entry is a record with the name of the object that stores it.
type Entry struct {
	Key    string `json:"key"`
	Record Record `json:"record"`
}

// Kept contains the records that an agent, or one whose backup it is, has written in the
// last minute, to write them again if the platform loses them. It is not safe for concurrent use.
type Kept struct {
	byAttempt map[string]keptEntry
	expiredAt time.Time
}

type keptEntry struct {
	entry  Entry
	keptAt time.Time
}

// NewKept returns an empty set.
func NewKept() *Kept { return &Kept{byAttempt: map[string]keptEntry{}} }

// Add keeps a record that the platform has acknowledged, and removes expired ones.
func (k *Kept) Add(e Entry, now time.Time) {
	k.byAttempt[e.Record.Attempt] = keptEntry{entry: e, keptAt: now}
	if now.Sub(k.expiredAt) < expireInterval {
		return
	}
	k.expiredAt = now
	for attempt, e := range k.byAttempt {
		if now.Sub(e.keptAt) > keepPeriod {
			delete(k.byAttempt, attempt)
		}
	}
}

// Remove removes the record of an attempt that never runs.
func (k *Kept) Remove(attempt string) { delete(k.byAttempt, attempt) }

// Entries returns the records that are kept, those first that were written last: a copy of the
// store lacks these.
func (k *Kept) Entries() []Entry {
	kept := slices.SortedFunc(maps.Values(k.byAttempt), func(a, b keptEntry) int { return b.keptAt.Compare(a.keptAt) })
	return lo.Map(kept, func(e keptEntry, _ int) Entry { return e.entry })
}
