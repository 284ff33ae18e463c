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

// Everything in this file runs on the control thread.

// closedAttemptRetention is how long an attempt id is remembered after its answer is gone.
const closedAttemptRetention = 10 * time.Minute

// priorityLevels turns a priority, 0 first, into a factor of the share.
const priorityLevels = 10

func (a *Agent) applyConfig(c *config.Config) {
	s := c.Service(a.settings.Service)
	if s == nil {
		return
	}
	a.warmth.SetBounds(admission.NewBounds(s.ColdLimit(), s.WarmLimit(), s.WarmUpUnits()))
	a.gate.SetLimits(a.limit(), s.QueueLimit())
}

// applyInstanceList takes the platform's instance applyInstanceList, by which an instance may leave.
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

// blockedReason returns why no new work is taken, or "".
func (a *Agent) blockedReason(now time.Time) refusal.Reason {
	return a.guards.BlockedReason(a.findBlockedReason(now))
}

// limit returns the room at the target.
func (a *Agent) limit() int {
	return a.guards.Limit(a.warmth.Limit(), a.warmth.WarmLimit())
}

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

// closedAttempt is an attempt whose job is gone, or that never comes to one.
type closedAttempt struct {
	closedAt   time.Time
	mayHaveRun bool
}

// result answers an attempt that arrives after it was closed.
func (c closedAttempt) result() offerResult {
	if c.mayHaveRun {
		return offerResult{reason: refusal.AlreadyAttempted, effect: refusal.Unknown}
	}
	return offerResult{reason: refusal.Cancelled, effect: refusal.NotRun}
}

// refusedOffer is an attempt that is refused before it has a job.
func refusedOffer(r refusal.Reason) offerResult {
	return offerResult{reason: r, effect: refusal.NotRun}
}

// offerResult answers the arrival of an attempt: a job to wait for, or a refusal.
type offerResult struct {
	job          *job
	isExisting   bool
	reason       refusal.Reason
	effect       refusal.Effect
	expectedWait time.Duration
}

// offer takes an attempt that has just arrived.
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

func (a *Agent) weight(account string) int {
	c := a.member.Config().Account(account)
	if c == nil {
		return 1
	}
	return c.Share() * (priorityLevels - c.Priority())
}

func (a *Agent) grant(j *job) {
	j.phase = claiming
	j.gateResult <- ""
}

// refuseQueued refuses a job that still waits at the gate.
func (a *Agent) refuseQueued(j *job, r refusal.Reason, now time.Time) {
	delete(a.jobsByTicket, j.ticket)
	j.refuse(refusal.Refusal{Reason: r, Effect: refusal.NotRun}, now)
	j.gateResult <- r
}

// dispatch lets waiting jobs run and refuses those that are too late.
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

func (a *Agent) queueLimit() int {
	c := a.member.Config()
	if c == nil || c.Service(a.settings.Service) == nil {
		return 0
	}
	return c.Service(a.settings.Service).QueueLimit()
}

// refuseGranted ends a granted job before the target saw it.
func (a *Agent) refuseGranted(j *job, r refusal.Refusal, now time.Time) {
	if j.phase != claiming {
		return
	}
	j.refuse(r, now)
	a.releaseTicket(j, now)
}

// releaseTicket gives a job's room at the gate back.
func (a *Agent) releaseTicket(j *job, now time.Time) {
	delete(a.jobsByTicket, j.ticket)
	a.gate.Done(j.ticket)
	a.dispatch(now)
}

// tryStart is the last decision before the target sees the request.
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

// exceedsLimitAfterRestart reports whether the target may have been restarted since
// the job was granted, and has no room for it as a cold one.
func (a *Agent) exceedsLimitAfterRestart() bool {
	if a.isTargetConnected() {
		return false
	}
	a.warmth.Suspend()
	return a.gate.RunningUnits() > a.limit()
}

// updateReport puts the present report where traffic and peers read it.
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

// findJob returns a job by attempt id.
func (a *Agent) findJob(id string) *job { return a.jobs[id] }

// addReader holds a job while its answer is read.
func (a *Agent) addReader(j *job) { j.readerCount++ }

// removeReader lets a job go again.
func (a *Agent) removeReader(j *job) { j.readerCount-- }
