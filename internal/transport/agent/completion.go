package agent

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
)

// Everything in this file runs on the control thread.

// errCancelled ends an answer that its caller no longer wants.
var errCancelled = errors.New("agent: cancelled by the entry")

// runResult is how a run at the target ended.
type runResult struct {
	notSent    bool
	failure    error
	targetDied bool
	cancelled  bool
	latency    time.Duration
}

// finishRun takes a run that is over.
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

// recordCompletion takes a whole answer; one that says that the target failed proves
// nothing of what it bears.
func (a *Agent) recordCompletion(j *job, r runResult, now time.Time) {
	if head, _ := j.answer.Head(); head.Status >= fasthttp.StatusInternalServerError {
		a.warmth.RecordFailure()
		return
	}
	a.warmth.RecordCompletion(j.cost, r.latency)
	a.gate.SetMeanServiceTime(a.nextMeanServiceTime(now.Sub(j.startedAt) / time.Duration(j.cost)))
}

func (a *Agent) recordDeath(j *job, r runResult, now time.Time) {
	if !r.targetDied {
		return
	}
	j.deaths = a.suspects.RecordDeath(j.fingerprint, now)
	event.TargetDied.Log(a.log, "attempt", j.envelope.Attempt(), "deaths", j.deaths)
}

// nextMeanServiceTime follows how long a unit stays at the target.
func (a *Agent) nextMeanServiceTime(sample time.Duration) time.Duration {
	const smoothingWeight = 8
	mean := a.gate.MeanServiceTime()
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/smoothingWeight
}

// tick keeps time: deadlines at the gate, hung requests, answers to forget.
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

func (a *Agent) awaitsFirstByte(j *job) bool {
	n, _, _ := j.answer.State()
	return n == 0
}

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

// removeExpired drops answers that nobody needs any more.
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
