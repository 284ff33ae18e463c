package route

import (
	"sync/atomic"
	"time"

	"bluebellcrank/internal/state/target"
)

// Candidate is one target as an entry sees it: the last report, and what the
// entry itself has sent, which it knows exactly. Reports come from the
// control thread, traffic reads and counts.
type Candidate struct {
	instance target.Instance
	hash     uint64
	near     bool
	sent     atomic.Int64
	view     atomic.Pointer[view]
}

// view is one report and what the entry had in work when it came.
type view struct {
	report target.Report
	others int64
	at     time.Time
}

// NewCandidate returns a candidate without a report, which is not chosen.
func NewCandidate(i target.Instance, near bool) *Candidate {
	return &Candidate{instance: i, hash: Hash("candidate", i.ID), near: near}
}

// Instance returns the agent's row of the instance list.
func (c *Candidate) Instance() target.Instance { return c.instance }

// SetReport takes a report that arrived now.
func (c *Candidate) SetReport(r target.Report, now time.Time) {
	others := int64(r.Running+r.Waiting) - c.sent.Load()
	c.view.Store(&view{report: r, others: max(others, 0), at: now})
}

// ClearReport drops the report of an agent that does not answer.
func (c *Candidate) ClearReport() { c.view.Store(nil) }

// LastReport returns the last report and when it arrived, and whether there is one.
func (c *Candidate) LastReport() (target.Report, time.Time, bool) {
	v := c.view.Load()
	if v == nil {
		return target.Report{}, time.Time{}, false
	}
	return v.report, v.at, true
}

// RecordRefusal takes an agent's refusal as news: a full target counts as full, and
// one that refuses for another reason is not chosen, until the next report.
func (c *Candidate) RecordRefusal(full bool) {
	v := c.view.Load()
	if v == nil {
		return
	}
	news := *v
	if full {
		news.others = max(news.others, int64(v.report.Limit))
	} else {
		news.report.Refusing = "refused"
	}
	c.view.CompareAndSwap(v, &news)
}

// AddInFlight counts units that the entry sends.
func (c *Candidate) AddInFlight(units int) { c.sent.Add(int64(units)) }

// RemoveInFlight counts units that have come back.
func (c *Candidate) RemoveInFlight(units int) { c.sent.Add(int64(-units)) }

// InFlight returns the units that the entry has in work there.
func (c *Candidate) InFlight() int64 { return c.sent.Load() }

// load returns the units at the target as a part of its limit, after one
// more, and whether the target may be chosen at all.
func (c *Candidate) load(units int) (float64, bool) {
	v := c.view.Load()
	if v == nil || v.report.Refusing != "" || v.report.Limit == 0 {
		return 0, false
	}
	return float64(v.others+c.sent.Load()+int64(units)) / float64(v.report.Limit), true
}

// pace is the target's latency as reported, in milliseconds.
func (c *Candidate) pace() float64 {
	v := c.view.Load()
	if v == nil {
		return 1
	}
	return float64(max(v.report.LatencyMs, 1))
}
