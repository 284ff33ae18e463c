package balance

import (
	"time"

	"bluebellcrank/internal/state/fleet"
)

// TargetsOverGoal returns the targets of the rank groups whose step time exceeds
// the gap goal. One of the group's targets may be slow. Groups whose agents tell this entry
// which ones are slow are left out.
func (f *Fleet) TargetsOverGoal(now time.Time) []fleet.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []fleet.Target
	for _, m := range f.members {
		isTold := now.Sub(m.group.pacesToldAt) < slowdownReportMaxAge
		if m.target.Group != "" && !isTold && m.isUsable(f.dataCentresOut) && m.notice.backoffRemaining(now) == 0 && m.group.isOverGoal(now) {
			out = append(out, m.target)
		}
	}
	return out
}

// SetSlowdown records the slowdown that an engine reports: 1 is normal speed, and
// a higher factor is slower.
func (f *Fleet) SetSlowdown(id string, slowdown float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		m.slowdown, m.slowdownReportedAt = slowdown, now
	}
}

// SetEnginePace records the pace of the engine at an address, as the agents of its rank group
// know it, and returns the target and the pace that was known before, 1 if none was. It
// returns the pace itself for an address without a target.
func (f *Fleet) SetEnginePace(address string, pace float64, now time.Time) (t fleet.Target, before float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.target.Address != address {
			continue
		}
		if before = 1; now.Sub(m.slowdownReportedAt) < slowdownReportMaxAge {
			before = m.slowdown
		}
		m.slowdown, m.slowdownReportedAt = pace, now
		m.group.pacesToldAt = now
		return m.target, before
	}
	return fleet.Target{}, pace
}

// IsSlowingGroup reports whether the target is slow and its group exceeds the gap
// goal. The group gets faster once the target has no requests of its own.
func (l *Lease) IsSlowingGroup(now time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.member.isSlow(now) && l.member.group.isOverGoal(now)
}
