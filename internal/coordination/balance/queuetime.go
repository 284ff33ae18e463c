package balance

import "time"

const (
	// maxQueueFraction is the fraction of the time until the latency goal for
	// which a first attempt is queued.
	maxQueueFraction = 0.5
	// firstEventMargin is the multiple of the mean time to the first event that is left
	// of the time until the latency goal when a first attempt leaves the queue.
	firstEventMargin = 1.25
	// retryDeadlineFraction is the fraction of the typical deadline below which a
	// request counts as a retry. The deadlines of first attempts differ by up to 15 in
	// 100.
	retryDeadlineFraction = 0.84
	// maxRetryQueueTime is the longest time for which a retry is queued. It leaves time
	// for the first event within the 2 s of silence after which callers give up on a
	// stream.
	maxRetryQueueTime = 1300 * time.Millisecond
	// maxRetryQueueFraction is the largest fraction of the time until its deadline
	// for which a retry is queued.
	maxRetryQueueFraction = 0.25
	// deadlineDecay is the factor by which each request with a shorter deadline
	// reduces the typical deadline.
	deadlineDecay = 0.999
)

// RetryDetector distinguishes retries from first attempts by the deadline that the
// caller states, since a retry has less time left. It is not safe for concurrent
// use.
type RetryDetector struct {
	// typicalDeadline is the longest recent time until a deadline, which is
	// typical of first attempts.
	typicalDeadline time.Duration
}

// RecordDeadline records the time until the deadline of a request, 0 if the caller
// states none.
func (d *RetryDetector) RecordDeadline(untilDeadline time.Duration) {
	d.typicalDeadline = max(untilDeadline, time.Duration(deadlineDecay*float64(d.typicalDeadline)))
}

// IsRetry reports whether a caller with that much time until its deadline has
// spent some of its time on an earlier attempt.
func (d *RetryDetector) IsRetry(untilDeadline time.Duration) bool {
	return untilDeadline > 0 && untilDeadline < time.Duration(retryDeadlineFraction*float64(d.typicalDeadline))
}

// MaxQueueTime returns how long a request may be queued for capacity, in order to
// absorb short bursts and the first seconds after an outage. A first attempt is
// queued for a fraction of the time until its latency goal, as long as its first event
// is still expected within the goal, and then refused, since its caller can still retry
// once. A retry is already past its goal and another refusal would be final, so its limit
// depends on its deadline instead.
func MaxQueueTime(untilGoal, untilDeadline, firstEvent time.Duration, isRetry bool) time.Duration {
	if isRetry {
		return min(maxRetryQueueTime, time.Duration(maxRetryQueueFraction*float64(untilDeadline)))
	}
	return min(time.Duration(maxQueueFraction*float64(untilGoal)), untilGoal-time.Duration(firstEventMargin*float64(firstEvent)))
}
