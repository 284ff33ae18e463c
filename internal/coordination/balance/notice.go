package balance

import "time"

// maxNotices bounds the notices of targets that are not listed.
const maxNotices = 4096

// notice is what a target has said of itself in its answers. It is more recent than the
// list of targets, and outlasts a target's absence from it.
type notice struct {
	// startedAtMs identifies the run of the target that said so.
	startedAtMs int64
	// isLeaving is set once the target is leaving.
	isLeaving bool
	// backoffUntil is when the target accepts requests of this entry again.
	backoffUntil time.Time
	limit        namedLimit
}

// RecordLeaving records that the target said that it is leaving. It gets no further
// requests. The result is false if that is known already.
func (l *Lease) RecordLeaving() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	n := l.fleet.noticeOf(l.target.ID, l.target.StartedAtMs)
	if n == nil || n.isLeaving {
		return false
	}
	n.isLeaving = true
	return true
}

// RecordBackoff records that the target wants no request of this entry for a time.
func (l *Lease) RecordBackoff(backoff time.Duration, now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if n := l.fleet.noticeOf(l.target.ID, l.target.StartedAtMs); n != nil {
		n.backoffUntil = later(n.backoffUntil, now.Add(backoff))
	}
}

// noticeOf returns the notice of one run of a target, and adds one if there is none. It
// is nil if a later run is known.
func (f *Fleet) noticeOf(id string, startedAtMs int64) *notice {
	m, n := f.members[id], f.notices[id]
	if n != nil && n.startedAtMs > startedAtMs || m != nil && m.target.StartedAtMs > startedAtMs {
		return nil
	}
	if n == nil || n.startedAtMs != startedAtMs {
		if len(f.notices) >= maxNotices {
			f.removeUnlistedNotices()
		}
		n = &notice{startedAtMs: startedAtMs}
		f.notices[id] = n
	}
	if m != nil && m.target.StartedAtMs == startedAtMs {
		m.notice = n
	}
	return n
}

func (f *Fleet) removeUnlistedNotices() {
	for id := range f.notices {
		if f.members[id] == nil {
			delete(f.notices, id)
		}
	}
}

// linkNotice gives a member the notice of its target. One of an earlier run is dropped,
// and one of a later run kept until the list has that run.
func (f *Fleet) linkNotice(m *member) {
	n := f.notices[m.target.ID]
	m.notice = nil
	switch {
	case n == nil || n.startedAtMs > m.target.StartedAtMs:
	case n.startedAtMs < m.target.StartedAtMs:
		delete(f.notices, m.target.ID)
	default:
		m.notice = n
	}
}

// backoffRemaining returns how much longer the target wants no requests.
func (n *notice) backoffRemaining(now time.Time) time.Duration {
	if n == nil {
		return 0
	}
	return max(n.backoffUntil.Sub(now), 0)
}

// WaitForTarget returns the time until the first of a service's targets accepts a request
// of this entry again, if all usable ones have asked for a pause or have got what this
// entry may send under their limits; 0 otherwise.
func (f *Fleet) WaitForTarget(service string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waitForTarget(service, now)
}

func (f *Fleet) waitForTarget(service string, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, m := range f.services[service] {
		if !m.isUsable(f.dataCentresOut) {
			continue
		}
		wait := max(m.notice.backoffRemaining(now), f.waitForLimit(m, now))
		if wait <= 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
