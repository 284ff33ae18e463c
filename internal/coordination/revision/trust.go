package revision

import "time"

// trustPeriod is how long a process serves without word from the platform or
// from a peer outside its data centre; it lies below the three seconds after
// which a data centre that was taken out gets no new work.
const trustPeriod = 2 * time.Second

// IsolationDetector follows whether a process would hear that its data centre was taken
// out. A platform outage alone does not end it: peers elsewhere still answer.
type IsolationDetector struct {
	heard  time.Time
	single bool
}

// NewIsolationDetector starts without any word.
func NewIsolationDetector() *IsolationDetector {
	return &IsolationDetector{}
}

// RecordContact takes word from the platform or from a peer outside the data centre,
// as of the time at which the question was sent.
func (t *IsolationDetector) RecordContact(at time.Time) {
	if at.After(t.heard) {
		t.heard = at
	}
}

// SetSingleDataCentre says that no instance stands outside the data centre, so that
// only the platform could bring word.
func (t *IsolationDetector) SetSingleDataCentre(single bool) { t.single = single }

// Isolated reports whether new work must be refused. With a single data
// centre a platform outage and a cut look alike, and serving goes on: there
// is no other place that the work could have moved to.
func (t *IsolationDetector) Isolated(now time.Time) bool {
	return !t.single && now.Sub(t.heard) > trustPeriod
}

// ContactAge returns how long ago the last word came.
func (t *IsolationDetector) ContactAge(now time.Time) time.Duration { return now.Sub(t.heard) }
