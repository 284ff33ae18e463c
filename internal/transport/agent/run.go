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
	// sendWithin is how long after its last check a request may be sent.
	sendWithin = 250 * time.Millisecond
	// probeTimeout bounds the question whether a target has died.
	probeTimeout = 300 * time.Millisecond
	// identityBody is the library's length of a body that ends with its
	// connection, which cannot be told from one that was cut.
	identityBody = -2
)

var (
	errCrossed  = errors.New("agent: the target answered another request")
	errNoLength = errors.New("agent: the target's answer has neither length nor chunks")
)

// run sends a job to the target and keeps its answer.
func (a *Agent) run(j *job) {
	r := a.exchange(j)
	if r.broken != nil {
		r.died = a.probeDied(j)
	}
	process.Call(a.member.Loop(), func(now time.Time) struct{} {
		a.end(j, r, now)
		return struct{}{}
	})
	if r.notSent {
		a.abandonIfClaimed(j)
	}
}

func (a *Agent) exchange(j *job) runResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	a.prepare(req, j)
	send := a.client.Send
	if j.keyed() {
		// A pooled connection may be closed by the target while the request
		// is on its way; a fresh one tells "not sent" from "unknown".
		send = a.client.SendFresh
	}
	// What allowed this run was true when it began; after a pause of this
	// process it may no longer be.
	reply, err := send(a.settings.Target, req, sendWithin-time.Since(j.begun))
	if errors.Is(err, attempt.ErrNotSent) {
		return runResult{notSent: true}
	}
	if err != nil {
		return runResult{broken: err}
	}
	defer func() { _ = reply.Close() }()
	if err := a.checkHead(j, reply.Response()); err != nil {
		return runResult{broken: err}
	}
	return a.copyBody(j, reply)
}

// prepare builds the request that the target sees.
func (a *Agent) prepare(req *fasthttp.Request, j *job) {
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

// checkHead refuses an answer that is another request's, or that could not
// be told from a cut one.
func (a *Agent) checkHead(j *job, resp *fasthttp.Response) error {
	echo := string(resp.Header.Peek(attempt.RequestID))
	required := false
	if c := a.member.Config(); c != nil {
		if s := c.Service(a.settings.Service); s != nil {
			required = s.IsEchoRequired()
		}
	}
	own := echo == j.envelope.Attempt() || echo == "" && !required
	if !a.guards.IsOwnAnswer(own) {
		return fmt.Errorf("%w: %q", errCrossed, echo)
	}
	if resp.Header.ContentLength() == identityBody && !j.bodyless(resp.StatusCode()) {
		return errNoLength
	}
	return nil
}

// copyBody keeps head and body; the latency is the time to the first byte.
func (a *Agent) copyBody(j *job, reply *attempt.Reply) runResult {
	resp := reply.Response()
	head := attempt.Head{Status: resp.StatusCode()}
	for name, value := range resp.Header.All() {
		if attempt.Forwarded(string(name)) && !headerNamed(name, attempt.RequestID) {
			head.Fields = append(head.Fields, attempt.Field{Name: string(name), Value: string(value)})
		}
	}
	j.answer.SetHead(head)
	var r runResult
	buffer := make([]byte, copyBuffer)
	for {
		n, err := reply.Read(buffer)
		if r.latency == 0 {
			r.latency = time.Since(j.begun)
		}
		if n > 0 {
			if _, err := j.answer.Write(buffer[:n]); err != nil {
				return runResult{broken: err}
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
			return runResult{broken: err}
		}
	}
}

// probeDied asks whether the target is another than the one that got the job,
// or no longer there.
func (a *Agent) probeDied(j *job) bool {
	load, err := engine.ReadLoad(a.settings.Target, a.settings.LoadPath, probeTimeout)
	if err != nil {
		return true
	}
	return j.boot != load.Boot
}
