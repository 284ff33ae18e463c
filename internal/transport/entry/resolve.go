package entry

import (
	"errors"
	"strconv"
	"time"

	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
)

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
			t.candidate.ClearReport()
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
		if e.guards.AnswerMatches(string(h.Peek(attempt.HeaderAttempt)) == t.source.attempt) {
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
	case r.Reason.IsRetryableElsewhere():
		t.candidate.RecordRefusal(r.Reason == refusal.Full)
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
