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
	notSent   bool
	broken    error
	died      bool
	cancelled bool
	latency   time.Duration
}

// end takes a run that is over.
func (a *Agent) end(j *job, r runResult, now time.Time) {
	switch {
	case r.notSent:
		a.warmth.RecordFailure()
		j.refuse(refusal.Refusal{Reason: refusal.TargetDown, Effect: refusal.NotRun}, now)
	case r.broken != nil:
		a.warmth.RecordFailure()
		a.noteDeath(j, r, now)
		j.settle(r.broken, now)
	case r.cancelled:
		j.done = true
		j.settle(errCancelled, now)
	default:
		a.completed(j, r, now)
		j.settle(nil, now)
	}
	a.kept += j.answer.MemoryBytes()
	a.free(j, now)
}

// completed takes a whole answer; one that says that the target failed proves
// nothing of what it bears.
func (a *Agent) completed(j *job, r runResult, now time.Time) {
	if head, _ := j.answer.Head(); head.Status >= fasthttp.StatusInternalServerError {
		a.warmth.RecordFailure()
		return
	}
	a.warmth.RecordCompletion(j.cost, r.latency)
	a.gate.SetMeanServiceTime(a.meanOf(now.Sub(j.begun) / time.Duration(j.cost)))
}

func (a *Agent) noteDeath(j *job, r runResult, now time.Time) {
	if !r.died {
		return
	}
	j.deaths = a.suspects.RecordDeath(j.fingerprint, now)
	event.TargetDied.Log(a.log, "attempt", j.envelope.Attempt(), "deaths", j.deaths)
}

// meanOf follows how long a unit stays at the target.
func (a *Agent) meanOf(sample time.Duration) time.Duration {
	const weight = 8
	mean := a.gate.MeanServiceTime()
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/weight
}

// tick keeps time: deadlines at the gate, hung requests, answers to forget.
func (a *Agent) tick(now time.Time) {
	for _, j := range a.jobs {
		if j.phase == running && a.waitsForFirstByte(j) {
			a.warmth.CheckOverdue(now.Sub(j.begun))
		}
	}
	a.logWarmth()
	a.next(now)
	a.forget(now)
}

func (a *Agent) waitsForFirstByte(j *job) bool {
	n, _, _ := j.answer.State()
	return n == 0
}

func (a *Agent) logWarmth() {
	b := a.warmth.IsWarm()
	if b == a.wasWarm {
		return
	}
	a.wasWarm = b
	e := event.TargetCold
	if b {
		e = event.TargetWarm
	}
	e.Log(a.log, "limit", a.warmth.Limit())
}

// forget drops answers that nobody needs any more.
func (a *Agent) forget(now time.Time) {
	for id, j := range a.jobs {
		if j.phase != ended && j.phase != refused {
			continue
		}
		keep := a.settings.UnkeyedRetention
		if j.keyed() {
			keep = a.settings.KeyedRetention
		}
		if j.readers > 0 || now.Sub(j.finished) < keep && !(j.done && !j.keyed()) {
			continue
		}
		if j.phase == ended {
			a.kept -= j.answer.MemoryBytes()
		}
		delete(a.jobs, id)
		a.closed[id] = closedAttempt{at: now, ran: j.phase == ended}
	}
	for id, c := range a.closed {
		if now.Sub(c.at) > closedFor {
			delete(a.closed, id)
		}
	}
}
