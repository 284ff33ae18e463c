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
	arrivedAt   time.Time
	deadline    time.Time
	fingerprint uint64
	gateResult  chan refusal.Reason
	answer      *attempt.Answer

	phase          phase
	bootID         string
	hasClaim       bool
	startedAt      time.Time
	finishedAt     time.Time
	refusal        refusal.Refusal
	settled        chan struct{}
	cancelled      atomic.Bool
	deaths         int
	readerCount    int
	answerUnneeded bool
}

func newJob(env attempt.Envelope, req *fasthttp.Request, cost, limit int, fingerprint uint64, now time.Time) *job {
	return &job{
		envelope:    env,
		request:     req,
		cost:        cost,
		arrivedAt:   now,
		deadline:    now.Add(env.Timeout()),
		fingerprint: fingerprint,
		gateResult:  make(chan refusal.Reason, 1),
		answer:      attempt.NewAnswer(limit),
		phase:       waiting,
		settled:     make(chan struct{}),
	}
}

// isKeyed reports whether the request may run at most once.
func (j *job) isKeyed() bool { return j.envelope.Key() != "" }

// hasNoBody reports whether an answer has no body whatever its headers say
// (RFC 9110, section 6.4.1).
func (j *job) hasNoBody(status int) bool {
	return j.request.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// requestDigest tells the request from another one under the same key.
func (j *job) requestDigest() string {
	return claim.RequestDigest(string(j.request.Header.Method()), string(j.request.RequestURI()), j.request.Body())
}

// refuse ends the job without an answer; it is called once, on the control
// thread.
func (j *job) refuse(r refusal.Refusal, now time.Time) {
	r.Attempt = j.envelope.Attempt()
	j.phase = refused
	j.refusal = r
	j.finishedAt = now
	close(j.settled)
	j.answer.End(attempt.ErrIncomplete)
}

// finish ends a job that ran: with a whole answer for a nil error.
func (j *job) finish(err error, now time.Time) {
	j.phase = ended
	j.finishedAt = now
	j.answer.End(err)
	close(j.settled)
}

// isIdle reports whether a stop need not wait for the job: it has ended, and
// its answer was delivered or nobody has come for it.
func (j *job) isIdle(now time.Time, maxDeliveryWait time.Duration) bool {
	switch j.phase {
	case refused:
		return j.readerCount == 0
	case ended:
		return j.readerCount == 0 && (j.answerUnneeded || now.Sub(j.finishedAt) > maxDeliveryWait)
	}
	return false
}
