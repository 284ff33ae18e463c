package confirmation

import (
	"math"
	"sync"
	"time"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/instance"
)

const (
	// WritePeriod is the time from the first read of a restored store after which the operator
	// counts as having written again what it lost.
	WritePeriod = balance.ExpiryPeriod
	// minAskPause and maxAskPause bound the pause between two questions to other entries during
	// a gap, which doubles.
	minAskPause, maxAskPause = 200 * time.Millisecond, time.Second
	// NoGeneration stands for no generation of the store.
	NoGeneration = -1
	// never is the time of a confirmation that did not happen.
	never = -time.Hour
)

// Tracker knows until when the configuration of this entry was the newest. It is safe for
// concurrent use.
type Tracker struct {
	mu sync.Mutex
	// start is what the platform says of the start of this process.
	start instance.Start
	// confirmedAt is the latest time of which it is known that the store had acknowledged no
	// version that is unknown here; confirmedIn is the generation in which the store confirmed
	// that, or NoGeneration since it was restored.
	confirmedAt time.Duration
	confirmedIn int64
	// vouchesFrom is when others may begin to believe this entry. One that has just started may
	// have followed a copy.
	vouchesFrom time.Duration
	// generation is that of the store at the latest list, and hasRead is set after the first.
	generation int64
	hasRead    bool
	// stored is the newest version that the store was seen to have in this generation, applied
	// the one in force here, and known the newest one that any entry has applied.
	stored, applied, known int64
	gap                    gap
}

// gap is the time since the latest confirmation, in which a version may have been lost.
type gap struct {
	isOpen bool
	// isStart is set if nothing was confirmed here before, and isRestored if the store was
	// restored while this process followed it.
	isStart, isRestored bool
	// isWritten is set once the operator has written since the restore.
	isWritten bool
	// openedAt is the time of the first list, and endsAt when the operator has had time to write.
	openedAt, endsAt time.Duration
	askPause         time.Duration
}

// NewTracker returns a tracker of an entry whose process has just started.
func NewTracker(start instance.Start) *Tracker {
	return &Tracker{start: start, confirmedAt: never, confirmedIn: NoGeneration, vouchesFrom: math.MaxInt64}
}

// RecordList records a list that was read in a generation, and reports whether it is the first one
// since the store was restored. isRewritten is set if the list shows that the operator has written
// the version in force again.
func (t *Tracker) RecordList(generation int64, isRewritten bool, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasRead && t.generation == generation {
		return false
	}
	isRestored := t.hasRead
	if isRestored {
		t.start = instance.LaterStart // a missing record no longer means that there was none
	}
	t.gap = gap{
		isOpen: true, isStart: t.confirmedAt < 0, isRestored: isRestored,
		// A copy that was made since an unconfirmed write may have that write.
		isWritten: isRestored && isRewritten && t.confirmedIn == t.generation,
		openedAt:  now, endsAt: now + WritePeriod, askPause: minAskPause,
	}
	if t.gap.isStart {
		t.vouchesFrom = t.gap.endsAt
	}
	t.generation, t.hasRead, t.confirmedIn, t.stored = generation, true, NoGeneration, 0
	return isRestored
}

// RecordStored records that the store has a version of the configuration.
func (t *Tracker) RecordStored(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stored = max(t.stored, version)
}

// RecordApplied records that a version is in force at this entry.
func (t *Tracker) RecordApplied(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applied = version
	t.known = max(t.known, version)
}

// RecordWrite records that the operator was seen to write.
func (t *Tracker) RecordWrite() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gap.isWritten = t.gap.isWritten || !t.isLost()
}

// Confirm records that every version that the store had at a time was read, unless it may have
// lost one.
func (t *Tracker) Confirm(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gap.isOpen || t.isLost() {
		return
	}
	t.confirmedAt = max(t.confirmedAt, at)
	t.confirmedIn = t.generation
}

// isLost reports whether the store lacks a version that was applied.
func (t *Tracker) isLost() bool { return t.stored < t.known }

// Lost returns the newest version in the store and the newest one that is known, and reports
// whether the store has lost the latter.
func (t *Tracker) Lost() (stored, known int64, isLost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stored, t.known, t.isLost()
}

// Age returns the time for which the configuration is not known to be the newest.
func (t *Tracker) Age(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.confirmedAt
}

// Generation returns the generation of the store at the latest list.
func (t *Tracker) Generation() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// ConfirmedGeneration returns the generation in which the configuration is confirmed, or
// NoGeneration if others must not believe that at a time yet.
func (t *Tracker) ConfirmedGeneration(now time.Duration) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now < t.vouchesFrom {
		return NoGeneration
	}
	return t.confirmedIn
}

// HasGap reports whether a version may have been lost that this entry never read.
func (t *Tracker) HasGap() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gap.isOpen
}

// UntilQuestion returns the pause until other entries are to be asked again during a gap.
func (t *Tracker) UntilQuestion(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minAskPause, min(t.gap.askPause, t.gap.endsAt-now))
}

// Evidence is what an entry has found out during a gap.
type Evidence struct {
	Record RecordState
	Others Others
	// Err is set if there are other entries and none of them has answered.
	Err error
}

// Outcome is what follows from evidence.
type Outcome struct {
	// Source is Unknown as long as the gap stays open.
	Source Source
	// Generation and Version are those of the store.
	Generation, Version int64
	// Open is the time since the gap was found.
	Open time.Duration
}

// RecordEvidence ends the gap if the evidence shows that no version is unknown here. Otherwise, the
// time up to which another entry knows all versions counts here too, unless this one starts: what
// it has read is the copy.
func (t *Tracker) RecordEvidence(e Evidence, now time.Duration) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = max(t.known, e.Others.Version)
	if t.gap.isRestored && t.applied >= t.known && e.Others.CompleteAt > 0 {
		t.confirmedAt = max(t.confirmedAt, e.Others.CompleteAt)
	}
	if e.Others.ReadAt > 0 {
		t.gap.endsAt = min(t.gap.endsAt, e.Others.ReadAt+WritePeriod)
	}
	s := t.source(e)
	if s == Unknown && now >= t.gap.endsAt {
		s = Waited
	}
	if s == Unknown {
		t.gap.askPause = min(2*t.gap.askPause, maxAskPause)
	} else {
		t.gap.isOpen = false
	}
	if s == StoreRecord || s == OperatorWrite || s == FirstStart && t.start == instance.FirstStart {
		t.vouchesFrom = min(now, t.vouchesFrom)
	}
	return Outcome{Source: s, Generation: t.generation, Version: t.stored, Open: now - t.gap.openedAt}
}

// source returns what shows that no version is unknown here, but for the time that has passed.
func (t *Tracker) source(e Evidence) Source {
	switch {
	case e.Record == RecordedNow:
		return StoreRecord
	case e.Others.IsConfirmed:
		return AnotherEntry
	case t.gap.isWritten:
		return OperatorWrite
	case t.gap.isRestored || e.Err != nil:
		return Unknown
	case e.Record == NotRecorded && t.start != instance.LaterStart && !e.Others.IsWithheld:
		return FirstStart
	default:
		return Unknown
	}
}
