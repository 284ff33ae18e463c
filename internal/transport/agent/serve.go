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

// serve answers an entry.
func (a *Agent) serve(ctx *fasthttp.RequestCtx) {
	if id, found := strings.CutPrefix(string(ctx.Path()), attempt.PathAttempts); found {
		a.attach(ctx, id)
		return
	}
	env, err := attempt.ReadEnvelope(&ctx.Request.Header)
	if err != nil {
		a.refuse(ctx, refusal.Refusal{Reason: refusal.BadRequest, Effect: refusal.NotRun, Detail: err.Error()}, 0)
		return
	}
	j := a.newJob(ctx, env)
	o := process.Call(a.member.Loop(), func(now time.Time) offered { return a.offer(j, now) })
	switch {
	case o.job == nil:
		a.refuse(ctx, refusal.Refusal{
			Reason:     o.refusal,
			Effect:     o.effect,
			Attempt:    env.Attempt(),
			RetryAfter: seconds(o.wait),
		}, 0)
	case o.known:
		a.deliver(ctx, o.job, 0)
	case a.admit(ctx, j):
		a.deliver(ctx, j, 0)
	}
}

func seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

// newJob copies what the job needs, since the request belongs to the server.
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
	return newJob(env, req, cost, a.settings.MaxAnswerBytes, f, time.Now())
}

// admit waits for room, claims what may run at most once, and starts the
// run. It reports whether there is an answer or a refusal to deliver; else
// it has answered already.
func (a *Agent) admit(ctx *fasthttp.RequestCtx, j *job) bool {
	if reason := <-j.grant; reason != "" {
		return true
	}
	if a.guards.MustClaim(j.keyed()) {
		if holder, held := a.claim(j); held {
			attempt.WriteHolder(&ctx.Response.Header, holder)
			return false
		}
	}
	reason := process.Call(a.member.Loop(), func(now time.Time) refusal.Reason { return a.begin(j, now) })
	if reason != "" {
		a.abandonIfClaimed(j)
		return true
	}
	go a.run(j)
	return true
}

// attach delivers the answer of an attempt that came earlier.
func (a *Agent) attach(ctx *fasthttp.RequestCtx, id string) {
	offset, _ := strconv.ParseInt(string(ctx.Request.Header.Peek(attempt.HeaderOffset)), 10, 64)
	same := string(ctx.Request.Header.Peek(attempt.HeaderIncarnation)) == a.member.Incarnation()
	j := process.Call(a.member.Loop(), func(time.Time) *job { return a.find(id) })
	if j == nil || !same {
		a.refuse(ctx, refusal.Refusal{Reason: refusal.AnswerLost, Effect: refusal.Unknown, Attempt: id}, 0)
		return
	}
	a.deliver(ctx, j, offset)
}

// deliver writes a job's refusal, or its answer from an offset.
func (a *Agent) deliver(ctx *fasthttp.RequestCtx, j *job, offset int64) {
	<-j.answer.Started()
	head, found := j.answer.Head()
	if !found {
		<-j.settled
		a.refuse(ctx, a.whyNoAnswer(j), j.deaths)
		return
	}
	resp := &ctx.Response
	resp.SetStatusCode(head.Status)
	for _, f := range head.Fields {
		resp.Header.Add(f.Name, f.Value)
	}
	resp.Header.Set(attempt.HeaderOutcome, attempt.OutcomeAnswer)
	resp.Header.Set(attempt.HeaderAttempt, j.envelope.Attempt())
	if j.bodyless(head.Status) {
		<-j.settled
		writeProof(&resp.Header, j.answer.Checksum())
		return
	}
	_ = resp.Header.AddTrailer(attempt.TrailerLength)
	_ = resp.Header.AddTrailer(attempt.TrailerDigest)
	a.member.Loop().Post(func(time.Time) { a.open(j) })
	body := j.answer.Reader(offset, func(p attempt.Checksum) { writeProof(&resp.Header, p) })
	resp.ImmediateHeaderFlush = true
	resp.SetBodyStream(&closing{ReadCloser: body, then: func() {
		a.member.Loop().Post(func(time.Time) { a.release(j) })
	}}, -1)
}

// writeProof tells an entry what a whole answer is, in trailers or, where
// there is no body to follow, in headers.
func writeProof(h *fasthttp.ResponseHeader, p attempt.Checksum) {
	h.Set(attempt.TrailerLength, p.LengthText())
	h.Set(attempt.TrailerDigest, p.DigestText())
}

// whyNoAnswer is the refusal of a job that ended before its answer began.
func (a *Agent) whyNoAnswer(j *job) refusal.Refusal {
	return process.Call(a.member.Loop(), func(time.Time) refusal.Refusal {
		if j.phase == refused {
			return j.refusal
		}
		return refusal.Refusal{Reason: refusal.ConnectionLost, Effect: refusal.Unknown, Attempt: j.envelope.Attempt()}
	})
}

func (a *Agent) refuse(ctx *fasthttp.RequestCtx, r refusal.Refusal, deaths int) {
	attempt.WriteProblem(&ctx.Response, r)
	ctx.Response.Header.Set(attempt.HeaderOutcome, attempt.OutcomeRefused)
	ctx.Response.Header.Set(attempt.HeaderAttempt, r.Attempt)
	if deaths > 0 {
		ctx.Response.Header.Set(attempt.HeaderDeaths, strconv.Itoa(deaths))
	}
}

// headerNamed reports whether a header has a name, whatever its case.
func headerNamed(name []byte, want string) bool {
	return bytes.EqualFold(name, []byte(want))
}
