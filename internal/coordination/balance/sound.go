package balance

import "time"

// maxOvertaken is the number of overtaken attempts in a row, without any answer, from which a
// target counts as failed. Second requests are a fifth of the first attempts at most, so that
// a target that is as fast as the others hardly ever gets there.
const maxOvertaken = 4

// isSound reports whether nothing is known against the target but its load.
func (m *member) isSound(now time.Time) bool {
	_, isLimited := m.notice.rateLimit()
	return !isLimited && !m.isSlow(now) && m.failures == 0 && !m.group.suspect && !m.target.IsGroupBroken
}

// ServiceLoad is the load of a service as known to this entry.
type ServiceLoad struct {
	// Queued is the number of this entry's queued requests.
	Queued int
	// InUse is the number of slots in use and Slots that of all slots, of the targets whose
	// number of slots is known.
	InUse, Slots int
}

// Load returns the load of a service.
func (f *Fleet) Load(service string, now time.Time) ServiceLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out ServiceLoad
	for _, t := range f.queue {
		if t.request.Service == service {
			out.Queued++
		}
	}
	for _, m := range f.services[service] {
		if m.target.Slots > 0 && m.isUsable(f.dataCentresOut) {
			out.InUse += min(m.load(now), m.target.Slots)
			out.Slots += m.target.Slots
		}
	}
	return out
}

// IsTargetSuspect reports whether the target is suspended after a failure or silence, or
// its group suspect. A refusal for lack of capacity is not a reason.
func (l *Lease) IsTargetSuspect(now time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	m := l.member
	return m.group.suspect || now.Before(m.silentUntil) || m.failures > 0 && now.Before(m.suspendedUntil)
}

// RecordOvertaken records that another target answered the request sooner, a time after this
// one got it. That is less than this one would have taken; if it were left out, a slow target
// would look fast whose answers are always overtaken. A target that is overtaken
// maxOvertaken times in a row without any answer counts as failed: it may be unreachable.
func (l *Lease) RecordOvertaken(after time.Duration, now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	m := l.member
	if !l.stream {
		m.recordLatency(max(after, m.meanLatency))
	}
	m.overtaken++
	if m.lastEventAt.After(l.grantedAt) {
		m.overtaken = 0
	}
	if m.overtaken >= maxOvertaken {
		m.overtaken = 0
		m.recordFailure(now)
	}
}
