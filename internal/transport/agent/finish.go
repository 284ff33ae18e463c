package agent

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
)

// All functions in this file run on the control loop.

// errCancelled ends an answer that the entry has cancelled.
var errCancelled = errors.New("agent: cancelled by the entry")

// runResult is the result of running a job on the target: notSent, a failure,
// cancelled, or else a complete answer. The latency is the time to the first byte.
type runResult struct {
	notSent    bool
	failure    error
	targetDied bool
	cancelled  bool
	latency    time.Duration
}

// finishRun records the result of a run and releases the job's units at the gate.
func (a *Agent) finishRun(j *job, r runResult, now time.Time) {
	switch {
	case r.notSent:
		a.warmth.RecordFailure()
		j.refuse(refusal.Refusal{Reason: refusal.TargetDown, Effect: refusal.NotRun}, now)
	case r.failure != nil:
		a.warmth.RecordFailure()
		a.recordDeath(j, r, now)
		j.finish(r.failure, now)
	case r.cancelled:
		j.answerUnneeded = true
		j.finish(errCancelled, now)
	default:
		a.recordCompletion(j, r, now)
		j.finish(nil, now)
	}
	a.keptBytes += j.answer.MemoryBytes()
	a.releaseTicket(j, now)
}

// recordCompletion records a complete answer in the target's warm-up. A 5xx answer
// counts as a failure, because it does not show that the target can handle the
// load.
func (a *Agent) recordCompletion(j *job, r runResult, now time.Time) {
	if head, _ := j.answer.Head(); head.Status >= fasthttp.StatusInternalServerError {
		a.warmth.RecordFailure()
		return
	}
	a.warmth.RecordCompletion(j.cost, r.latency)
	a.gate.SetMeanServiceTime(a.nextMeanServiceTime(now.Sub(j.startedAt) / time.Duration(j.cost)))
}

// recordDeath makes the request a suspect if the target died while it ran. A suspect
// is a request that was running when a target died.
func (a *Agent) recordDeath(j *job, r runResult, now time.Time) {
	if !r.targetDied {
		return
	}
	j.deaths = a.suspects.RecordDeath(j.fingerprint, now)
	event.TargetDied.Log(a.log, "attempt", j.envelope.Attempt(), "deaths", j.deaths)
}

// nextMeanServiceTime returns the moving average of the time that one unit runs on
// the target, with a new sample included.
func (a *Agent) nextMeanServiceTime(sample time.Duration) time.Duration {
	// A new sample has a weight of 1/smoothingWeight.
	const smoothingWeight = 8
	mean := a.gate.MeanServiceTime()
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/smoothingWeight
}

// tick runs once per tickInterval. It detects requests that are overdue at the
// target, refuses queued jobs whose deadline has passed and removes expired
// answers.
func (a *Agent) tick(now time.Time) {
	for _, j := range a.jobs {
		if j.phase == running && a.awaitsFirstByte(j) {
			a.warmth.CheckOverdue(now.Sub(j.startedAt))
		}
	}
	a.logWarmth()
	a.dispatch(now)
	a.removeExpired(now)
}

// awaitsFirstByte reports whether the target has sent no byte of the answer's body.
func (a *Agent) awaitsFirstByte(j *job) bool {
	n, _, _ := j.answer.State()
	return n == 0
}

// logWarmth logs an event each time the target becomes warm or cold.
func (a *Agent) logWarmth() {
	isWarm := a.warmth.IsWarm()
	if isWarm == a.wasWarm {
		return
	}
	a.wasWarm = isWarm
	change := event.TargetCold
	if isWarm {
		change = event.TargetWarm
	}
	change.Log(a.log, "limit", a.warmth.Limit())
}

// removeExpired removes the ended jobs whose answer is no longer needed, and the
// closed attempts whose retention has passed. An answer that is being read is kept.
// A keyed answer is kept for KeyedRetention, since a retry may request it. Any other
// answer is kept for UnkeyedRetention, or until it is unneeded.
func (a *Agent) removeExpired(now time.Time) {
	for id, j := range a.jobs {
		if j.phase != ended && j.phase != refused {
			continue
		}
		retention := a.settings.UnkeyedRetention
		if j.isKeyed() {
			retention = a.settings.KeyedRetention
		}
		if j.readerCount > 0 || now.Sub(j.finishedAt) < retention && !(j.answerUnneeded && !j.isKeyed()) {
			continue
		}
		if j.phase == ended {
			a.keptBytes -= j.answer.MemoryBytes()
		}
		delete(a.jobs, id)
		a.closedAttempts[id] = closedAttempt{closedAt: now, mayHaveRun: j.phase == ended}
	}
	for id, c := range a.closedAttempts {
		if now.Sub(c.closedAt) > closedAttemptRetention {
			delete(a.closedAttempts, id)
		}
	}
}
