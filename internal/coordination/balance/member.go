package balance

import (
	"time"

	"bluebellcrank/internal/state/fleet"
)

const (
	// loadReportMaxAge is the age up to which a target's load report is used.
	loadReportMaxAge = 2 * time.Second
	// latencyWeight is the weight of one response in the average latency.
	latencyWeight = 0.2
	// A target is suspended for minSuspension, about the time of a restart,
	// after its first failure. The time doubles with each further failure up to
	// maxSuspension, for longer outages.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 4 * time.Second
	// slowdownThreshold is the reported slowdown from which an engine gets new
	// streams only if no other rank of its group has capacity, because its own
	// work slows the whole group.
	slowdownThreshold = 1.5
	// slowdownReportMaxAge is the age up to which a reported slowdown is used.
	slowdownReportMaxAge = 5 * time.Second
	// silenceTimeout is how long a rank may send no event while its group is
	// active. It is longer than the 0.5 s that the first event takes at the
	// admission limit, and shorter than the 2 s after which callers give up.
	silenceTimeout = 900 * time.Millisecond
	// silenceGaps is the same timeout in multiples of the long-term mean gap. It
	// applies to groups slowed by one engine, where the first event takes
	// several passes.
	silenceGaps = 8
	// refusalBackoff is how long a target gets no request after it refused one
	// for lack of capacity.
	refusalBackoff = 100 * time.Millisecond
)

// member is the state of one target as known to this entry.
type member struct {
	target  fleet.Target
	group   *group
	removed bool
	// notice is what the target has said of itself in answers; nil for nothing.
	notice *notice
	// inFlight is the number of requests in flight from this entry.
	inFlight int
	// othersInFlight is the number of requests in flight from other entries, as
	// of othersReportedAt.
	othersInFlight   int
	othersReportedAt time.Time
	meanLatency      time.Duration
	// slowdown is the factor that the engine reported at slowdownReportedAt; 1 is
	// normal, more is slower.
	slowdown           float64
	slowdownReportedAt time.Time
	// lastEventAt is the time of the last event on any of this entry's streams.
	lastEventAt time.Time
	// failures is the number of failures since the last response.
	failures       int
	suspendedUntil time.Time
	// silentUntil is until when the target is suspended because it was silent.
	silentUntil time.Time
	attempts    attemptLog
	// overtaken is the number of overtaken attempts since the last answer.
	overtaken int
	// index is the target's place among those of its service, as of the list of
	// targets of placeGeneration.
	index           int
	placeGeneration int
}

// load returns the number of requests in flight, those from other entries included
// while the target's report is recent.
func (m *member) load(now time.Time) int {
	if now.Sub(m.othersReportedAt) < loadReportMaxAge {
		return m.inFlight + m.othersInFlight
	}
	return m.inFlight
}

// isUsable reports whether the target is listed and not leaving, and its data
// centre is in service.
func (m *member) isUsable(dataCentresOut map[string]bool) bool {
	return !m.removed && !m.isLeaving() && !dataCentresOut[m.target.DataCentre]
}

// isLeaving reports whether the target is leaving, by the list or by its own word.
func (m *member) isLeaving() bool {
	return m.target.Leaving || m.notice != nil && m.notice.isLeaving
}

// isSuspended reports whether the target gets no request after failures or a
// refusal, or because it asked for a pause. When the suspension for a failure ends,
// one request at a time probes the target until it responds.
func (m *member) isSuspended(now time.Time) bool {
	return now.Before(m.suspendedUntil) || m.notice.backoffRemaining(now) > 0 || m.failures > 0 && m.inFlight > 0
}

// isSlow reports whether the engine's recent report states a slowdown above the
// threshold.
func (m *member) isSlow(now time.Time) bool {
	return m.slowdown >= slowdownThreshold && now.Sub(m.slowdownReportedAt) < slowdownReportMaxAge
}

func (m *member) recordFailure(now time.Time) {
	m.suspendedUntil = now.Add(min(minSuspension<<min(m.failures, 4), maxSuspension))
	m.failures++
}

func (m *member) recordAnswer(latency time.Duration) {
	m.failures, m.overtaken = 0, 0
	if latency > 0 {
		m.recordLatency(latency)
	}
}

func (m *member) recordLatency(latency time.Duration) {
	if m.meanLatency == 0 {
		m.meanLatency = latency
		return
	}
	m.meanLatency += time.Duration(latencyWeight * float64(latency-m.meanLatency))
}
