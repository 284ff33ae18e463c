package agent

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/coordination/claim"
	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/state/refusal"
)

// phase is how far a job is; it changes on the control thread only.
type phase string

const (
	waiting  phase = "waiting"
	claiming phase = "claiming"
	running  phase = "running"
	ended    phase = "ended"
	refused  phase = "refused"
)

// job is one attempt at this agent.
type job struct {
	envelope    attempt.Envelope
	request     *fasthttp.Request
	ticket      uint64
	cost        int
	arrived     time.Time
	deadline    time.Time
	fingerprint uint64
	grant       chan refusal.Reason
	answer      *attempt.Answer

	phase     phase
	boot      string
	claimed   bool
	begun     time.Time
	finished  time.Time
	refusal   refusal.Refusal
	settled   chan struct{}
	cancelled atomic.Bool
	deaths    int
	readers   int
	done      bool
}

func newJob(env attempt.Envelope, req *fasthttp.Request, cost, limit int, fingerprint uint64, now time.Time) *job {
	return &job{
		envelope:    env,
		request:     req,
		cost:        cost,
		arrived:     now,
		deadline:    now.Add(env.Timeout()),
		fingerprint: fingerprint,
		grant:       make(chan refusal.Reason, 1),
		answer:      attempt.NewAnswer(limit),
		phase:       waiting,
		settled:     make(chan struct{}),
	}
}

// keyed reports whether the request may run at most once.
func (j *job) keyed() bool { return j.envelope.Key() != "" }

// bodyless reports whether an answer has no body whatever its headers say
// (RFC 9110, section 6.4.1).
func (j *job) bodyless(status int) bool {
	return j.request.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// digest tells the request from another one under the same key.
func (j *job) digest() string {
	return claim.RequestDigest(string(j.request.Header.Method()), string(j.request.RequestURI()), j.request.Body())
}

// refuse ends the job without an answer; it is called once, on the control
// thread.
func (j *job) refuse(r refusal.Refusal, now time.Time) {
	r.Attempt = j.envelope.Attempt()
	j.phase = refused
	j.refusal = r
	j.finished = now
	close(j.settled)
	j.answer.End(attempt.ErrIncomplete)
}

// settle ends a job that ran: with a whole answer for a nil error.
func (j *job) settle(err error, now time.Time) {
	j.phase = ended
	j.finished = now
	j.answer.End(err)
	close(j.settled)
}

// idle reports whether a stop need not wait for the job: it has ended, and
// its answer was delivered or nobody has come for it.
func (j *job) idle(now time.Time, patience time.Duration) bool {
	switch j.phase {
	case refused:
		return j.readers == 0
	case ended:
		return j.readers == 0 && (j.done || now.Sub(j.finished) > patience)
	}
	return false
}
