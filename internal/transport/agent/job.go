package agent

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/coordination/claim"
	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/state/refusal"
)

// phase is how far a job has progressed. It is changed on the control loop only.
type phase string

const (
	// waiting jobs are queued at the gate.
	waiting phase = "waiting"
	// claiming jobs are granted, and claim their idempotency key if they have one.
	claiming phase = "claiming"
	// running jobs may have been sent to the target.
	running phase = "running"
	// ended jobs ran and have a complete or incomplete answer.
	ended phase = "ended"
	// refused jobs have a refusal instead of an answer.
	refused phase = "refused"
)

// job is one attempt that has arrived at this agent. The fields of the second group
// are changed on the control loop, except hasClaim. gateResult receives the
// decision of the gate: "" if the job is granted, or else the reason of the
// refusal. settled is closed when the job is refused or has ended, after which its
// refusal and deaths do not change. answerUnneeded reports that the caller has the
// whole answer or that the entry has cancelled the attempt.
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

// newJob returns a waiting job for a request that costs the given number of units
// at the gate.
func newJob(env attempt.Envelope, req *fasthttp.Request, cost int, answer *attempt.Answer, fingerprint uint64, now time.Time) *job {
	return &job{
		envelope:    env,
		request:     req,
		cost:        cost,
		arrivedAt:   now,
		deadline:    now.Add(env.Timeout()),
		fingerprint: fingerprint,
		gateResult:  make(chan refusal.Reason, 1),
		answer:      answer,
		phase:       waiting,
		settled:     make(chan struct{}),
	}
}

// isKeyed reports whether the request has an idempotency key and may run at most
// once.
func (j *job) isKeyed() bool { return j.envelope.Key() != "" }

// hasNoBody reports whether an answer with this status has no body, regardless of its
// headers (RFC 9110, section 6.4.1).
func (j *job) hasNoBody(status int) bool {
	return j.request.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// requestDigest returns a digest that distinguishes the request from a different
// one with the same key.
func (j *job) requestDigest() string {
	return claim.RequestDigest(string(j.request.Header.Method()), string(j.request.RequestURI()), j.request.Body())
}

// refuse ends the job without an answer. It is called at most once, on the control
// loop.
func (j *job) refuse(r refusal.Refusal, now time.Time) {
	r.Attempt = j.envelope.Attempt()
	j.phase = refused
	j.refusal = r
	j.finishedAt = now
	close(j.settled)
	j.answer.End(attempt.ErrIncomplete)
}

// finish ends a job that ran. The answer is complete if err is nil.
func (j *job) finish(err error, now time.Time) {
	j.phase = ended
	j.finishedAt = now
	j.answer.End(err)
	close(j.settled)
}

// isIdle reports whether a drain need not wait for the job: the job has ended,
// nobody is reading the answer, and the answer is unneeded or was completed more
// than deliveryWait ago.
func (j *job) isIdle(now time.Time, deliveryWait time.Duration) bool {
	switch j.phase {
	case refused:
		return j.readerCount == 0
	case ended:
		return j.readerCount == 0 && (j.answerUnneeded || now.Sub(j.finishedAt) > deliveryWait)
	}
	return false
}
