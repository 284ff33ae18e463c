package confirmation

import "time"

// Applied is what entries tell each other of the configuration. Like those of the other
// messages, its fields are exported, because they are plain decoded values.
type Applied struct {
	// Version is the newest version that is known to be applied; 0 if none is.
	Version int64 `json:"version"`
	// IsConfirmed is set if the store has confirmed the configuration recently enough to
	// serve keys, and the entry did not start in the last seconds.
	IsConfirmed bool `json:"confirmed"`
	// Generation is that of the store in which it was confirmed; nil if it was not.
	Generation *int64 `json:"generation,omitempty"`
	// CompleteMsAgo is the time, in milliseconds, for which the entry may not know each version
	// that the store has acknowledged; nil if others are not to rely on it.
	CompleteMsAgo *int64 `json:"complete-ms-ago,omitempty"`
	// ReadGeneration is the generation of the store that the entry reads, and ReadMsAgo the time
	// in milliseconds since its first read in it; nil if it has read none.
	ReadGeneration *int64 `json:"read-generation,omitempty"`
	ReadMsAgo      int64  `json:"read-ms-ago,omitempty"`
	// IsWithheld is set if the entry is out of touch with the store, or has a gap since the
	// store was restored, so that a version may have been lost that the entry has never read.
	IsWithheld bool `json:"withheld"`
}

// Applied returns what this entry tells others, if keys are served for a time after a
// confirmation.
func (t *Tracker) Applied(lifetime, now time.Duration) Applied {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := now - t.confirmedAt
	isConfirmed, wasConfirmed, mayVouch := age <= lifetime, t.confirmedAt >= 0, now >= t.vouchesFrom
	a := Applied{
		Version:     t.known,
		IsConfirmed: isConfirmed && mayVouch,
		IsWithheld:  t.gap.isOpen && t.gap.isRestored || wasConfirmed && !isConfirmed,
	}
	if a.IsConfirmed {
		generation := t.confirmedIn
		a.Generation = &generation
	}
	if wasConfirmed && mayVouch {
		ms := age.Milliseconds() + 1 // rounded up
		a.CompleteMsAgo = &ms
	}
	if t.hasRead {
		generation := t.generation
		a.ReadGeneration, a.ReadMsAgo = &generation, (now - t.gap.openedAt).Milliseconds()
	}
	return a
}

// Others is what other entries have told together.
type Others struct {
	// Version is the newest version that any of them knows to be applied.
	Version int64
	// CompleteAt is the latest time up to which one of them knows each version that the store
	// has acknowledged; 0 if none has told it.
	CompleteAt time.Duration
	// ReadAt is a time by which one of them had read the store in its generation; 0 if none has
	// told it.
	ReadAt time.Duration
	// IsConfirmed is set if one of them is confirmed in the store's generation, and IsWithheld
	// if one may have missed a version.
	IsConfirmed, IsWithheld bool
}

// Add adds what one entry told between two times, while the store was in a generation. A
// confirmation holds for its own generation only: an entry that was paused answers before it has
// heard of a restore. Entries of earlier versions, which do not say until when they know each
// version, count a restored store as confirmed although they have a gap.
func (o *Others) Add(a Applied, generation int64, askedAt, answeredAt time.Duration) {
	o.Version = max(o.Version, a.Version)
	o.IsWithheld = o.IsWithheld || a.IsWithheld
	if a.ReadGeneration != nil && *a.ReadGeneration == generation {
		readAt := answeredAt - time.Duration(a.ReadMsAgo)*time.Millisecond
		if o.ReadAt == 0 || readAt < o.ReadAt {
			o.ReadAt = readAt
		}
	}
	if a.CompleteMsAgo == nil {
		return
	}
	o.CompleteAt = max(o.CompleteAt, askedAt-time.Duration(*a.CompleteMsAgo)*time.Millisecond)
	o.IsConfirmed = o.IsConfirmed || a.IsConfirmed && a.Generation != nil && *a.Generation == generation
}
