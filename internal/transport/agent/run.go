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
	copyBufferBytes = 16 << 10
	// maxSendDelay is how long after the checks of tryStart a request may be sent.
	maxSendDelay = 250 * time.Millisecond
	// probeTimeout limits the call that finds out whether a target has died.
	probeTimeout = 300 * time.Millisecond
	// identityContentLength is the length that fasthttp returns for a body that ends
	// when the connection closes. Such a body cannot be told from a truncated one.
	identityContentLength = -2
)

var (
	errWrongAnswer = errors.New("agent: the target's answer belongs to another request")
	errNoLength    = errors.New("agent: the target's answer has neither a Content-Length nor chunked encoding")
)

// run sends a job to the target, stores the answer and records the result.
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

// exchange sends the request to the target and stores the answer in the job.
func (a *Agent) exchange(j *job) runResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	a.buildTargetRequest(req, j)
	isEchoRequired := a.isEchoRequired()
	send := a.client.Send
	if j.isKeyed() || !isEchoRequired {
		// The target may close a pooled connection while the request is in
		// transit, and then it is unknown whether the request ran. With a new
		// connection, a request that was not sent is known as such. An answer
		// that names no request belongs to the only one of its connection.
		send = a.client.SendFresh
	}
	// If this process was paused after the checks of tryStart, they may no longer
	// hold. The timeout for sending therefore counts from these checks.
	reply, err := send(a.settings.Target, req, maxSendDelay-time.Since(j.startedAt))
	if errors.Is(err, attempt.ErrNotSent) {
		return runResult{notSent: true}
	}
	if err != nil {
		return runResult{failure: err}
	}
	defer func() { _ = reply.Close() }()
	if err := a.validateHead(j, reply.Response(), isEchoRequired); err != nil {
		reply.Discard()
		return runResult{failure: err}
	}
	return a.storeAnswer(j, reply)
}

// buildTargetRequest fills req with the job's request, without the headers that are
// not forwarded and with the attempt ID as the request ID.
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

// isEchoRequired reports whether the target must repeat the request ID in its answers.
func (a *Agent) isEchoRequired() bool {
	c := a.member.Config()
	if c == nil {
		return false
	}
	s := c.Service(a.settings.Service)
	return s != nil && s.IsEchoRequired()
}

// validateHead returns an error if the answer belongs to another request, or if a
// truncated body could not be told from a complete one.
func (a *Agent) validateHead(j *job, resp *fasthttp.Response, isEchoRequired bool) error {
	echo := string(resp.Header.Peek(attempt.RequestID))
	isOwn := echo == j.envelope.Attempt() || echo == "" && !isEchoRequired
	if !a.guards.AnswerMatches(isOwn) {
		return fmt.Errorf("%w: %q", errWrongAnswer, echo)
	}
	if resp.Header.ContentLength() == identityContentLength && !j.hasNoBody(resp.StatusCode()) {
		return errNoLength
	}
	return nil
}

// storeAnswer stores the head and the body of the target's answer in the job.
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
	buffer := make([]byte, copyBufferBytes)
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

// hasTargetDied reports whether the target does not respond, or has restarted since
// the job started.
func (a *Agent) hasTargetDied(j *job) bool {
	load, err := engine.ReadLoad(a.settings.Target, a.settings.LoadPath, probeTimeout)
	if err != nil {
		return true
	}
	return j.bootID != load.Boot
}
