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

// resolve follows an attempt until the head of its answer arrives or its outcome is
// known. After a lost connection it queries the agent and attaches to the answer.
func (e *Entry) resolve(c *call, t targetAttempt, reply *attempt.Reply, err error) targetAttempt {
	if errors.Is(err, attempt.ErrNotSent) {
		t.candidate.ClearReport()
		return e.notRun(c, t, refusal.TargetDown, "no connection to the agent")
	}
	for {
		if err == nil {
			next, attach := e.readHead(c, t, reply)
			if !attach {
				return next
			}
			t = next
			reply, err = e.client.Attach(t.source.trafficAddress, t.source.attemptID, t.source.incarnation, 0)
			continue
		}
		if errors.Is(err, attempt.ErrNotSent) {
			// The request for the answer was not sent; the attempt was.
			time.Sleep(resumeRetryDelay)
		}
		var settled bool
		t, settled = e.settle(c, t)
		if settled {
			return t
		}
		reply, err = e.client.Attach(t.source.trafficAddress, t.source.attemptID, t.source.incarnation, 0)
	}
}

// readHead handles the outcome in the head of a reply. If attach is true, another attempt
// holds the idempotency key, and the answer has to be requested from out.source.
func (e *Entry) readHead(c *call, t targetAttempt, reply *attempt.Reply) (out targetAttempt, attach bool) {
	h := &reply.Response().Header
	if e.guards.AnswerMatches(string(h.Peek(attempt.HeaderAttempt)) == t.source.attemptID) {
		switch string(h.Peek(attempt.HeaderOutcome)) {
		case attempt.OutcomeHeld:
			holder := attempt.ReadHolder(h)
			_ = reply.Close()
			t.source = origin{attemptID: holder.Attempt(), incarnation: holder.Incarnation(), trafficAddress: holder.Traffic(), peerAddress: holder.Peer()}
			return t, true
		case attempt.OutcomeRefused:
			return e.readRefusal(c, t, reply), false
		case attempt.OutcomeAnswer:
			t.result = answered
			t.reply = reply
			return t, false
		}
	}
	// The reply is to another attempt, or the outcome header is missing or unknown.
	event.AnswerMismatched.Log(e.log, "attempt", t.id)
	reply.Discard()
	return e.mayHaveRun(c, t, refusal.AnswerLost, "the answer belongs to another request"), false
}

// readRefusal converts an agent's refusal to the result of the attempt.
func (e *Entry) readRefusal(c *call, t targetAttempt, reply *attempt.Reply) targetAttempt {
	deaths, _ := strconv.Atoi(string(reply.Response().Header.Peek(attempt.HeaderDeaths)))
	e.recordDeaths(c, deaths)
	body, err := reply.Body()
	if err != nil {
		return e.mayHaveRun(c, t, refusal.ConnectionLost, err.Error())
	}
	r, err := attempt.ReadProblem(body)
	if err != nil {
		return e.mayHaveRun(c, t, refusal.ConnectionLost, err.Error())
	}
	isOwnAttempt := t.source.attemptID == t.id
	switch {
	case r.Effect == refusal.Unknown:
		return e.mayHaveRun(c, t, r.Reason, r.Detail)
	case !isOwnAttempt:
		return e.notRun(c, t, r.Reason, "neither this attempt nor the one that held the key ran")
	case r.Reason.IsRetryableElsewhere():
		t.candidate.RecordRefusal(r.Reason == refusal.Full)
		return e.notRun(c, t, r.Reason, r.Detail)
	}
	t = e.notRun(c, t, r.Reason, r.Detail)
	t.result = final
	return t
}

// notRun returns t as an attempt that certainly did not run, so that another target may
// be tried.
func (e *Entry) notRun(c *call, t targetAttempt, r refusal.Reason, detail string) targetAttempt {
	t.result = retryElsewhere
	t.refusal = c.newRefusal(r, refusal.NotRun, detail)
	t.refusal.Attempt = t.id
	return t
}

// mayHaveRun returns t as an attempt that may have run and whose answer is unavailable.
func (e *Entry) mayHaveRun(c *call, t targetAttempt, r refusal.Reason, detail string) targetAttempt {
	t.result = uncertain
	t.refusal = c.newRefusal(r, e.guards.Effect(refusal.Unknown), detail)
	t.refusal.Attempt = t.id
	return t
}

// settle queries the attempt's progress from the agent over a new connection, again and
// again while the agent is silent. It returns false if the answer can still be read. After
// the deadline it also cancels the attempt.
func (e *Entry) settle(c *call, t targetAttempt) (targetAttempt, bool) {
	var s peer.Settlement
	var pastDeadline bool
	for {
		var err error
		pastDeadline = !time.Now().Before(c.deadline)
		if s, err = e.queryProgress(t.source, pastDeadline); err == nil {
			break
		}
		if pastDeadline || peer.IsRefused(err) || e.reserveRetry(c) {
			return e.mayHaveRun(c, t, refusal.ConnectionLost, "the agent does not answer"), true
		}
		time.Sleep(resumeRetryDelay)
	}
	e.recordDeaths(c, s.Deaths)
	switch s.Progress {
	case peer.NeverSeen, peer.Refused:
		// After neverSeenWindow the reply does not show whether the request ran.
		if time.Since(t.sentAt) > neverSeenWindow {
			return e.mayHaveRun(c, t, refusal.TimedOut, "the agent was asked too late"), true
		}
		t = e.notRun(c, t, refusal.TimedOut, "the agent never took the request")
		if pastDeadline {
			t.result = final
		}
		return t, true
	case peer.Pending, peer.Finished:
		if time.Now().After(c.deadline.Add(settleGracePeriod)) {
			return e.mayHaveRun(c, t, refusal.TimedOut, "the target has not answered in time"), true
		}
		e.counters.resumed.Inc()
		return t, false
	}
	return e.mayHaveRun(c, t, refusal.ConnectionLost, "the agent has no answer"), true
}

// queryProgress queries an attempt's progress over a new connection, and tells the agent
// to cancel the attempt if cancel is true.
func (e *Entry) queryProgress(o origin, cancel bool) (peer.Settlement, error) {
	ref := peer.AttemptRef{Attempt: o.attemptID, Incarnation: o.incarnation, Cancel: cancel}
	return peer.CallFresh[peer.AttemptRef, peer.Settlement](e.member.Pool(), o.peerAddress, peer.MethodSettle, ref, settleTimeout)
}
