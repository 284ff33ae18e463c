package entry

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/coordination/retry"
	"bluebellcrank/internal/coordination/route"
	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/process"
)

const (
	// maxAttempts is the maximum number of targets to which one request is sent.
	maxAttempts = 4
	// settleTimeout is the timeout of one query for an attempt's progress.
	settleTimeout = 400 * time.Millisecond
	// neverSeenWindow is the age of an attempt up to which the entry accepts an
	// agent's reply that it has not run the attempt. Agents remember attempts for
	// twice as long.
	neverSeenWindow = 5 * time.Minute
	// settleGracePeriod is the time after the deadline during which the entry still
	// waits for the outcome of an attempt, so that the refusal states it correctly.
	settleGracePeriod = 500 * time.Millisecond
)

// attemptResult is the result of sending a request to one target.
type attemptResult string

const (
	// answered means that the head of the answer has arrived.
	answered attemptResult = "answered"
	// retryElsewhere means that the request did not run here and may be sent to
	// another target.
	retryElsewhere attemptResult = "elsewhere"
	// final means that the request did not run and that another target would not
	// accept it either, or that its deadline has passed.
	final attemptResult = "final"
	// uncertain means that the request may have run and its answer is unavailable.
	uncertain attemptResult = "lost"
)

// targetAttempt is one attempt to run a request at one target.
type targetAttempt struct {
	result    attemptResult
	candidate *route.Candidate
	id        string
	sentAt    time.Time
	source    origin
	reply     *attempt.Reply
	refusal   *refusal.Refusal
}

// origin identifies the attempt and the agent from which the answer is read. They
// differ from the attempt that was sent if an earlier one holds the idempotency key.
type origin struct {
	attemptID      string
	incarnation    string
	trafficAddress string
	peerAddress    string
}

// attemptFuncs contains the functions that attemptTargets uses, so that a test can
// replace them.
type attemptFuncs struct {
	// next sends the call to the next target and reports whether there was one.
	next func() (targetAttempt, bool)
	// spendRetry removes a retry from the budget and reports whether there was one.
	spendRetry func() bool
}

// dispatch sends a call to targets until one answers. It returns the answer or a
// refusal.
func (e *Entry) dispatch(c *call) (*answer, *refusal.Refusal) {
	return e.attemptTargets(c, attemptFuncs{
		next: func() (targetAttempt, bool) {
			candidate := e.nextCandidate(c)
			if candidate == nil {
				return targetAttempt{}, false
			}
			return e.sendTo(c, candidate), true
		},
		spendRetry: e.spendRetry,
	})
}

// attemptTargets makes attempts until one is answered or no further attempt is allowed.
// After an attempt that may have run, it makes another one only if the call has no
// idempotency key and the retry budget allows it.
func (e *Entry) attemptTargets(c *call, funcs attemptFuncs) (*answer, *refusal.Refusal) {
	if refused := e.checkSuspect(c); refused != nil {
		return nil, refused
	}
	var last *refusal.Refusal
	mayHaveRun := false
	for n := 0; n < maxAttempts; n++ {
		if !time.Now().Before(c.deadline) {
			last = c.newRefusal(refusal.TimedOut, refusal.NotRun, "the deadline passed before a target took the request")
			break
		}
		t, found := funcs.next()
		if !found {
			break
		}
		switch t.result {
		case answered:
			a, err := e.receiveAnswer(c, t)
			if err == nil {
				return a, nil
			}
			t.refusal = c.newRefusal(refusal.AnswerLost, e.guards.Effect(refusal.Unknown), err.Error())
			t.refusal.Attempt = t.id
		case final:
			return nil, e.finalRefusal(c, t.refusal, mayHaveRun)
		}
		last = t.refusal
		if t.result == retryElsewhere {
			continue
		}
		mayHaveRun = true
		if c.isKeyed() || !time.Now().Before(c.deadline) || !c.hasRetry && !funcs.spendRetry() || e.checkSuspect(c) != nil {
			break
		}
		c.hasRetry = false
	}
	return nil, e.finalRefusal(c, last, mayHaveRun)
}

// finalRefusal returns the refusal of a call that no target answered. If any of its
// attempts may have run, the refusal says so, whatever the result of the last one.
func (e *Entry) finalRefusal(c *call, last *refusal.Refusal, mayHaveRun bool) *refusal.Refusal {
	if refused := e.checkSuspect(c); refused != nil && !mayHaveRun {
		return refused
	}
	if last == nil {
		return c.newRefusal(refusal.NoTarget, refusal.NotRun, "no target of the service takes requests")
	}
	if mayHaveRun {
		last.Effect = e.guards.Effect(refusal.Unknown)
	}
	return last
}

// checkSuspect returns a refusal if too many targets died while they ran the call, and
// otherwise records whether the call is a suspect. A target runs at most one suspect at
// a time.
func (e *Entry) checkSuspect(c *call) *refusal.Refusal {
	if e.suspectCount.Load() == 0 {
		return nil
	}
	treatment := process.Call(e.member.Loop(), func(now time.Time) retry.Treatment {
		return e.suspects.TreatmentOf(c.fingerprint, now)
	})
	if treatment == retry.Refuse {
		return c.newRefusal(refusal.Suspected, refusal.NotRun, "targets died while they ran this request")
	}
	c.isSuspect = treatment == retry.SoleSuspect
	return nil
}

// pickCandidate chooses a target that the call has not tried, or returns nil.
func (e *Entry) pickCandidate(c *call) *route.Candidate {
	set := e.table.Load().setOf(c.service.Name())
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	candidate := set.Pick(c.routing, c.tried, random)
	if candidate != nil {
		c.tried = append(c.tried, candidate)
	}
	return candidate
}

// nextCandidate returns the target that reserveRetry has chosen, or chooses one.
func (e *Entry) nextCandidate(c *call) *route.Candidate {
	if reserved := c.reserved; reserved != nil {
		c.reserved = nil
		return reserved
	}
	return e.pickCandidate(c)
}

// reserveRetry reports whether a call whose agent is silent may be sent to another target
// at once, and reserves that target and a retry of the budget. Otherwise the silent agent is
// the only one that may still answer.
func (e *Entry) reserveRetry(c *call) bool {
	if c.isKeyed() {
		return false
	}
	if c.reserved == nil && len(c.tried) < maxAttempts {
		c.reserved = e.pickCandidate(c)
	}
	if c.reserved == nil || !c.hasRetry && !e.spendRetry() {
		return false
	}
	c.hasRetry = true
	return true
}

// spendRetry removes a retry from the budget and reports whether there was one.
func (e *Entry) spendRetry() bool {
	granted := process.Call(e.member.Loop(), func(time.Time) bool { return e.budget.Spend() })
	if !granted {
		event.RetryBudgetExhausted.Log(e.log)
		return false
	}
	e.counters.retries.Inc()
	return true
}

// sendTo sends a call to one target and waits until the head of the answer arrives or
// the attempt fails.
func (e *Entry) sendTo(c *call, candidate *route.Candidate) targetAttempt {
	report, _, found := candidate.LastReport()
	if !found {
		return targetAttempt{result: retryElsewhere, candidate: candidate, refusal: c.newRefusal(refusal.TargetDown, refusal.NotRun, "")}
	}
	i := candidate.Instance()
	t := targetAttempt{candidate: candidate, id: e.member.NewID(), sentAt: time.Now()}
	t.source = origin{attemptID: t.id, incarnation: report.Incarnation, trafficAddress: i.Traffic, peerAddress: i.Peer}
	candidate.AddInFlight(c.units)
	reply, err := e.client.Send(i.Traffic, e.newAgentRequest(c, t), time.Until(c.deadline))
	t = e.resolve(c, t, reply, err)
	if t.result != answered {
		candidate.RemoveInFlight(c.units)
	}
	return t
}

// newAgentRequest returns the request to the agent, with the headers that describe the
// attempt.
func (e *Entry) newAgentRequest(c *call, t targetAttempt) *fasthttp.Request {
	req := &fasthttp.Request{}
	c.request.CopyTo(req)
	req.SetHost(t.source.trafficAddress)
	env := attempt.NewEnvelope(t.id, t.source.incarnation, c.service.Name(), c.account.Name(), time.Until(c.deadline))
	switch c.key {
	case "":
	case attemptAsKey:
		env = env.WithKey(t.id)
	default:
		env = env.WithKey(c.key)
	}
	if c.isSuspect {
		env = env.AsSuspect()
	}
	env.Write(&req.Header)
	return req
}
