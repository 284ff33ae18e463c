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

// closedFor is how long an attempt id is remembered after its answer is gone.
const closedFor = 10 * time.Minute

// priorityLevels turns a priority, 0 first, into a factor of the share.
const priorityLevels = 10

func (a *Agent) configure(c *config.Config) {
	s := c.Service(a.settings.Service)
	if s == nil {
		return
	}
	a.warmth.SetBounds(admission.NewBounds(s.ColdLimit(), s.WarmLimit(), s.WarmUpUnits()))
	a.gate.SetLimits(a.limit(), s.QueueLimit())
}

// list takes the platform's instance list, by which an instance may leave.
func (a *Agent) list(all []target.Instance) {
	for _, i := range all {
		if i.ID != a.settings.Instance {
			continue
		}
		a.listed = true
		if i.Leaving {
			a.leave("instance list")
		}
	}
}

// blocked returns why no new work is taken, or "".
func (a *Agent) blocked(now time.Time) refusal.Reason {
	return a.guards.BlockedReason(a.whyBlocked(now))
}

// limit returns the room at the target.
func (a *Agent) limit() int {
	return a.guards.Limit(a.warmth.Limit(), a.warmth.WarmLimit())
}

func (a *Agent) whyBlocked(now time.Time) refusal.Reason {
	if a.leaving {
		return refusal.Leaving
	}
	if r := a.member.BlockedReasonOnLoop(now); r != "" {
		return r
	}
	if c := a.member.Config(); c == nil || c.Service(a.settings.Service) == nil {
		return refusal.NotReady
	}
	if !a.targetUp {
		return refusal.TargetDown
	}
	return ""
}

// closedAttempt is an attempt whose job is gone, or that never comes to one.
type closedAttempt struct {
	at  time.Time
	ran bool
}

// offered answers an attempt that arrives after it was closed.
func (c closedAttempt) offered() offered {
	if c.ran {
		return offered{refusal: refusal.AlreadyAttempted, effect: refusal.Unknown}
	}
	return offered{refusal: refusal.Cancelled, effect: refusal.NotRun}
}

// turnedAway is an attempt that is refused before it has a job.
func turnedAway(r refusal.Reason) offered {
	return offered{refusal: r, effect: refusal.NotRun}
}

// offered answers the arrival of an attempt: a job to wait for, or a refusal.
type offered struct {
	job     *job
	known   bool
	refusal refusal.Reason
	effect  refusal.Effect
	wait    time.Duration
}

// offer takes an attempt that has just arrived.
func (a *Agent) offer(j *job, now time.Time) offered {
	id := j.envelope.Attempt()
	if known := a.jobs[id]; known != nil {
		return offered{job: known, known: true}
	}
	if c, found := a.closed[id]; found {
		return c.offered()
	}
	if j.envelope.Incarnation() != a.member.Incarnation() {
		return turnedAway(refusal.NotReady)
	}
	if r := a.blocked(now); r != "" {
		return turnedAway(r)
	}
	if a.kept+a.settings.MaxAnswerBytes > a.settings.MaxKeptBytes && a.kept > 0 {
		return turnedAway(refusal.Full)
	}
	treatment := a.suspects.TreatmentOf(j.fingerprint, now)
	if treatment == retry.Refuse {
		return turnedAway(refusal.Suspected)
	}
	suspect := j.envelope.Suspect() || treatment == retry.SoleSuspect
	a.tickets++
	j.ticket = a.tickets
	t := admission.NewTicket(j.ticket, j.envelope.Account(), a.weight(j.envelope.Account()), j.cost, j.deadline, suspect)
	d := a.gate.Offer(t, now)
	for _, e := range d.Evicted() {
		a.deny(a.byTicket[e], refusal.Full, now)
	}
	if d.Verdict() == admission.Refused {
		o := turnedAway(d.Reason())
		o.wait = d.ExpectedWait()
		return o
	}
	a.jobs[id] = j
	a.byTicket[j.ticket] = j
	if d.Verdict() == admission.Granted {
		a.grant(j)
	}
	a.publish(now)
	return offered{job: j}
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
	j.grant <- ""
}

// deny refuses a job that still waits at the gate.
func (a *Agent) deny(j *job, r refusal.Reason, now time.Time) {
	delete(a.byTicket, j.ticket)
	j.refuse(refusal.Refusal{Reason: r, Effect: refusal.NotRun}, now)
	j.grant <- r
}

// next lets waiting jobs run and refuses those that are too late.
func (a *Agent) next(now time.Time) {
	a.gate.SetLimits(a.limit(), a.queueLimit())
	granted, expired := a.gate.Dispatch(now)
	for _, t := range expired {
		a.deny(a.byTicket[t], refusal.TimedOut, now)
	}
	for _, t := range granted {
		a.grant(a.byTicket[t])
	}
	a.publish(now)
}

func (a *Agent) queueLimit() int {
	c := a.member.Config()
	if c == nil || c.Service(a.settings.Service) == nil {
		return 0
	}
	return c.Service(a.settings.Service).QueueLimit()
}

// reject ends a granted job before the target saw it.
func (a *Agent) reject(j *job, r refusal.Refusal, now time.Time) {
	if j.phase != claiming {
		return
	}
	j.refuse(r, now)
	a.free(j, now)
}

// free gives a job's room at the gate back.
func (a *Agent) free(j *job, now time.Time) {
	delete(a.byTicket, j.ticket)
	a.gate.Done(j.ticket)
	a.next(now)
}

// begin is the last decision before the target sees the request.
func (a *Agent) begin(j *job, now time.Time) refusal.Reason {
	r := a.blocked(now)
	switch {
	case j.phase != claiming:
		return j.refusal.Reason
	case r == "" && !a.guards.IsInTime(now.Before(j.deadline)):
		r = refusal.TimedOut
	case r == "" && a.overAfterRestart():
		r = refusal.TargetDown
	}
	if r != "" {
		a.reject(j, refusal.Refusal{Reason: r, Effect: refusal.NotRun}, now)
		return r
	}
	j.phase = running
	j.begun = now
	j.boot = a.warmth.BootID()
	return ""
}

// overAfterRestart reports whether the target may have been restarted since
// the job was granted, and has no room for it as a cold one.
func (a *Agent) overAfterRestart() bool {
	if a.stillThere() {
		return false
	}
	a.warmth.Suspend()
	return a.gate.RunningUnits() > a.limit()
}

// publish puts the present report where traffic and peers read it.
func (a *Agent) publish(now time.Time) {
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
		Refusing:    string(a.blocked(now)),
		Revision:    a.member.Revision(),
	}
	a.report.Store(&r)
}

// find returns a job by attempt id.
func (a *Agent) find(id string) *job { return a.jobs[id] }

// open holds a job while its answer is read.
func (a *Agent) open(j *job) { j.readers++ }

// release lets a job go again.
func (a *Agent) release(j *job) { j.readers-- }
