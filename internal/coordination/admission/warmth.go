package admission

import "time"

const (
	// failuresToCold is the run of failures after which a target counts as
	// cold.
	failuresToCold = 3
	// slowFactor is how many times over its warm baseline a target's latency
	// lies when it counts as cold.
	slowFactor = 3
	// slowRunToCold is the run of slow completions that it takes.
	slowRunToCold = 3
	// baselineAfter is how many completions make a baseline.
	baselineAfter = 16
	// baselineWeight is the weight of one completion in the moving averages.
	baselineWeight = 0.1
)

// Bounds are the limits of one target, in units of work.
type Bounds struct {
	cold   int
	warm   int
	warmUp int
}

// NewBounds returns the limits of a target that is cold, of one that is warm,
// and the completed units between the two.
func NewBounds(cold, warm, warmUp int) Bounds {
	return Bounds{cold: cold, warm: warm, warmUp: warmUp}
}

// Warmth follows how much a target can bear. It starts cold, grows by proven
// completions only, and falls back to cold on any sign of a fresh start.
type Warmth struct {
	bounds    Bounds
	boot      string
	suspended bool
	proven    int
	failures  int
	slow      int
	samples   int
	baseline  time.Duration
	recent    time.Duration
}

// NewWarmth returns a cold target's warmth.
func NewWarmth(b Bounds) *Warmth {
	return &Warmth{bounds: b}
}

// SetBounds takes new limits from a changed configuration.
func (w *Warmth) SetBounds(b Bounds) { w.bounds = b }

// Limit returns the units that the target may have in work now.
func (w *Warmth) Limit() int {
	b := w.bounds
	if w.suspended {
		return b.cold
	}
	grown := (b.warm - b.cold) * min(w.proven, b.warmUp) / b.warmUp
	return b.cold + grown
}

// WarmLimit returns the units that a warm target bears.
func (w *Warmth) WarmLimit() int { return w.bounds.warm }

// IsWarm reports whether the target has proven the whole warm limit.
func (w *Warmth) IsWarm() bool { return w.proven >= w.bounds.warmUp }

// MeanLatency returns the recent mean latency of a completion.
func (w *Warmth) MeanLatency() time.Duration { return w.recent }

// BootID returns the boot id that the target named last.
func (w *Warmth) BootID() string { return w.boot }

// SetBootID takes the boot id that the target names; another than before means
// that it started anew.
func (w *Warmth) SetBootID(boot string) {
	if boot == "" {
		return
	}
	w.suspended = false
	if boot == w.boot {
		return
	}
	if w.boot != "" {
		w.Reset()
	}
	w.boot = boot
}

// Suspend holds the target at its cold limit until it names its boot id.
func (w *Warmth) Suspend() { w.suspended = true }

// Reset takes the target as cold.
func (w *Warmth) Reset() {
	w.proven = 0
	w.failures = 0
	w.slow = 0
}

// RecordFailure takes a request that the target did not complete.
func (w *Warmth) RecordFailure() {
	w.failures++
	if w.failures >= failuresToCold {
		w.Reset()
	}
}

// RecordCompletion takes a request of some units that the target completed; its
// latency is the time to the first byte of the answer.
func (w *Warmth) RecordCompletion(units int, latency time.Duration) {
	w.failures = 0
	if w.isSlow(latency) {
		w.slow++
		if w.slow >= slowRunToCold {
			w.Reset()
		}
		return
	}
	w.slow = 0
	w.proven = min(w.proven+units, w.bounds.warmUp)
	w.measure(latency)
}

// CheckOverdue takes how long the oldest request in work has waited for its first
// byte: a target that hangs is cold before anything completes.
func (w *Warmth) CheckOverdue(age time.Duration) {
	if w.isSlow(age) && w.proven > 0 {
		w.Reset()
	}
}

func (w *Warmth) isSlow(latency time.Duration) bool {
	return w.samples >= baselineAfter && latency > slowFactor*w.baseline
}

// measure moves the averages; the baseline only learns from a warm target.
func (w *Warmth) measure(latency time.Duration) {
	w.recent = average(w.recent, latency)
	if w.proven < w.bounds.warmUp {
		return
	}
	w.samples++
	w.baseline = average(w.baseline, latency)
}

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(baselineWeight*float64(sample-mean))
}
