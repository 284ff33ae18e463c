package entry

import (
	"errors"
	"time"

	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
)

// receiveAnswer converts the agent's reply to an answer. It reads the body to its end
// unless the answer is an event stream.
func (e *Entry) receiveAnswer(c *call, t targetAttempt) (*answer, error) {
	a := &answer{attemptID: t.id}
	a.setHead(t.reply.Response())
	stream := isStream(&t.reply.Response().Header)
	reader := attempt.NewVerifyingReader(t.reply, e.guards.AnswerMatches, func(offset int64) (attempt.Source, error) {
		return e.resume(c, t.source, offset)
	})
	if stream {
		a.stream = reader
		a.finish = func(complete bool) { e.finishStream(c, t, complete) }
		return a, nil
	}
	body, err := e.answers.ReadAll(reader)
	_ = reader.Close()
	t.candidate.RemoveInFlight(c.units)
	if err != nil {
		event.AnswerInterrupted.Log(e.log, "attempt", t.id, "error", err)
		// Wait for the agent's reply: it reports whether the target died, which
		// decides whether another target may be tried.
		e.cancel(c, t)
		return nil, err
	}
	e.confirm(t)
	a.body = body
	return a, nil
}

// finishStream ends the attempt of a stream. After a complete answer the agent may
// discard it. Otherwise the agent is told to cancel the attempt.
func (e *Entry) finishStream(c *call, t targetAttempt, complete bool) {
	t.candidate.RemoveInFlight(c.units)
	if complete {
		e.confirm(t)
		return
	}
	go e.cancel(c, t)
}

// confirm records a success in the retry budget and notifies the agent that the answer
// was received completely.
func (e *Entry) confirm(t targetAttempt) {
	e.member.Loop().Post(func(time.Time) { e.budget.RecordSuccess() })
	ref := peer.AttemptRef{Attempt: t.source.attemptID, Incarnation: t.source.incarnation}
	_ = peer.Notify(e.member.Pool(), t.source.peerAddress, peer.MethodConfirm, ref)
}

// cancel tells the agent that the answer is no longer needed, and records whether the
// target died.
func (e *Entry) cancel(c *call, t targetAttempt) {
	if s, err := e.queryProgress(t.source, true); err == nil {
		e.recordDeaths(c, s.Deaths)
	}
}

const (
	// maxResumeFailures is the maximum number of failed attempts to resume an answer.
	maxResumeFailures = 3
	// resumeRetryDelay is the delay after a failed progress query.
	resumeRetryDelay = 100 * time.Millisecond
)

// resume opens the answer at an offset over a new connection. A connection that fails
// before the answer's head while the attempt is still pending does not count as a
// failure, nor does an agent that is silent before the deadline.
func (e *Entry) resume(c *call, o origin, offset int64) (attempt.Source, error) {
	var lastErr error
	for n := 0; n < maxResumeFailures; n++ {
		s, err := e.queryProgress(o, false)
		if err != nil {
			lastErr = err
			if !peer.IsRefused(err) && time.Now().Before(c.deadline) {
				n--
			}
			time.Sleep(resumeRetryDelay)
			continue
		}
		if s.Progress != peer.Pending && s.Progress != peer.Finished {
			return nil, attempt.ErrBytesUnavailable
		}
		reply, err := e.client.Attach(o.trafficAddress, o.attemptID, o.incarnation, offset)
		if err != nil {
			lastErr = err
			if s.Progress == peer.Pending && errors.Is(err, attempt.ErrNoAnswer) {
				n--
			}
			continue
		}
		if !isAnswerFrom(reply, o) {
			_ = reply.Close()
			return nil, attempt.ErrMismatch
		}
		event.AnswerResumed.Log(e.log, "attempt", o.attemptID, "offset", offset)
		e.counters.resumed.Inc()
		return reply, nil
	}
	return nil, lastErr
}

// isAnswerFrom reports whether a reply is the answer of the attempt at the origin.
func isAnswerFrom(reply *attempt.Reply, o origin) bool {
	h := &reply.Response().Header
	return string(h.Peek(attempt.HeaderOutcome)) == attempt.OutcomeAnswer &&
		string(h.Peek(attempt.HeaderAttempt)) == o.attemptID
}
