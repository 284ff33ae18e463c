package entry

import (
	"errors"
	"io"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
)

const (
	eventStreamType       = "text/event-stream"
	fullRetryAfterSeconds = 1
)

// serve handles a caller's request.
func (e *Entry) serve(c fiber.Ctx) error {
	now := time.Now()
	e.counters.requests.Inc()
	call, refused := e.readCall(c, now)
	if refused != nil {
		e.refuse(c, *refused, now)
		return nil
	}
	if e.inFlight.Add(1) > int64(e.settings.MaxInFlight) {
		e.inFlight.Add(-1)
		e.refuse(c, *call.newRefusal(refusal.Full, refusal.NotRun, "too many requests in flight at this entry"), now)
		return nil
	}
	a, refused := e.dispatch(call)
	if refused != nil {
		e.inFlight.Add(-1)
		e.refuse(c, *refused, time.Now())
		return nil
	}
	e.counters.answerHead.UpdateDuration(now)
	e.writeAnswer(c, a)
	return nil
}

// refuse records a refusal and writes it as the response.
func (e *Entry) refuse(c fiber.Ctx, r refusal.Refusal, now time.Time) {
	e.counters.refused.Inc()
	if r.Reason == refusal.Full && r.RetryAfter == 0 {
		r.RetryAfter = fullRetryAfterSeconds
	}
	r = e.member.RecordRefusal(r, now)
	attempt.WriteProblem(c.Response(), r)
}

// handleError writes a refusal for requests that the HTTP library rejects, such as one
// whose body exceeds the limit.
func (e *Entry) handleError(c fiber.Ctx, err error) error {
	reason := refusal.BadRequest
	var f *fiber.Error
	if errors.As(err, &f) && (f.Code == fiber.StatusRequestEntityTooLarge || f.Code == fiber.StatusRequestHeaderFieldsTooLarge) {
		reason = refusal.TooLarge
	}
	e.refuse(c, *refusedBeforeRun(reason, err.Error()), time.Now())
	return nil
}

// writeAnswer writes an answer to the caller. An event stream is forwarded as it
// arrives; any other answer is already complete.
func (e *Entry) writeAnswer(c fiber.Ctx, a *answer) {
	resp := c.Response()
	resp.SetStatusCode(a.status)
	for _, f := range a.fields {
		resp.Header.Add(f.Name, f.Value)
	}
	resp.Header.Set(attempt.RequestID, a.attemptID)
	if a.stream == nil {
		resp.SetBodyRaw(a.body)
		e.inFlight.Add(-1)
		return
	}
	resp.ImmediateHeaderFlush = true
	resp.SetBodyStream(&streamBody{VerifyingReader: a.stream, onClose: func(complete bool) {
		e.inFlight.Add(-1)
		a.finish(complete)
		if !complete {
			event.AnswerInterrupted.Log(e.log, "attempt", a.attemptID, "bytes", a.stream.Offset())
		}
	}}, -1)
}

// streamBody is the body of a forwarded stream. When it is closed, it calls onClose once
// with whether the answer was complete.
type streamBody struct {
	*attempt.VerifyingReader
	onClose  func(complete bool)
	isClosed bool
}

// Close implements io.Closer.
func (s *streamBody) Close() error {
	if s.isClosed {
		return nil
	}
	s.isClosed = true
	err := s.VerifyingReader.Close()
	s.onClose(s.Verified())
	return err
}

// answer is an agent's answer to be written to the caller. For an event stream, stream
// and finish are set instead of body.
type answer struct {
	attemptID string
	status    int
	fields    []attempt.Field
	body      []byte
	stream    *attempt.VerifyingReader
	finish    func(complete bool)
}

// isStream reports whether an answer is an event stream, which is forwarded as it
// arrives.
func isStream(h *fasthttp.ResponseHeader) bool {
	return strings.HasPrefix(string(h.ContentType()), eventStreamType)
}

// setHead copies the status code and the forwarded headers.
func (a *answer) setHead(resp *fasthttp.Response) {
	a.status = resp.StatusCode()
	for name, value := range resp.Header.All() {
		if attempt.Forwarded(string(name)) {
			a.fields = append(a.fields, attempt.Field{Name: string(name), Value: string(value)})
		}
	}
}

var _ io.ReadCloser = (*streamBody)(nil)
