package balance

import (
	"math"
	"time"
)

const (
	// meanWindow is the smoothing window of the mean gap: two or three forward
	// passes.
	meanWindow = 150 * time.Millisecond
	// longTermWindow is the smoothing window of the long-term mean gap. The set
	// of popular experts changes once or twice within it.
	longTermWindow = 4 * time.Second
	// peakWindow is the window in which a peak decays. After the set of popular
	// experts has changed, it changes again within some seconds.
	peakWindow = 6 * time.Second
	// gapMaxAge is the age up to which the last gap predicts the next one.
	gapMaxAge = 600 * time.Millisecond
	// admissionEffectDelay is the time until a new stream affects the measured
	// gaps: about two forward passes, one of which processes its prompt.
	admissionEffectDelay = 200 * time.Millisecond
	// stepTimePerStream is the rise of the step time of a single engine with one
	// more stream, through its tokens, its context and its prompt.
	stepTimePerStream = 12 * time.Millisecond
	// maxGoalFraction is the fraction of the gap goal up to which streams are
	// admitted while there are no peaks.
	maxGoalFraction = 0.82
	// peakGoalFraction is the fraction of the gap goal that peaks may reach. It
	// lowers the admission limit where peaks are high.
	peakGoalFraction = 0.98
)

// stepTime estimates the step time of a rank group, the duration of one forward
// pass, from the gaps between the events of this entry's streams. A single long
// gap makes a stream miss its goal, so the admission limit keeps the peaks within
// the goal rather than the mean.
type stepTime struct {
	mean         time.Duration
	longTermMean time.Duration
	// peak is the highest recent mean. It decays towards longTermMean.
	peak      time.Duration
	lastGapAt time.Time
	// recentAdmissions holds the times of the admissions that do not affect the
	// mean yet.
	recentAdmissions []time.Time
}

// smoothingWeight returns the weight of a sample in an exponential average with
// the given window, elapsed being the time since the previous sample.
func smoothingWeight(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
}

// blend returns the weighted average of old and sample, with weight w for sample.
func blend(old, sample time.Duration, w float64) time.Duration {
	return old + time.Duration(w*float64(sample-old))
}

func (s *stepTime) recordGap(gap time.Duration, now time.Time) {
	sinceLast := now.Sub(s.lastGapAt)
	s.lastGapAt = now
	if sinceLast > gapMaxAge {
		s.mean = gap
	} else {
		s.mean = blend(s.mean, gap, smoothingWeight(sinceLast, meanWindow))
	}
	if s.longTermMean == 0 || sinceLast > longTermWindow {
		s.longTermMean, s.peak = s.mean, s.mean
		return
	}
	s.longTermMean = blend(s.longTermMean, s.mean, smoothingWeight(sinceLast, longTermWindow))
	s.peak = max(s.mean, blend(s.peak, s.longTermMean, smoothingWeight(sinceLast, peakWindow)))
}

// expected returns the gap expected with the streams admitted so far, where each
// recent admission adds cost to the mean. Without a recent gap the mean counts as
// 0.
func (s *stepTime) expected(cost time.Duration, now time.Time) time.Duration {
	for len(s.recentAdmissions) > 0 && now.Sub(s.recentAdmissions[0]) > admissionEffectDelay {
		s.recentAdmissions = s.recentAdmissions[1:]
	}
	gap := time.Duration(len(s.recentAdmissions)) * cost
	if now.Sub(s.lastGapAt) <= gapMaxAge {
		gap += s.mean
	}
	return gap
}

func (s *stepTime) recordAdmission(now time.Time) {
	s.recentAdmissions = append(s.recentAdmissions, now)
}

// admissionLimit returns the expected gap up to which streams are admitted for a
// goal. It is lower the further the peaks exceed the long-term mean.
func (s *stepTime) admissionLimit(goal time.Duration) time.Duration {
	fraction := maxGoalFraction
	if s.peak > 0 {
		fraction = min(fraction, peakGoalFraction*float64(s.longTermMean)/float64(s.peak))
	}
	return time.Duration(fraction * float64(goal))
}

// admits reports whether the expected gap is within the admission limit for the
// goal; a goal of 0 admits everything.
func (s *stepTime) admits(goal, cost time.Duration, now time.Time) bool {
	return goal <= 0 || s.expected(cost, now) <= s.admissionLimit(goal)
}
