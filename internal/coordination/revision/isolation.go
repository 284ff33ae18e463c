package revision

import "time"

// isolationTimeout is how long a process accepts new work without contact with
// the platform or with a peer outside its data centre. It is shorter than the
// 3 s after which a data centre that was taken out of service gets no new work.
const isolationTimeout = 2 * time.Second

// IsolationDetector detects whether a process might not learn that its data centre
// was taken out of service. An outage of the platform alone does not isolate the
// process, because peers outside the data centre still respond. It is not safe for
// concurrent use.
type IsolationDetector struct {
	lastContact      time.Time
	singleDataCentre bool
}

// NewIsolationDetector returns a detector that has not recorded any contact.
func NewIsolationDetector() *IsolationDetector {
	return &IsolationDetector{}
}

// RecordContact records a response from the platform or from a peer outside the
// data centre, or the last such contact of a peer inside it. The time is the one at
// which the request was sent. A contact earlier than the last one is ignored.
func (d *IsolationDetector) RecordContact(at time.Time) {
	if at.After(d.lastContact) {
		d.lastContact = at
	}
}

// SetSingleDataCentre sets whether all instances are in one data centre, so that
// only the platform can be contacted.
func (d *IsolationDetector) SetSingleDataCentre(single bool) { d.singleDataCentre = single }

// Isolated reports whether new work must be refused. If all instances are in one
// data centre, a process is never isolated: it cannot tell an outage of the
// platform from a network partition, and there is no other data centre that could
// serve the work instead.
func (d *IsolationDetector) Isolated(now time.Time) bool {
	return !d.singleDataCentre && now.Sub(d.lastContact) > isolationTimeout
}

// ContactAge returns the time since the last contact.
func (d *IsolationDetector) ContactAge(now time.Time) time.Duration { return now.Sub(d.lastContact) }
