package entry

import (
	"errors"
	"io"
	"time"

	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
)

// take makes an answer of a reply; one that is no stream is read whole.
func (e *Entry) take(c *call, t try) (*answer, error) {
	a := &answer{attempt: t.attempt}
	a.head(t.reply.Response())
	stream := isStream(&t.reply.Response().Header)
	checker := attempt.NewVerifyingReader(t.reply, e.guards.AnswerMatches, func(offset int64) (attempt.Source, error) {
		return e.resume(t.source, offset)
	})
	if stream {
		a.stream = checker
		a.release = func(whole bool) { e.release(c, t, whole) }
		return a, nil
	}
	body, err := io.ReadAll(checker)
	_ = checker.Close()
	t.candidate.RemoveInFlight(c.units)
	if err != nil {
		event.AnswerInterrupted.Log(e.log, "attempt", t.attempt, "error", err)
		// Whether the target died has to be known before another one is
		// tried.
		e.cancel(c, t)
		return nil, err
	}
	e.confirm(t)
	a.body = body
	return a, nil
}

// release ends the attempt of a stream: the agent may forget its answer once
// the caller has it, or stop the target if the caller has gone.
func (e *Entry) release(c *call, t try, whole bool) {
	t.candidate.RemoveInFlight(c.units)
	if whole {
		e.confirm(t)
		return
	}
	go e.cancel(c, t)
}

// confirm tells the agent that the caller has the whole answer.
func (e *Entry) confirm(t try) {
	e.member.Loop().Post(func(time.Time) { e.budget.RecordSuccess() })
	ref := peer.AttemptRef{Attempt: t.source.attempt, Incarnation: t.source.incarnation}
	_ = peer.Notify(e.member.Pool(), t.source.peer, peer.MethodConfirm, ref)
}

// cancel tells the agent that nobody waits for the answer any more, and notes
// whether the target died.
func (e *Entry) cancel(c *call, t try) {
	if s, err := e.askProgress(t.source, true); err == nil {
		e.recordDeaths(c, s.Deaths)
	}
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
			return nil, attempt.ErrBytesUnavailable
		}
		reply, err := e.client.Attach(o.traffic, o.attempt, o.incarnation, offset)
		if err != nil {
			failure = err
			if s.Progress == peer.Pending && errors.Is(err, attempt.ErrNoAnswer) {
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
