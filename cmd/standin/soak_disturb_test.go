package main

import (
	"sync"
	"time"
)

// disturbance is a time in which an entry does not run as usual; end is zero while it
// lasts.
type disturbance struct{ start, end time.Time }

// disturbances records when entries were disturbed. The zero value is ready to use, and
// safe for concurrent use.
type disturbances struct {
	mu      sync.Mutex
	byEntry map[*soakEntry][]*disturbance
}

// begin records that an entry is disturbed until the returned function is called.
func (d *disturbances) begin(e *soakEntry) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byEntry == nil {
		d.byEntry = map[*soakEntry][]*disturbance{}
	}
	one := &disturbance{start: time.Now()}
	d.byEntry[e] = append(d.byEntry[e], one)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		one.end = time.Now()
	}
}

// isUndisturbed reports whether an entry ran as usual from one time to another.
func (d *disturbances) isUndisturbed(e *soakEntry, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, one := range d.byEntry[e] {
		if one.start.Before(to) && (one.end.IsZero() || one.end.After(from)) {
			return false
		}
	}
	return true
}
