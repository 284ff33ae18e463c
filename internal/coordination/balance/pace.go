package balance

import (
	"math"
	"time"
)

const (
	// paceTime smooths the pauses over two or three passes.
	paceTime = 150 * time.Millisecond
	// usualTime smooths them over a change of favourite experts or two.
	usualTime = 4 * time.Second
	// peakTime is how long a peak is remembered: favourites that shift do so
	// again within some seconds.
	peakTime = 6 * time.Second
	// paceLife is how long the last pause says something about the next one.
	paceLife = 600 * time.Millisecond
	// effectTime is how long a new stream takes to show in the pauses: about
	// two passes, one of which reads its prompt.
	effectTime = 200 * time.Millisecond
	// streamCost is by how much one more stream lengthens the pauses of an
	// engine by itself: step time, context, and reading its prompt.
	streamCost = 12 * time.Millisecond
	// paceShare is the part of the longest good pause up to which streams are
	// admitted when pauses are even.
	paceShare = 0.82
	// peakShare is the part of it up to which the peaks may go.
	peakShare = 0.98
)

// pace follows how long the passes of a rank group take, by the pauses
// between the events of this entry's streams. A stream is late by a single
// long pause, so the limit keeps the peaks within the goal, not the mean.
type pace struct {
	mean  time.Duration
	usual time.Duration
	peak  time.Duration
	at    time.Time
	// recent are the admissions that do not show in the mean yet.
	recent []time.Time
}

// weight of a sample that comes so long after the one before.
func weight(gap, smoothing time.Duration) float64 {
	return 1 - math.Exp(-gap.Seconds()/smoothing.Seconds())
}

func blend(old, sample time.Duration, w float64) time.Duration {
	return old + time.Duration(w*float64(sample-old))
}

func (p *pace) observe(pause time.Duration, now time.Time) {
	gap := now.Sub(p.at)
	p.at = now
	if gap > paceLife {
		p.mean = pause
	} else {
		p.mean = blend(p.mean, pause, weight(gap, paceTime))
	}
	if p.usual == 0 || gap > usualTime {
		p.usual, p.peak = p.mean, p.mean
		return
	}
	p.usual = blend(p.usual, p.mean, weight(gap, usualTime))
	p.peak = max(p.mean, blend(p.peak, p.usual, weight(gap, peakTime)))
}

// expected is the pause that another stream would see if each recent stream
// costs so much.
func (p *pace) expected(cost time.Duration, now time.Time) time.Duration {
	for len(p.recent) > 0 && now.Sub(p.recent[0]) > effectTime {
		p.recent = p.recent[1:]
	}
	out := time.Duration(len(p.recent)) * cost
	if now.Sub(p.at) <= paceLife {
		out += p.mean
	}
	return out
}

func (p *pace) admitted(now time.Time) { p.recent = append(p.recent, now) }

// limit is the pause up to which streams are admitted for a goal: the further
// the peaks lie above the usual pause, the lower.
func (p *pace) limit(goal time.Duration) time.Duration {
	share := paceShare
	if p.peak > 0 {
		share = min(share, peakShare*float64(p.usual)/float64(p.peak))
	}
	return time.Duration(share * float64(goal))
}

// open reports whether another stream keeps the pauses within a goal.
func (p *pace) open(goal, cost time.Duration, now time.Time) bool {
	return goal <= 0 || p.expected(cost, now) <= p.limit(goal)
}
