package balance

import "time"

const (
	// queueShare is the part of the time to the goal for which a request
	// waits for room.
	queueShare = 0.5
	// returnedShare is the part of the usual deadline below which a caller is
	// taken to have come back: callers' own deadlines differ by some tenths.
	returnedShare = 0.8
	// returnedPatience is how long a caller that has come back waits for room:
	// callers give up on a stream that is silent for 2 s.
	returnedPatience = 800 * time.Millisecond
	// leftShare is the part of its time left that such a caller waits at most.
	leftShare = 0.25
	// deadlineMemory is the part of the usual deadline that one request with a
	// shorter one leaves.
	deadlineMemory = 0.999
)

// RetryDetector tells callers that have come back from those that ask for the
// first time, by the deadline that they state. It is not safe for concurrent
// use.
type RetryDetector struct{ usual time.Duration }

// RecordDeadline takes the deadline of a request; 0 where its caller states none.
func (d *RetryDetector) RecordDeadline(deadline time.Duration) {
	d.usual = max(deadline, time.Duration(deadlineMemory*float64(d.usual)))
}

// IsRetry reports whether a caller with that much time left has spent some of
// it on an earlier attempt.
func (d *RetryDetector) IsRetry(left time.Duration) bool {
	return left > 0 && left < time.Duration(returnedShare*float64(d.usual))
}

// MaxQueueTime is how long a request waits for room, which answers short bursts
// and the first seconds after an outage. A caller that can still have its
// answer in time waits for a part of the time to its goal, and is better off
// with a refusal then: it comes back once. One that has come back missed its
// goal, and would be refused for good.
func MaxQueueTime(toGoal, left time.Duration, returned bool) time.Duration {
	if returned {
		return min(returnedPatience, time.Duration(leftShare*float64(left)))
	}
	return time.Duration(queueShare * float64(toGoal))
}
