package balance

import (
	"maps"
	"slices"
	"time"

	"bluebellcrank/internal/state/fleet"
)

const (
	// RewritePeriod is the time after the first list of a restored store in which servers
	// write again what the copy lacks.
	RewritePeriod = 2 * time.Second
	// ExpiryPeriod is the time after that list in which the operator writes again, and in
	// which the store drops the registrations that no server renews.
	ExpiryPeriod = 4 * time.Second
	// maxDepartures bounds the removed targets that are remembered.
	maxDepartures = 4096
)

// restore is what a fleet knows better than a store that was restored from a copy.
type restore struct {
	// targetsAt and dataCentresAt are the times of the first lists of the restored store;
	// zero if there was none.
	targetsAt, dataCentresAt time.Time
	// withheld has the targets that the store lists otherwise than they are used, by ID.
	withheld map[string]fleet.Target
	// dataCentresOut are the data centres that stay out of service although the store
	// does not list them.
	dataCentresOut map[string]bool
}

// departure is the last run of a target that was removed.
type departure struct {
	startedAtMs int64
	isLeaving   bool
}

// departures are the targets that were removed, the oldest first in order.
type departures struct {
	runs  map[string]departure
	order []string
}

// Merge takes the first list of targets of a store that was restored from a copy. Targets
// that are missing on it stay until RewritePeriod is over, and those that are known to be
// leaving or gone get no requests until ExpiryPeriod is over. A list that is set by Replace
// after each of the periods brings them to an end.
func (f *Fleet) Merge(targets []fleet.Target, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restore.targetsAt = now
	f.replace(targets, now)
	f.serveQueue(now)
}

// MergeDataCentresOut takes the first list of the data centres that are out of service of a
// store that was restored from a copy. Those that were out before stay out until
// SetDataCentresOut gives their state, or is called once ExpiryPeriod is over.
func (f *Fleet) MergeDataCentresOut(dataCentres map[string]bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restore.dataCentresAt = now
	f.restore.dataCentresOut = maps.Clone(f.dataCentresOut)
	maps.DeleteFunc(f.restore.dataCentresOut, func(name string, isOut bool) bool { return !isOut || dataCentres[name] })
	f.setDataCentresOut(dataCentres, now)
	f.serveQueue(now)
}

// isWithin reports whether a period since the first list of a restored store is not over.
func isWithin(period time.Duration, listedAt, now time.Time) bool {
	return !listedAt.IsZero() && now.Sub(listedAt) < period
}

// replace sets the complete list of targets.
func (f *Fleet) replace(targets []fleet.Target, now time.Time) {
	clear(f.restore.withheld)
	isPartial := isWithin(RewritePeriod, f.restore.targetsAt, now)
	listed := map[string]bool{}
	for _, t := range targets {
		m := f.members[t.ID]
		switch {
		case f.isSuperseded(t, now):
			f.restore.withheld[t.ID] = t
			listed[t.ID] = m != nil && m.target.StartedAtMs == t.StartedAtMs
		case isPartial && m != nil && m.target.StartedAtMs == t.StartedAtMs:
			// The copy is older than what is known of the run.
			m.target.Leaving = m.target.Leaving || t.Leaving
		default:
			listed[t.ID] = true
			f.upsert(t)
		}
	}
	if isPartial {
		return
	}
	for id := range f.members {
		if !listed[id] {
			f.remove(id)
		}
	}
}

// applyChange adds, updates or removes a target.
func (f *Fleet) applyChange(c fleet.Change, now time.Time) {
	delete(f.restore.withheld, c.ID)
	if c.Target == nil {
		f.remove(c.ID)
		return
	}
	// A run that is gone without having left may write again.
	if d, isGone := f.departures.runs[c.ID]; isGone && d.startedAtMs == c.Target.StartedAtMs && !d.isLeaving {
		f.upsert(*c.Target)
		return
	}
	if f.isSuperseded(*c.Target, now) {
		f.restore.withheld[c.ID] = *c.Target
		return
	}
	f.upsert(*c.Target)
}

// isSuperseded reports whether the store shows a target after a restore in a state that has
// ended: an earlier run, one that is gone, or one that is leaving as serving.
func (f *Fleet) isSuperseded(t fleet.Target, now time.Time) bool {
	if !isWithin(ExpiryPeriod, f.restore.targetsAt, now) {
		return false
	}
	if d, isGone := f.departures.runs[t.ID]; isGone {
		return t.StartedAtMs <= d.startedAtMs
	}
	m := f.members[t.ID]
	if m == nil || t.StartedAtMs > m.target.StartedAtMs {
		return false
	}
	return t.StartedAtMs < m.target.StartedAtMs || m.isLeaving() && !t.Leaving
}

// releaseWithheld uses the withheld targets as the store lists them once ExpiryPeriod is
// over.
func (f *Fleet) releaseWithheld(now time.Time) {
	if isWithin(ExpiryPeriod, f.restore.targetsAt, now) {
		return
	}
	for _, t := range f.restore.withheld {
		f.upsert(t)
	}
	clear(f.restore.withheld)
}

// setDataCentresOut sets the data centres that are out of service, with those that stay out
// after a restore.
func (f *Fleet) setDataCentresOut(dataCentres map[string]bool, now time.Time) {
	kept := f.restore.dataCentresOut
	if !isWithin(ExpiryPeriod, f.restore.dataCentresAt, now) {
		clear(kept)
	}
	maps.DeleteFunc(kept, func(name string, _ bool) bool { _, isStated := dataCentres[name]; return isStated })
	f.dataCentresOut = dataCentres
	if len(kept) > 0 {
		f.dataCentresOut = maps.Clone(kept)
		maps.Copy(f.dataCentresOut, dataCentres)
	}
}

// add remembers a target that is removed, and forgets the oldest one beyond the bound.
func (d *departures) add(m *member) {
	if len(d.order) >= maxDepartures {
		delete(d.runs, d.order[0])
		d.order = d.order[1:]
	}
	d.order = append(d.order, m.target.ID)
	d.runs[m.target.ID] = departure{startedAtMs: m.target.StartedAtMs, isLeaving: m.isLeaving()}
}

// drop forgets a target that is listed again.
func (d *departures) drop(id string) {
	if _, found := d.runs[id]; !found {
		return
	}
	delete(d.runs, id)
	d.order = slices.DeleteFunc(d.order, func(o string) bool { return o == id })
}
