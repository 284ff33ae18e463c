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
	// maxTries is how many targets one request may be offered to.
	maxTries = 4
	// settleTimeout bounds one question how far an attempt is.
	settleTimeout = 400 * time.Millisecond
	// settleBy is how long after a try an agent's word that it never saw the
	// request counts; agents remember attempts for twice as long.
	settleBy = 5 * time.Minute
	// verdictGrace is how long after the deadline an agent's word on the
	// attempt is still waited for, so that the caller hears the truth.
	verdictGrace = 500 * time.Millisecond
)

// verdict is how one try ended.
type verdict string

const (
	answered  verdict = "answered"
	elsewhere verdict = "elsewhere"
	final     verdict = "final"
	lost      verdict = "lost"
)

// try is one attempt at one target.
type try struct {
	verdict   verdict
	candidate *route.Candidate
	attempt   string
	sent      time.Time
	source    origin
	reply     *attempt.Reply
	refusal   *refusal.Refusal
}

// origin is where an answer comes from; it differs from the candidate where
// another attempt holds the key.
type origin struct {
	attempt     string
	incarnation string
	traffic     string
	peer        string
}

// tries are how a call is offered to one target after another.
type tries struct {
	// next offers it to the next target, and says whether there was one.
	next func() (try, bool)
	// spend takes a retry from the budget.
	spend func() bool
}

// dispatch offers a call to targets until one answers it, or refuses it.
func (e *Entry) dispatch(c *call) (*answer, *refusal.Refusal) {
	return e.offer(c, tries{
		next: func() (try, bool) {
			candidate := e.pick(c)
			if candidate == nil {
				return try{}, false
			}
			return e.try(c, candidate), true
		},
		spend: e.spend,
	})
}

// offer goes from try to try until a call is answered or refused.
func (e *Entry) offer(c *call, to tries) (*answer, *refusal.Refusal) {
	if refused := e.screen(c); refused != nil {
		return nil, refused
	}
	var last *refusal.Refusal
	uncertain := false
	for n := 0; n < maxTries; n++ {
		if !time.Now().Before(c.deadline) {
			last = c.refuse(refusal.TimedOut, refusal.NotRun, "the deadline passed before a target took the request")
			break
		}
		t, found := to.next()
		if !found {
			break
		}
		switch t.verdict {
		case answered:
			a, err := e.take(c, t)
			if err == nil {
				return a, nil
			}
			t.refusal = c.refuse(refusal.AnswerLost, e.guards.Effect(refusal.Unknown), err.Error())
			t.refusal.Attempt = t.attempt
		case final:
			return nil, e.conclude(c, t.refusal, uncertain)
		}
		last = t.refusal
		if t.verdict == elsewhere {
			continue
		}
		uncertain = true
		if c.keyed() || !time.Now().Before(c.deadline) || !to.spend() || e.screen(c) != nil {
			break
		}
	}
	return nil, e.conclude(c, last, uncertain)
}

// conclude is the refusal of a call that no target answered. Whatever the last
// try says of itself, a call with an uncertain one among its tries may have run.
func (e *Entry) conclude(c *call, last *refusal.Refusal, uncertain bool) *refusal.Refusal {
	if refused := e.screen(c); refused != nil && !uncertain {
		return refused
	}
	if last == nil {
		return c.refuse(refusal.NoTarget, refusal.NotRun, "no target of the service takes requests")
	}
	if uncertain {
		last.Effect = e.guards.Effect(refusal.Unknown)
	}
	return last
}

// screen treats a call that was running when a target died.
func (e *Entry) screen(c *call) *refusal.Refusal {
	if e.suspect.Load() == 0 {
		return nil
	}
	treatment := process.Call(e.member.Loop(), func(now time.Time) retry.Treatment {
		return e.suspects.TreatmentOf(c.fingerprint, now)
	})
	if treatment == retry.Refuse {
		return c.refuse(refusal.Suspected, refusal.NotRun, "targets died while they ran this request")
	}
	c.suspect = treatment == retry.SoleSuspect
	return nil
}

func (e *Entry) pick(c *call) *route.Candidate {
	set := e.table.Load().set(c.service.Name())
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	candidate := set.Pick(c.wants, c.tried, random)
	if candidate != nil {
		c.tried = append(c.tried, candidate)
	}
	return candidate
}

// spend takes a retry from the budget.
func (e *Entry) spend() bool {
	ok := process.Call(e.member.Loop(), func(time.Time) bool { return e.budget.Spend() })
	if !ok {
		event.RetryBudgetExhausted.Log(e.log)
		return false
	}
	e.counters.retries.Inc()
	return true
}

// try sends a call to one target and waits for the head of the answer.
func (e *Entry) try(c *call, candidate *route.Candidate) try {
	report, _, found := candidate.LastReport()
	if !found {
		return try{verdict: elsewhere, candidate: candidate, refusal: c.refuse(refusal.TargetDown, refusal.NotRun, "")}
	}
	i := candidate.Instance()
	t := try{candidate: candidate, attempt: e.member.NewID(), sent: time.Now()}
	t.source = origin{attempt: t.attempt, incarnation: report.Incarnation, traffic: i.Traffic, peer: i.Peer}
	candidate.AddInFlight(c.units)
	reply, err := e.client.Send(i.Traffic, e.envelop(c, t), time.Until(c.deadline))
	t = e.resolve(c, t, reply, err)
	if t.verdict != answered {
		candidate.RemoveInFlight(c.units)
	}
	return t
}

// envelop makes the request for the agent.
func (e *Entry) envelop(c *call, t try) *fasthttp.Request {
	req := &fasthttp.Request{}
	c.request.CopyTo(req)
	req.SetHost(t.source.traffic)
	env := attempt.NewEnvelope(t.attempt, t.source.incarnation, c.service.Name(), c.account.Name(), time.Until(c.deadline))
	switch c.key {
	case "":
	case unkeyed:
		env = env.WithKey(t.attempt)
	default:
		env = env.WithKey(c.key)
	}
	if c.suspect {
		env = env.AsSuspect()
	}
	env.Write(&req.Header)
	return req
}
