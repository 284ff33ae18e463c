package balance

import "time"

const (
	// paceWeight is the weight of one pause in the moving average; a rank
	// group under load shows an entry a dozen pauses in each pass.
	paceWeight = 0.12
	// paceLife is how long the last pause says something about the next one.
	paceLife = 600 * time.Millisecond
	// effectTime is how long a new stream takes to show in the pauses: about
	// two passes, one of which reads its prompt.
	effectTime = 200 * time.Millisecond
	// stepCost is by how much one more stream lengthens the pauses of its
	// group: step time, context and its part of reading prompts.
	stepCost = 1500 * time.Microsecond
	// paceShare is the part of the longest good pause up to which streams are
	// admitted; the rest is for the spread of pauses around their mean.
	paceShare = 0.82
)

// pace follows how long the passes of a rank group take, by the pauses
// between the events of this entry's streams.
type pace struct {
	mean time.Duration
	at   time.Time
	// recent are the admissions that do not show in the mean yet.
	recent []time.Time
}

func (p *pace) observe(pause time.Duration, now time.Time) {
	if now.Sub(p.at) > paceLife {
		p.mean = pause
	} else {
		p.mean += time.Duration(paceWeight * float64(pause-p.mean))
	}
	p.at = now
}

// expected is the pause that another stream would see.
func (p *pace) expected(now time.Time) time.Duration {
	for len(p.recent) > 0 && now.Sub(p.recent[0]) > effectTime {
		p.recent = p.recent[1:]
	}
	out := time.Duration(len(p.recent)) * stepCost
	if now.Sub(p.at) <= paceLife {
		out += p.mean
	}
	return out
}

func (p *pace) admitted(now time.Time) { p.recent = append(p.recent, now) }

// open reports whether another stream keeps the pauses within a goal.
func (p *pace) open(goal time.Duration, now time.Time) bool {
	return goal <= 0 || p.expected(now) <= time.Duration(paceShare*float64(goal))
}
