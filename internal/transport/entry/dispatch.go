package entry

import (
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/coordination/retry"
	"bluebellcrank/internal/coordination/route"
	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/protocol/peer"
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

// dispatch offers a call to targets until one answers it, or refuses it.
func (e *Entry) dispatch(c *call) (*answer, *refusal.Refusal) {
	if refused := e.screen(c); refused != nil {
		return nil, refused
	}
	var last *refusal.Refusal
	uncertain := false
	for n := 0; n < maxTries; n++ {
		candidate := e.pick(c)
		if candidate == nil {
			break
		}
		if !time.Now().Before(c.deadline) {
			last = c.refuse(refusal.TimedOut, refusal.NotRun, "the deadline passed before a target took the request")
			break
		}
		t := e.try(c, candidate)
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
		if c.keyed() || !time.Now().Before(c.deadline) || !e.spend() || e.screen(c) != nil {
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
	treatment := process.Ask(e.member.Loop(), func(now time.Time) retry.Treatment {
		return e.suspects.Treat(c.fingerprint, now)
	})
	if treatment == retry.Never {
		return c.refuse(refusal.Suspected, refusal.NotRun, "targets died while they ran this request")
	}
	c.suspect = treatment == retry.Single
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
	ok := process.Ask(e.member.Loop(), func(time.Time) bool { return e.budget.Spend() })
	if !ok {
		event.RetrySpent.Log(e.log)
		return false
	}
	e.counters.retries.Inc()
	return true
}

// try sends a call to one target and waits for the head of the answer.
func (e *Entry) try(c *call, candidate *route.Candidate) try {
	report, _, found := candidate.Last()
	if !found {
		return try{verdict: elsewhere, candidate: candidate, refusal: c.refuse(refusal.TargetDown, refusal.NotRun, "")}
	}
	i := candidate.Instance()
	t := try{candidate: candidate, attempt: e.member.NewID(), sent: time.Now()}
	t.source = origin{attempt: t.attempt, incarnation: report.Incarnation, traffic: i.Traffic, peer: i.Peer}
	candidate.Begin(c.units)
	reply, err := e.client.Send(i.Traffic, e.envelop(c, t), time.Until(c.deadline))
	t = e.resolve(c, t, reply, err)
	if t.verdict != answered {
		candidate.End(c.units)
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

// resolve follows an attempt until its answer begins or its fate is known.
func (e *Entry) resolve(c *call, t try, reply *attempt.Reply, err error) try {
	for {
		if err == nil {
			next, again := e.readHead(c, t, reply)
			if !again {
				return next
			}
			t = next
			reply, err = e.client.Attach(t.source.traffic, t.source.attempt, t.source.incarnation, 0)
			continue
		}
		if errors.Is(err, attempt.ErrNotSent) && t.source.attempt == t.attempt {
			t.candidate.Forget()
			return e.turned(c, t, refusal.TargetDown, "no connection to the agent")
		}
		var settled bool
		t, settled = e.settle(c, t)
		if settled {
			return t
		}
		reply, err = e.client.Attach(t.source.traffic, t.source.attempt, t.source.incarnation, 0)
	}
}

// readHead sorts a head by its outcome; again asks to attach at t's source.
func (e *Entry) readHead(c *call, t try, reply *attempt.Reply) (out try, again bool) {
	resp := reply.Response()
	h := &resp.Header
	switch string(h.Peek(attempt.HeaderOutcome)) {
	case attempt.OutcomeHeld:
		holder := attempt.ReadHolder(h)
		_ = reply.Close()
		t.source = origin{attempt: holder.Attempt(), incarnation: holder.Incarnation(), traffic: holder.Traffic(), peer: holder.Peer()}
		return t, true
	case attempt.OutcomeRefused:
		return e.readRefusal(c, t, reply), false
	case attempt.OutcomeAnswer:
		if e.guards.Whole(string(h.Peek(attempt.HeaderAttempt)) == t.source.attempt) {
			t.verdict = answered
			t.reply = reply
			return t, false
		}
	}
	event.AnswerMismatched.Log(e.log, "attempt", t.attempt)
	_ = reply.Close()
	return e.gone(c, t, refusal.AnswerLost, "the answer belongs to another request"), false
}

func (e *Entry) readRefusal(c *call, t try, reply *attempt.Reply) try {
	deaths, _ := strconv.Atoi(string(reply.Response().Header.Peek(attempt.HeaderDeaths)))
	e.recordDeaths(c, deaths)
	body, err := reply.Body()
	if err != nil {
		return e.gone(c, t, refusal.ConnectionLost, err.Error())
	}
	r, err := attempt.ReadProblem(body)
	if err != nil {
		return e.gone(c, t, refusal.ConnectionLost, err.Error())
	}
	own := t.source.attempt == t.attempt
	switch {
	case r.Effect == refusal.Unknown:
		return e.gone(c, t, r.Reason, r.Detail)
	case !own:
		return e.turned(c, t, r.Reason, "neither this attempt nor the one that held the key ran")
	case r.Reason.Elsewhere():
		t.candidate.Refused(r.Reason == refusal.Full)
		return e.turned(c, t, r.Reason, r.Detail)
	}
	t = e.turned(c, t, r.Reason, r.Detail)
	t.verdict = final
	return t
}

// turned is a try that surely did not run.
func (e *Entry) turned(c *call, t try, r refusal.Reason, detail string) try {
	t.verdict = elsewhere
	t.refusal = c.refuse(r, refusal.NotRun, detail)
	t.refusal.Attempt = t.attempt
	return t
}

// gone is a try that may have run, and whose answer does not come.
func (e *Entry) gone(c *call, t try, r refusal.Reason, detail string) try {
	t.verdict = lost
	t.refusal = c.refuse(r, e.guards.Effect(refusal.Unknown), detail)
	t.refusal.Attempt = t.attempt
	return t
}

// settle asks the agent, on a fresh connection, how far the attempt is; it
// returns false if the answer still comes.
func (e *Entry) settle(c *call, t try) (try, bool) {
	late := !time.Now().Before(c.deadline)
	s, err := e.askProgress(t.source, late)
	if err != nil && c.keyed() && !late {
		// Only this agent can say more about a request that may not run
		// again; another one is asked sooner.
		s, err = e.askProgress(t.source, late)
	}
	if err != nil {
		return e.gone(c, t, refusal.ConnectionLost, "the agent does not answer"), true
	}
	e.recordDeaths(c, s.Deaths)
	switch s.Progress {
	case peer.NeverSeen, peer.Refused:
		if time.Since(t.sent) > settleBy {
			return e.gone(c, t, refusal.TimedOut, "the agent was asked too late"), true
		}
		t = e.turned(c, t, refusal.TimedOut, "the agent never took the request")
		if late {
			t.verdict = final
		}
		return t, true
	case peer.Pending, peer.Finished:
		if time.Now().After(c.deadline.Add(verdictGrace)) {
			return e.gone(c, t, refusal.TimedOut, "the target has not answered in time"), true
		}
		e.counters.resumed.Inc()
		return t, false
	}
	return e.gone(c, t, refusal.ConnectionLost, "the agent has no answer"), true
}

func (e *Entry) askProgress(o origin, cancel bool) (peer.Settlement, error) {
	ref := peer.AttemptRef{Attempt: o.attempt, Incarnation: o.incarnation, Cancel: cancel}
	return peer.CallFresh[peer.AttemptRef, peer.Settlement](e.member.Pool(), o.peer, peer.MethodSettle, ref, settleTimeout)
}

// take makes an answer of a reply; one that is no stream is read whole.
func (e *Entry) take(c *call, t try) (*answer, error) {
	a := &answer{attempt: t.attempt}
	a.head(t.reply.Response())
	stream := isStream(&t.reply.Response().Header)
	checker := attempt.NewChecker(t.reply, e.guards.Whole, func(offset int64) (attempt.Source, error) {
		return e.resume(t.source, offset)
	})
	a.release = func(whole bool) { e.release(c, t, whole) }
	if stream {
		a.stream = checker
		return a, nil
	}
	body, err := io.ReadAll(checker)
	_ = checker.Close()
	a.release(err == nil)
	if err != nil {
		event.AnswerBroken.Log(e.log, "attempt", t.attempt, "error", err)
		return nil, err
	}
	a.body = body
	return a, nil
}

// release ends an attempt: the agent may forget its answer once the caller
// has it, or stop the target if the caller has gone.
func (e *Entry) release(c *call, t try, whole bool) {
	t.candidate.End(c.units)
	ref := peer.AttemptRef{Attempt: t.source.attempt, Incarnation: t.source.incarnation}
	if whole {
		e.member.Loop().Tell(func(time.Time) { e.budget.Succeeded() })
		_ = peer.Notify(e.member.Pool(), t.source.peer, peer.MethodConfirm, ref)
		return
	}
	go func() {
		s, err := e.askProgress(t.source, true)
		if err == nil {
			e.recordDeaths(c, s.Deaths)
		}
	}()
}

const (
	// resumeTries is how often an agent may fail to say how far an answer is.
	resumeTries = 3
	resumePause = 100 * time.Millisecond
)

// resume opens the rest of an answer on a fresh connection.
func (e *Entry) resume(o origin, offset int64) (attempt.Source, error) {
	var failure error
	for n := 0; n < resumeTries; n++ {
		s, err := e.askProgress(o, false)
		if err != nil {
			failure = err
			time.Sleep(resumePause)
			continue
		}
		if s.Progress != peer.Pending && s.Progress != peer.Finished {
			return nil, attempt.ErrGone
		}
		reply, err := e.client.Attach(o.traffic, o.attempt, o.incarnation, offset)
		if err != nil {
			failure = err
			if s.Progress == peer.Pending && errors.Is(err, attempt.ErrSilent) {
				n--
			}
			continue
		}
		if !ownAnswer(reply, o) {
			_ = reply.Close()
			return nil, attempt.ErrMismatch
		}
		event.AnswerResumed.Log(e.log, "attempt", o.attempt, "offset", offset)
		e.counters.resumed.Inc()
		return reply, nil
	}
	return nil, failure
}

func ownAnswer(reply *attempt.Reply, o origin) bool {
	h := &reply.Response().Header
	return string(h.Peek(attempt.HeaderOutcome)) == attempt.OutcomeAnswer &&
		string(h.Peek(attempt.HeaderAttempt)) == o.attempt
}
