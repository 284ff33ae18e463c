package agent

import (
	"math"
	"time"

	"bluebellcrank/internal/coordination/admission"
	"bluebellcrank/internal/coordination/retry"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/target"
)

// All functions in this file run on the control loop.

// closedAttemptRetention is how long the ID of a closed attempt is kept.
const closedAttemptRetention = 10 * time.Minute

// priorityLevels is the number of priorities. Priority 0, the first, multiplies the
// share of an account by 10, and priority 9 by 1.
const priorityLevels = 10

// applyConfig applies the limits of the target's service from a new configuration.
func (a *Agent) applyConfig(c *config.Config) {
	s := c.Service(a.settings.Service)
	if s == nil {
		return
	}
	a.warmth.SetBounds(admission.NewBounds(s.ColdLimit(), s.WarmLimit(), s.WarmUpUnits()))
	a.gate.SetLimits(a.limit(), s.QueueLimit())
}

// applyInstanceList makes the agent leave if the platform's instance list marks this
// instance as leaving.
func (a *Agent) applyInstanceList(all []target.Instance) {
	for _, i := range all {
		if i.ID != a.settings.Instance {
			continue
		}
		a.isListed = true
		if i.Leaving {
			a.startLeaving("instance list")
		}
	}
}

// blockedReason returns why the agent accepts no new work, or "" if it does.
func (a *Agent) blockedReason(now time.Time) refusal.Reason {
	return a.guards.BlockedReason(a.findBlockedReason(now))
}

// limit returns the number of units that may run on the target now.
func (a *Agent) limit() int {
	return a.guards.Limit(a.warmth.Limit(), a.warmth.WarmLimit())
}

// findBlockedReason returns the blocked reason before the guard is applied.
func (a *Agent) findBlockedReason(now time.Time) refusal.Reason {
	if a.isLeaving {
		return refusal.Leaving
	}
	if r := a.member.BlockedReasonOnLoop(now); r != "" {
		return r
	}
	if c := a.member.Config(); c == nil || c.Service(a.settings.Service) == nil {
		return refusal.NotReady
	}
	if !a.isTargetUp {
		return refusal.TargetDown
	}
	return ""
}

// closedAttempt is an attempt whose job has been removed, or that was closed before
// it arrived. An attempt with its ID is refused.
type closedAttempt struct {
	closedAt   time.Time
	mayHaveRun bool
}

// result returns the refusal of an attempt that arrives after it was closed.
func (c closedAttempt) result() offerResult {
	if c.mayHaveRun {
		return offerResult{reason: refusal.AlreadyAttempted, effect: refusal.Unknown}
	}
	return offerResult{reason: refusal.Cancelled, effect: refusal.NotRun}
}

// refusedOffer returns the refusal of an attempt that was not recorded and did not
// run.
func refusedOffer(r refusal.Reason) offerResult {
	return offerResult{reason: r, effect: refusal.NotRun}
}

// offerResult is the result of offer: a job to wait for, or a refusal if job is nil.
// isExisting reports that the attempt had arrived before.
type offerResult struct {
	job          *job
	isExisting   bool
	reason       refusal.Reason
	effect       refusal.Effect
	expectedWait time.Duration
}

// offer decides on an attempt that has just arrived: it grants, queues or refuses
// it, or returns the existing job of the same attempt.
func (a *Agent) offer(j *job, now time.Time) offerResult {
	id := j.envelope.Attempt()
	if existing := a.jobs[id]; existing != nil {
		return offerResult{job: existing, isExisting: true}
	}
	if c, found := a.closedAttempts[id]; found {
		return c.result()
	}
	if j.envelope.Incarnation() != a.member.Incarnation() {
		return refusedOffer(refusal.NotReady)
	}
	if r := a.blockedReason(now); r != "" {
		return refusedOffer(r)
	}
	if a.keptBytes+a.settings.MaxAnswerBytes > a.settings.MaxKeptBytes && a.keptBytes > 0 {
		return refusedOffer(refusal.Full)
	}
	treatment := a.suspects.TreatmentOf(j.fingerprint, now)
	if treatment == retry.Refuse {
		return refusedOffer(refusal.Suspected)
	}
	suspect := j.envelope.Suspect() || treatment == retry.SoleSuspect
	a.lastTicket++
	j.ticket = a.lastTicket
	t := admission.NewTicket(j.ticket, j.envelope.Account(), a.weight(j.envelope.Account()), j.cost, j.deadline, suspect)
	d := a.gate.Offer(t, now)
	for _, e := range d.Evicted() {
		a.refuseQueued(a.jobsByTicket[e], refusal.Full, now)
	}
	if d.Verdict() == admission.Refused {
		o := refusedOffer(d.Reason())
		o.expectedWait = d.ExpectedWait()
		return o
	}
	a.jobs[id] = j
	a.jobsByTicket[j.ticket] = j
	if d.Verdict() == admission.Granted {
		a.grant(j)
	}
	a.updateReport(now)
	return offerResult{job: j}
}

// weight returns the weight with which an account shares the target: its share times
// the factor of its priority.
func (a *Agent) weight(account string) int {
	c := a.member.Config().Account(account)
	if c == nil {
		return 1
	}
	return c.Share() * (priorityLevels - c.Priority())
}

// grant lets a job proceed from the gate to its claim.
func (a *Agent) grant(j *job) {
	j.phase = claiming
	j.gateResult <- ""
}

// refuseQueued refuses a job that is queued at the gate.
func (a *Agent) refuseQueued(j *job, r refusal.Reason, now time.Time) {
	delete(a.jobsByTicket, j.ticket)
	j.refuse(refusal.Refusal{Reason: r, Effect: refusal.NotRun}, now)
	j.gateResult <- r
}

// dispatch updates the limits of the gate, grants the queued jobs that may run now
// and refuses those whose deadline has passed.
func (a *Agent) dispatch(now time.Time) {
	a.gate.SetLimits(a.limit(), a.queueLimit())
	granted, expired := a.gate.Dispatch(now)
	for _, t := range expired {
		a.refuseQueued(a.jobsByTicket[t], refusal.TimedOut, now)
	}
	for _, t := range granted {
		a.grant(a.jobsByTicket[t])
	}
	a.updateReport(now)
}

// queueLimit returns the number of requests that may be queued for the target.
func (a *Agent) queueLimit() int {
	c := a.member.Config()
	if c == nil || c.Service(a.settings.Service) == nil {
		return 0
	}
	return c.Service(a.settings.Service).QueueLimit()
}

// refuseGranted refuses a granted job that has not been sent to the target. It has no
// effect on a job in another phase.
func (a *Agent) refuseGranted(j *job, r refusal.Refusal, now time.Time) {
	if j.phase != claiming {
		return
	}
	j.refuse(r, now)
	a.releaseTicket(j, now)
}

// releaseTicket releases the units that a job uses at the gate and dispatches
// queued jobs.
func (a *Agent) releaseTicket(j *job, now time.Time) {
	delete(a.jobsByTicket, j.ticket)
	a.gate.Done(j.ticket)
	a.dispatch(now)
}

// tryStart makes the last decision before the request is sent to the target. It
// starts the job and returns "", or refuses it and returns the reason.
func (a *Agent) tryStart(j *job, now time.Time) refusal.Reason {
	r := a.blockedReason(now)
	switch {
	case j.phase != claiming:
		return j.refusal.Reason
	case r == "" && !a.guards.IsInTime(now.Before(j.deadline)):
		r = refusal.TimedOut
	case r == "" && a.exceedsLimitAfterRestart():
		r = refusal.TargetDown
	}
	if r != "" {
		a.refuseGranted(j, refusal.Refusal{Reason: r, Effect: refusal.NotRun}, now)
		return r
	}
	j.phase = running
	j.startedAt = now
	j.bootID = a.warmth.BootID()
	return ""
}

// exceedsLimitAfterRestart reports whether the target may have restarted since the
// job was granted and the running units exceed the limit of a cold target. If the
// target may have restarted, it applies the cold limit until the target reports its
// boot ID.
func (a *Agent) exceedsLimitAfterRestart() bool {
	if a.isTargetConnected() {
		return false
	}
	a.warmth.Suspend()
	return a.gate.RunningUnits() > a.limit()
}

// updateReport stores the current report, which other goroutines read.
func (a *Agent) updateReport(now time.Time) {
	r := target.Report{
		Instance:    a.settings.Instance,
		Incarnation: a.member.Incarnation(),
		Service:     a.settings.Service,
		DataCentre:  a.settings.DataCentre,
		Boot:        a.warmth.BootID(),
		Limit:       a.limit(),
		Running:     a.gate.RunningUnits(),
		Waiting:     a.gate.QueuedRequests(),
		LatencyMs:   int(math.Ceil(float64(a.warmth.MeanLatency()) / float64(time.Millisecond))),
		Refusing:    string(a.blockedReason(now)),
		Revision:    a.member.Revision(),
	}
	a.report.Store(&r)
}

// findJob returns the job with an attempt ID, or nil.
func (a *Agent) findJob(id string) *job { return a.jobs[id] }

// addReader records that an entry reads the job's answer. The job is kept until
// removeReader is called.
func (a *Agent) addReader(j *job) { j.readerCount++ }

// removeReader records that an entry has stopped reading the job's answer.
func (a *Agent) removeReader(j *job) { j.readerCount-- }
