package process

import (
	"sync/atomic"
	"time"
)

const (
	// PauseWatchInterval is the time between two calls of PauseWatch.Tick.
	PauseWatchInterval = 100 * time.Millisecond
	// minPause is the shortest time without a tick that counts as a pause.
	minPause = 400 * time.Millisecond
)

// PauseWatch detects that the process did not run for a while, so that times that it
// measured meanwhile are not taken for those of others. It is safe for concurrent use.
type PauseWatch struct {
	started time.Time
	// lastTick and pauseEnd are times since started in ns.
	lastTick, pauseEnd atomic.Int64
}

// NewPauseWatch returns a watch that has seen no pause.
func NewPauseWatch(now time.Time) *PauseWatch { return &PauseWatch{started: now} }

// Tick records that the process runs.
func (w *PauseWatch) Tick(now time.Time) {
	at := now.Sub(w.started)
	if last := w.lastTick.Swap(int64(at)); at-time.Duration(last) >= minPause {
		w.pauseEnd.Store(int64(at))
	}
}

// HasPaused reports whether the process paused at some time after since.
func (w *PauseWatch) HasPaused(since, now time.Time) bool {
	if now.Sub(w.started)-time.Duration(w.lastTick.Load()) >= minPause {
		return true
	}
	end := w.pauseEnd.Load()
	return end > 0 && end > int64(since.Sub(w.started))
}
