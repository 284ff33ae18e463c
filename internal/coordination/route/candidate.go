package route

import (
	"sync/atomic"
	"time"

	"bluebellcrank/internal/state/target"
)

// Candidate is an entry's view of one target: the last report of the target's
// agent, and the units of work that this entry has in flight there, which it
// counts itself and so knows exactly. It is safe for concurrent use: the control
// loop sets reports while requests read them and change the count.
type Candidate struct {
	instance target.Instance
	hash     uint64
	isLocal  bool
	inFlight atomic.Int64
	latest   atomic.Pointer[snapshot]
}

// snapshot is a report, with the number of units in flight from other entries at
// the time at which it arrived.
type snapshot struct {
	report         target.Report
	othersInFlight int64
	receivedAt     time.Time
}

// NewCandidate returns a candidate without a report. It is not chosen until it
// has one.
func NewCandidate(i target.Instance, isLocal bool) *Candidate {
	return &Candidate{instance: i, hash: Hash("candidate", i.ID), isLocal: isLocal}
}

// Instance returns the agent's instance.
func (c *Candidate) Instance() target.Instance { return c.instance }

// SetReport stores a report that arrived now.
func (c *Candidate) SetReport(r target.Report, now time.Time) {
	othersInFlight := int64(r.Running+r.Waiting) - c.inFlight.Load()
	c.latest.Store(&snapshot{report: r, othersInFlight: max(othersInFlight, 0), receivedAt: now})
}

// ClearReport removes the report of an agent that does not respond. The candidate
// is not chosen until the next report.
func (c *Candidate) ClearReport() { c.latest.Store(nil) }

// LastReport returns the last report, the time at which it arrived, and whether
// there is one.
func (c *Candidate) LastReport() (target.Report, time.Time, bool) {
	latest := c.latest.Load()
	if latest == nil {
		return target.Report{}, time.Time{}, false
	}
	return latest.report, latest.receivedAt, true
}

// RecordRefusal updates the last report after the target refused a request. Until
// the next report, a target that refused because it was full counts as loaded up
// to its limit, and one that refused for another reason is not chosen.
func (c *Candidate) RecordRefusal(full bool) {
	latest := c.latest.Load()
	if latest == nil {
		return
	}
	updated := *latest
	if full {
		updated.othersInFlight = max(updated.othersInFlight, int64(latest.report.Limit))
	} else {
		updated.report.Refusing = "refused"
	}
	c.latest.CompareAndSwap(latest, &updated)
}

// AddInFlight adds units that this entry sends to the target.
func (c *Candidate) AddInFlight(units int) { c.inFlight.Add(int64(units)) }

// RemoveInFlight subtracts units that are complete.
func (c *Candidate) RemoveInFlight(units int) { c.inFlight.Add(int64(-units)) }

// InFlight returns the units that this entry has in flight at the target.
func (c *Candidate) InFlight() int64 { return c.inFlight.Load() }

// load returns the fraction of the target's limit that is in use after the given
// units are added, and whether the target may be chosen at all.
func (c *Candidate) load(units int) (float64, bool) {
	latest := c.latest.Load()
	if latest == nil || latest.report.Refusing != "" || latest.report.Limit == 0 {
		return 0, false
	}
	return float64(latest.othersInFlight+c.inFlight.Load()+int64(units)) / float64(latest.report.Limit), true
}

// latencyMs returns the reported latency of the target in milliseconds. It is at
// least 1, and 1 without a report.
func (c *Candidate) latencyMs() float64 {
	latest := c.latest.Load()
	if latest == nil {
		return 1
	}
	return float64(max(latest.report.LatencyMs, 1))
}
