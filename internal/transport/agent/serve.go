package agent

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/coordination/retry"
	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/protocol/engine"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/transport/process"
)

// handle handles a request from an entry: a new attempt, or a request for the
// answer of an earlier one.
func (a *Agent) handle(ctx *fasthttp.RequestCtx) {
	if id, found := strings.CutPrefix(string(ctx.Path()), attempt.PathAttempts); found {
		a.attach(ctx, id)
		return
	}
	env, err := attempt.ReadEnvelope(&ctx.Request.Header)
	if err != nil {
		id := string(ctx.Request.Header.Peek(attempt.HeaderAttempt))
		a.writeRefusal(ctx, refusal.Refusal{Reason: refusal.BadRequest, Effect: refusal.NotRun, Attempt: id, Detail: err.Error()}, 0)
		return
	}
	j := a.newJob(ctx, env)
	o := process.Call(a.member.Loop(), func(now time.Time) offerResult { return a.offer(j, now) })
	switch {
	case o.job == nil:
		a.writeRefusal(ctx, refusal.Refusal{
			Reason:     o.reason,
			Effect:     o.effect,
			Attempt:    env.Attempt(),
			RetryAfter: ceilSeconds(o.expectedWait),
		}, 0)
	case o.isExisting:
		a.deliver(ctx, o.job, 0)
	case a.admit(ctx, j):
		a.deliver(ctx, j, 0)
	}
}

// ceilSeconds returns a duration in seconds, rounded up.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

// newJob returns the job of a request. It copies the request, which the server reuses
// after the handler returns.
func (a *Agent) newJob(ctx *fasthttp.RequestCtx, env attempt.Envelope) *job {
	req := &fasthttp.Request{}
	ctx.Request.CopyTo(req)
	body := req.Body()
	cost := 1
	if c := a.member.Config(); c != nil {
		if s := c.Service(env.Service()); s != nil {
			cost = s.Cost(len(body), engine.ReadPrompt(body).MaxTokens())
		}
	}
	f := retry.Fingerprint(env.Account(), env.Service(), string(req.Header.Method()), string(req.RequestURI()), body)
	return newJob(env, req, cost, attempt.NewAnswer(a.settings.MaxAnswerBytes, a.answerMemory), f, time.Now())
}

// admit waits until the gate grants the job, claims the key of a keyed job, and
// starts the run. It reports whether the caller has to deliver the job's answer or
// refusal. If another attempt holds the key, admit writes the holder to the
// response and returns false.
func (a *Agent) admit(ctx *fasthttp.RequestCtx, j *job) bool {
	if reason := <-j.gateResult; reason != "" {
		return true
	}
	if a.guards.MustClaim(j.isKeyed()) {
		if holder, held := a.claim(j); held {
			attempt.WriteHolder(&ctx.Response.Header, j.envelope.Attempt(), holder)
			return false
		}
	}
	reason := process.Call(a.member.Loop(), func(now time.Time) refusal.Reason { return a.tryStart(j, now) })
	if reason != "" {
		a.abandonIfClaimed(j)
		return true
	}
	go a.run(j)
	return true
}

// attach delivers the answer of an earlier attempt, from the requested offset.
func (a *Agent) attach(ctx *fasthttp.RequestCtx, id string) {
	offset, _ := strconv.ParseInt(string(ctx.Request.Header.Peek(attempt.HeaderOffset)), 10, 64)
	isSameIncarnation := string(ctx.Request.Header.Peek(attempt.HeaderIncarnation)) == a.member.Incarnation()
	j := process.Call(a.member.Loop(), func(time.Time) *job { return a.findJob(id) })
	if j == nil || !isSameIncarnation {
		a.writeRefusal(ctx, refusal.Refusal{Reason: refusal.AnswerLost, Effect: refusal.Unknown, Attempt: id}, 0)
		return
	}
	a.deliver(ctx, j, offset)
}

// deliver writes the job's refusal, or its answer from an offset. It waits until the
// answer starts or the job ends without one.
func (a *Agent) deliver(ctx *fasthttp.RequestCtx, j *job, offset int64) {
	<-j.answer.Started()
	head, found := j.answer.Head()
	if !found {
		<-j.settled
		a.writeRefusal(ctx, a.refusalWithoutAnswer(j), j.deaths)
		return
	}
	resp := &ctx.Response
	resp.SetStatusCode(head.Status)
	for _, f := range head.Fields {
		resp.Header.Add(f.Name, f.Value)
	}
	resp.Header.Set(attempt.HeaderOutcome, attempt.OutcomeAnswer)
	resp.Header.Set(attempt.HeaderAttempt, j.envelope.Attempt())
	if j.hasNoBody(head.Status) {
		<-j.settled
		writeChecksum(&resp.Header, j.answer.Checksum())
		return
	}
	_ = resp.Header.AddTrailer(attempt.TrailerLength)
	_ = resp.Header.AddTrailer(attempt.TrailerDigest)
	a.member.Loop().Post(func(time.Time) { a.addReader(j) })
	body := j.answer.Reader(offset, func(sum attempt.Checksum) { writeChecksum(&resp.Header, sum) })
	resp.ImmediateHeaderFlush = true
	resp.SetBodyStream(&closeNotifier{ReadCloser: body, onClose: func() {
		a.member.Loop().Post(func(time.Time) { a.removeReader(j) })
	}}, -1)
}

// writeChecksum sets the checksum by which an entry verifies that it has the complete
// answer. The fields are sent as trailers, or as headers of an answer without a body.
func writeChecksum(h *fasthttp.ResponseHeader, sum attempt.Checksum) {
	h.Set(attempt.TrailerLength, sum.LengthText())
	h.Set(attempt.TrailerDigest, sum.DigestText())
}

// refusalWithoutAnswer returns the refusal of a job that ended before its answer
// started.
func (a *Agent) refusalWithoutAnswer(j *job) refusal.Refusal {
	return process.Call(a.member.Loop(), func(time.Time) refusal.Refusal {
		if j.phase == refused {
			return j.refusal
		}
		return refusal.Refusal{Reason: refusal.ConnectionLost, Effect: refusal.Unknown, Attempt: j.envelope.Attempt()}
	})
}

// writeRefusal writes a refusal as the response. deaths is the number of targets
// that died while they ran the request.
func (a *Agent) writeRefusal(ctx *fasthttp.RequestCtx, r refusal.Refusal, deaths int) {
	attempt.WriteProblem(&ctx.Response, r)
	ctx.Response.Header.Set(attempt.HeaderOutcome, attempt.OutcomeRefused)
	ctx.Response.Header.Set(attempt.HeaderAttempt, r.Attempt)
	if deaths > 0 {
		ctx.Response.Header.Set(attempt.HeaderDeaths, strconv.Itoa(deaths))
	}
}

// isHeader reports whether a header has the wanted name, ignoring case.
func isHeader(name []byte, want string) bool {
	return bytes.EqualFold(name, []byte(want))
}
