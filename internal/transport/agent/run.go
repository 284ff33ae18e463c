package agent

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/protocol/engine"
	"bluebellcrank/internal/transport/process"
)

const (
	copyBuffer = 16 << 10
	// maxSendDelay is how long after its last check a request may be sent.
	maxSendDelay = 250 * time.Millisecond
	// probeTimeout bounds the question whether a target has died.
	probeTimeout = 300 * time.Millisecond
	// identityContentLength is the library's length of a body that ends with its
	// connection, which cannot be told from one that was cut.
	identityContentLength = -2
)

var (
	errWrongAnswer = errors.New("agent: the target answered another request")
	errNoLength    = errors.New("agent: the target's answer has neither length nor chunks")
)

// run sends a job to the target and keeps its answer.
func (a *Agent) run(j *job) {
	r := a.exchange(j)
	if r.failure != nil {
		r.targetDied = a.hasTargetDied(j)
	}
	process.Call(a.member.Loop(), func(now time.Time) struct{} {
		a.finishRun(j, r, now)
		return struct{}{}
	})
	if r.notSent {
		a.abandonIfClaimed(j)
	}
}

func (a *Agent) exchange(j *job) runResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	a.buildTargetRequest(req, j)
	send := a.client.Send
	if j.isKeyed() {
		// A pooled connection may be closed by the target while the request
		// is on its way; a fresh one tells "not sent" from "unknown".
		send = a.client.SendFresh
	}
	// What allowed this run was true when it began; after a pause of this
	// process it may no longer be.
	reply, err := send(a.settings.Target, req, maxSendDelay-time.Since(j.startedAt))
	if errors.Is(err, attempt.ErrNotSent) {
		return runResult{notSent: true}
	}
	if err != nil {
		return runResult{failure: err}
	}
	defer func() { _ = reply.Close() }()
	if err := a.validateHead(j, reply.Response()); err != nil {
		return runResult{failure: err}
	}
	return a.storeAnswer(j, reply)
}

// buildTargetRequest builds the request that the target sees.
func (a *Agent) buildTargetRequest(req *fasthttp.Request, j *job) {
	j.request.CopyTo(req)
	for name := range j.request.Header.All() {
		if !attempt.Forwarded(string(name)) {
			req.Header.DelBytes(name)
		}
	}
	req.Header.Set(attempt.RequestID, j.envelope.Attempt())
	req.Header.SetHost(a.settings.Target)
	req.SetRequestURIBytes(j.request.RequestURI())
	req.URI().SetScheme("http")
	req.URI().SetHost(a.settings.Target)
}

// validateHead refuses an answer that is another request's, or that could not
// be told from a cut one.
func (a *Agent) validateHead(j *job, resp *fasthttp.Response) error {
	echo := string(resp.Header.Peek(attempt.RequestID))
	isEchoRequired := false
	if c := a.member.Config(); c != nil {
		if s := c.Service(a.settings.Service); s != nil {
			isEchoRequired = s.IsEchoRequired()
		}
	}
	isOwn := echo == j.envelope.Attempt() || echo == "" && !isEchoRequired
	if !a.guards.IsOwnAnswer(isOwn) {
		return fmt.Errorf("%w: %q", errWrongAnswer, echo)
	}
	if resp.Header.ContentLength() == identityContentLength && !j.hasNoBody(resp.StatusCode()) {
		return errNoLength
	}
	return nil
}

// storeAnswer keeps head and body; the latency is the time to the first byte.
func (a *Agent) storeAnswer(j *job, reply *attempt.Reply) runResult {
	resp := reply.Response()
	head := attempt.Head{Status: resp.StatusCode()}
	for name, value := range resp.Header.All() {
		if attempt.Forwarded(string(name)) && !isHeader(name, attempt.RequestID) {
			head.Fields = append(head.Fields, attempt.Field{Name: string(name), Value: string(value)})
		}
	}
	j.answer.SetHead(head)
	var r runResult
	buffer := make([]byte, copyBuffer)
	for {
		n, err := reply.Read(buffer)
		if r.latency == 0 {
			r.latency = time.Since(j.startedAt)
		}
		if n > 0 {
			if _, err := j.answer.Write(buffer[:n]); err != nil {
				return runResult{failure: err}
			}
			if j.cancelled.Load() {
				return runResult{cancelled: true}
			}
			continue
		}
		if errors.Is(err, io.EOF) {
			return r
		}
		if err != nil {
			return runResult{failure: err}
		}
	}
}

// hasTargetDied asks whether the target is another than the one that got the job,
// or no longer there.
func (a *Agent) hasTargetDied(j *job) bool {
	load, err := engine.ReadLoad(a.settings.Target, a.settings.LoadPath, probeTimeout)
	if err != nil {
		return true
	}
	return j.bootID != load.Boot
}
