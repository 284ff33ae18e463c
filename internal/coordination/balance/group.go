package balance

import "time"

const (
	// stallTimeout is the time without an event on any stream of a group after
	// which the group counts as stalled. The first event of a loaded group
	// arrives sooner.
	stallTimeout = 450 * time.Millisecond
	// stallGaps is the same timeout in multiples of the long-term mean gap. It
	// applies where that is longer than stallTimeout, in slow groups.
	stallGaps = 4
	// probeInterval is the time between two requests sent as probes to a group
	// that is stalled, suspect or broken.
	probeInterval = 400 * time.Millisecond
)

// group is a set of targets with a common step time: the ranks of a rank group,
// which stall together, or all targets of a plain service.
type group struct {
	name string
	// isRankGroup is set if the targets are ranks, each of which can stall the
	// whole group.
	isRankGroup bool
	stepTime    stepTime
	occupancy   occupancy
	// firstEventTime is the mean time from the grant to the first event of this entry's
	// streams; 0 while it is not known.
	firstEventTime time.Duration
	// pacesToldAt is when the group's agents last told of slow engines.
	pacesToldAt time.Time
	targetCount int
	// streams is the number of this entry's streams in flight.
	streams int
	// lastActiveAt is the time of the last event, or of the start of a stream
	// while no other was in flight.
	lastActiveAt time.Time
	lastEventAt  time.Time
	// suspect is set for a rank group after a target failed, reported that
	// another one blocks it, or the group stalled. The group then gets one
	// probe per probeInterval until an event arrives.
	suspect bool
	// lastStreamAt is the time at which the last stream was sent to the group. A
	// stream sent to a stalled, suspect or broken group is a probe.
	lastStreamAt time.Time
	// gapGoal is the gap goal of the stream that started last.
	gapGoal time.Duration
}

func (g *group) startStream(goal time.Duration, now time.Time) {
	g.gapGoal = goal
	if g.streams == 0 {
		g.lastActiveAt = now
	}
	g.streams++
	g.stepTime.recordAdmission(now)
	g.lastStreamAt = now
}

func (g *group) recordEvent(now time.Time) {
	g.lastActiveAt, g.lastEventAt = now, now
	g.suspect = false
}

// recordFailure marks the group as suspect after a target failed, since a rank
// group stalls without one of its ranks. While events still arrive, the failure
// affects only one request and the group stays in use.
func (g *group) recordFailure(now time.Time) {
	if now.Sub(g.lastEventAt) > stallTimeout {
		g.markSuspect()
	}
}

// markSuspect marks a rank group as suspect. It has no effect on plain services,
// whose targets fail independently.
func (g *group) markSuspect() { g.suspect = g.isRankGroup }

func (g *group) isStalled(now time.Time) bool {
	return g.streams > 0 && now.Sub(g.lastActiveAt) > max(stallTimeout, stallGaps*g.stepTime.longTermMean)
}

// checkStall reports whether the group is stalled, and marks a stalled rank group
// as suspect.
func (g *group) checkStall(now time.Time) bool {
	stalled := g.isStalled(now)
	if stalled {
		g.markSuspect()
	}
	return stalled
}

// isOverGoal reports whether both the short-term and the long-term mean gap exceed
// the goal, so that a brief rise does not count.
func (g *group) isOverGoal(now time.Time) bool {
	return g.gapGoal > 0 && now.Sub(g.stepTime.lastGapAt) < longTermWindow && min(g.stepTime.longTermMean, g.stepTime.mean) > g.gapGoal
}

// isClosed reports whether the group gets no request now because it is stalled,
// suspect or broken and was probed within probeInterval. A group is broken while
// the list of targets shows that it is missing a rank. Like checkStall, isClosed
// marks a stalled rank group as suspect.
func (g *group) isClosed(broken bool, now time.Time) bool {
	if !g.checkStall(now) && !broken && !g.suspect {
		return false
	}
	return now.Sub(g.lastStreamAt) < probeInterval
}

// admissionCost returns the expected rise of the step time per stream that this
// entry admits. The other entries see the same free capacity and fill it too, so
// the rise is multiplied by half the number of entries: about half of them have
// requests queued.
func (g *group) admissionCost(entries int) time.Duration {
	return stepTimePerStream / time.Duration(max(g.targetCount, 1)) * time.Duration(max(1, entries/2))
}

// unobservedGoalFraction is the fraction of the gap goal that the step time may
// reach while this entry has no recent gap from the group. After an outage callers
// retry all at once, and the first gaps reflect only the streams admitted before.
const unobservedGoalFraction = 0.6

// admits reports whether the gaps are expected to stay within the goal with one more
// stream. Without a recent gap the step time is estimated from the number of this
// entry's streams, as if each entry had as many. The first stream is then admitted
// in any case.
func (g *group) admits(goal time.Duration, entries int, now time.Time) bool {
	if goal > 0 && now.Sub(g.stepTime.lastGapAt) > longTermWindow {
		perStream := stepTimePerStream / time.Duration(max(g.targetCount, 1)) * time.Duration(max(entries, 1))
		return g.streams == 0 || time.Duration(g.streams+1)*perStream <= time.Duration(unobservedGoalFraction*float64(goal))
	}
	return g.stepTime.admits(goal, g.admissionCost(entries), now)
}
