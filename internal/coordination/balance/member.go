package balance

import (
	"time"

	"bluebellcrank/internal/state/fleet"
)

const (
	// reportLife is how long a target's own word about its load is used.
	reportLife = 2 * time.Second
	// latencyWeight is the weight of one answer in the average latency.
	latencyWeight = 0.2
	// firstSuspension doubles with each failure up to lastSuspension: from
	// the time of a restart to that of a longer outage.
	firstSuspension = 500 * time.Millisecond
	lastSuspension  = 4 * time.Second
	// rateWindow is the window of a cold target's rate.
	rateWindow = time.Second
	// slowPace is the pace of an engine from which it gets new streams only
	// when no other rank has room: it slows its whole group by its own part.
	slowPace = 1.5
	// paceReportLife is how long an engine's word about its pace is used.
	paceReportLife = 5 * time.Second
	// silentAfter is how long a rank of a lively group may send nothing: more
	// than the first event takes at the limit, 0.5 s, and less than the 2 s
	// after which callers give up.
	silentAfter = 900 * time.Millisecond
	// silentPauses is the same in usual pauses, for groups that a slow engine
	// holds back: a first event there takes several passes.
	silentPauses = 8
	// refusedFor is how long a target that refused for want of room is left.
	refusedFor = 100 * time.Millisecond
)

// member is one target as this entry sees it.
type member struct {
	target fleet.Target
	group  *group
	gone   bool
	// own is the number of requests in flight from this entry.
	own int
	// others is the number of requests from elsewhere, as of othersAt.
	others   int
	othersAt time.Time
	latency  time.Duration
	// slowness is the engine's own word about its pace, as of slowAt.
	slowness float64
	slowAt   time.Time
	// heard is when an event came last.
	heard    time.Time
	failures int
	until    time.Time
	sends    []time.Time
}

func (m *member) load(now time.Time) int {
	if now.Sub(m.othersAt) < reportLife {
		return m.own + m.others
	}
	return m.own
}

// usable reports whether the target may get new work at all.
func (m *member) usable(out map[string]bool) bool {
	return !m.gone && !m.target.Leaving && !out[m.target.DataCentre]
}

// suspended reports whether the target is left alone after failures; once
// the time is over a single request tries it.
func (m *member) suspended(now time.Time) bool {
	return now.Before(m.until) || m.failures > 0 && m.own > 0
}

// slow reports whether the engine says that it is slow.
func (m *member) slow(now time.Time) bool {
	return m.slowness >= slowPace && now.Sub(m.slowAt) < paceReportLife
}

func (m *member) failed(now time.Time) {
	m.until = now.Add(min(firstSuspension<<min(m.failures, 4), lastSuspension))
	m.failures++
}

func (m *member) answered(latency time.Duration) {
	m.failures = 0
	if latency <= 0 {
		return
	}
	if m.latency == 0 {
		m.latency = latency
		return
	}
	m.latency += time.Duration(latencyWeight * float64(latency-m.latency))
}

// withinRate reports whether a send keeps within a number a second.
func (m *member) withinRate(perSecond int, now time.Time) bool {
	for len(m.sends) > 0 && now.Sub(m.sends[0]) >= rateWindow {
		m.sends = m.sends[1:]
	}
	return perSecond <= 0 || len(m.sends) < perSecond
}
