package admission

import "time"

const (
	// failuresToCold is the number of consecutive failures after which
	// a target counts as cold.
	failuresToCold = 3
	// slowFactor is the multiple of the warm baseline latency above which a
	// completion counts as slow.
	slowFactor = 3
	// slowCompletionsToCold is the number of consecutive slow completions after
	// which a target counts as cold.
	slowCompletionsToCold = 3
	// baselineMinSamples is the number of completions on a warm target before
	// its baseline latency is used.
	baselineMinSamples = 16
	// averageWeight is the weight of one completion in the moving averages of
	// the latency.
	averageWeight = 0.1
)

// Bounds are the concurrency limits of one target, in units.
type Bounds struct {
	cold int
	warm int
	// warmUp is the number of completed units after which the target is warm.
	warmUp int
}

// NewBounds returns bounds in which the limit rises from cold to warm over
// warmUp completed units.
func NewBounds(cold, warm, warmUp int) Bounds {
	return Bounds{cold: cold, warm: warm, warmUp: warmUp}
}

// Warmth sets the concurrency limit of one target by slow start. A target that
// has just started is cold and gets a low limit, which rises only with completed
// units until the target is warm. Any sign that the target has restarted makes it
// cold again: another boot ID, consecutive failures or slow completions, or a
// request that hangs. It is not safe for concurrent use.
type Warmth struct {
	bounds              Bounds
	bootID              string
	suspended           bool
	completedUnits      int
	consecutiveFailures int
	consecutiveSlow     int
	baselineSamples     int
	baseline            time.Duration
	meanLatency         time.Duration
}

// NewWarmth returns the state of a cold target.
func NewWarmth(b Bounds) *Warmth {
	return &Warmth{bounds: b}
}

// SetBounds applies the bounds of a changed configuration.
func (w *Warmth) SetBounds(b Bounds) { w.bounds = b }

// Limit returns the number of units that may run on the target now.
func (w *Warmth) Limit() int {
	b := w.bounds
	if w.suspended {
		return b.cold
	}
	grown := (b.warm - b.cold) * min(w.completedUnits, b.warmUp) / b.warmUp
	return b.cold + grown
}

// WarmLimit returns the number of units that may run on the target once it is
// warm.
func (w *Warmth) WarmLimit() int { return w.bounds.warm }

// IsWarm reports whether the target has completed all units of its warm-up.
func (w *Warmth) IsWarm() bool { return w.completedUnits >= w.bounds.warmUp }

// MeanLatency returns the moving average of the latency of completed requests,
// slow ones excluded.
func (w *Warmth) MeanLatency() time.Duration { return w.meanLatency }

// BootID returns the boot ID that the target reported last.
func (w *Warmth) BootID() string { return w.bootID }

// SetBootID records the boot ID that the target reports and ends a suspension.
// A changed boot ID means that the target has restarted, and makes it cold. An
// empty one is ignored.
func (w *Warmth) SetBootID(boot string) {
	if boot == "" {
		return
	}
	w.suspended = false
	if boot == w.bootID {
		return
	}
	if w.bootID != "" {
		w.Reset()
	}
	w.bootID = boot
}

// Suspend keeps the target at its cold limit until it reports its boot ID.
func (w *Warmth) Suspend() { w.suspended = true }

// Reset makes the target cold.
func (w *Warmth) Reset() {
	w.completedUnits = 0
	w.consecutiveFailures = 0
	w.consecutiveSlow = 0
}

// RecordFailure records a request that the target did not complete.
func (w *Warmth) RecordFailure() {
	w.consecutiveFailures++
	if w.consecutiveFailures >= failuresToCold {
		w.Reset()
	}
}

// RecordCompletion records that the target completed a request of the given
// units. The latency is the time to the first byte of the response. The units of
// slow completions do not count towards the warm-up.
func (w *Warmth) RecordCompletion(units int, latency time.Duration) {
	w.consecutiveFailures = 0
	if w.isSlow(latency) {
		w.consecutiveSlow++
		if w.consecutiveSlow >= slowCompletionsToCold {
			w.Reset()
		}
		return
	}
	w.consecutiveSlow = 0
	w.completedUnits = min(w.completedUnits+units, w.bounds.warmUp)
	w.updateAverages(latency)
}

// CheckOverdue makes the target cold if age, the time that the oldest running
// request has waited for its first byte, counts as slow. A target that hangs
// thus becomes cold although no request completes.
func (w *Warmth) CheckOverdue(age time.Duration) {
	if w.isSlow(age) && w.completedUnits > 0 {
		w.Reset()
	}
}

func (w *Warmth) isSlow(latency time.Duration) bool {
	return w.baselineSamples >= baselineMinSamples && latency > slowFactor*w.baseline
}

// updateAverages adds a sample to the mean latency and, if the target is warm,
// to the baseline.
func (w *Warmth) updateAverages(latency time.Duration) {
	w.meanLatency = average(w.meanLatency, latency)
	if w.completedUnits < w.bounds.warmUp {
		return
	}
	w.baselineSamples++
	w.baseline = average(w.baseline, latency)
}

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(averageWeight*float64(sample-mean))
}
