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
}

// RecordLeaving records that the target said that it is leaving. It gets no further
// requests. The result is false if that is known already.
func (l *Lease) RecordLeaving() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	n := l.fleet.noticeOf(l)
	isNew := !n.isLeaving
	n.isLeaving = true
	return isNew
}

// RecordBackoff records that the target wants no request of this entry for a time.
func (l *Lease) RecordBackoff(backoff time.Duration, now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	n := l.fleet.noticeOf(l)
	n.backoffUntil = later(n.backoffUntil, now.Add(backoff))
}

// noticeOf returns the notice of a lease's target, and adds one if there is none.
func (f *Fleet) noticeOf(l *Lease) *notice {
	id := l.target.ID
	n := f.notices[id]
	if n == nil || n.startedAtMs != l.target.StartedAtMs {
		if len(f.notices) >= maxNotices {
			f.removeUnlistedNotices()
		}
		n = &notice{startedAtMs: l.target.StartedAtMs}
		f.notices[id] = n
	}
	if m := f.members[id]; m != nil && m.target.StartedAtMs == n.startedAtMs {
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

// linkNotice gives a member the notice of its target, unless the target has started
// again since.
func (f *Fleet) linkNotice(m *member) {
	m.notice = f.notices[m.target.ID]
	if m.notice != nil && m.notice.startedAtMs != m.target.StartedAtMs {
		delete(f.notices, m.target.ID)
		m.notice = nil
	}
}

// backoffRemaining returns how much longer the target wants no requests.
func (n *notice) backoffRemaining(now time.Time) time.Duration {
	if n == nil {
		return 0
	}
	return max(n.backoffUntil.Sub(now), 0)
}

// BackoffRemaining returns the time until the first of a service's targets accepts
// requests again, if all usable ones have asked for a pause; 0 otherwise.
func (f *Fleet) BackoffRemaining(service string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := time.Duration(0)
	for _, m := range f.services[service] {
		if !m.isUsable(f.dataCentresOut) {
			continue
		}
		backoff := m.notice.backoffRemaining(now)
		if backoff == 0 {
			return 0
		}
		if remaining == 0 || backoff < remaining {
			remaining = backoff
		}
	}
	return remaining
}
