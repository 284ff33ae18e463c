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
	eventStream  = "text/event-stream"
	fullRetrySec = 1
)

// serve answers a caller.
func (e *Entry) serve(c fiber.Ctx) error {
	now := time.Now()
	e.counters.requests.Inc()
	call, refused := e.read(c, now)
	if refused != nil {
		e.refuse(c, *refused, now)
		return nil
	}
	if e.inFlight.Add(1) > int64(e.settings.MaxInFlight) {
		e.inFlight.Add(-1)
		e.refuse(c, *call.refuse(refusal.Full, refusal.NotRun, "too many requests in flight at this entry"), now)
		return nil
	}
	a, refused := e.dispatch(call)
	if refused != nil {
		e.inFlight.Add(-1)
		e.refuse(c, *refused, time.Now())
		return nil
	}
	e.counters.overhead.UpdateDuration(now)
	e.write(c, a)
	return nil
}

// refuse answers with a refusal and records it.
func (e *Entry) refuse(c fiber.Ctx, r refusal.Refusal, now time.Time) {
	e.counters.refused.Inc()
	if r.Reason == refusal.Full && r.RetryAfter == 0 {
		r.RetryAfter = fullRetrySec
	}
	r = e.member.RecordRefusal(r, now)
	attempt.WriteProblem(c.Response(), r)
}

// failed answers what the library refuses on its own, such as a body over
// the limit.
func (e *Entry) failed(c fiber.Ctx, err error) error {
	reason := refusal.BadRequest
	var f *fiber.Error
	if errors.As(err, &f) && (f.Code == fiber.StatusRequestEntityTooLarge || f.Code == fiber.StatusRequestHeaderFieldsTooLarge) {
		reason = refusal.TooLarge
	}
	e.refuse(c, *notRun(reason, err.Error()), time.Now())
	return nil
}

// write sends an answer to the caller: a stream as it comes, anything else
// once it is whole.
func (e *Entry) write(c fiber.Ctx, a *answer) {
	resp := c.Response()
	resp.SetStatusCode(a.status)
	for _, f := range a.fields {
		resp.Header.Add(f.Name, f.Value)
	}
	resp.Header.Set(attempt.RequestID, a.attempt)
	if a.stream == nil {
		resp.SetBodyRaw(a.body)
		e.inFlight.Add(-1)
		return
	}
	resp.ImmediateHeaderFlush = true
	resp.SetBodyStream(&streamBody{VerifyingReader: a.stream, end: func(whole bool) {
		e.inFlight.Add(-1)
		a.release(whole)
		if !whole {
			event.AnswerInterrupted.Log(e.log, "attempt", a.attempt, "bytes", a.stream.Offset())
		}
	}}, -1)
}

// streamBody tells how a stream ended.
type streamBody struct {
	*attempt.VerifyingReader
	end  func(whole bool)
	done bool
}

// Close implements io.Closer.
func (s *streamBody) Close() error {
	if s.done {
		return nil
	}
	s.done = true
	err := s.VerifyingReader.Close()
	s.end(s.Verified())
	return err
}

// answer is what an agent answered, ready for the caller.
type answer struct {
	attempt string
	status  int
	fields  []attempt.Field
	body    []byte
	stream  *attempt.VerifyingReader
	release func(whole bool)
}

// isStream reports whether an answer is sent on as it comes.
func isStream(h *fasthttp.ResponseHeader) bool {
	return strings.HasPrefix(string(h.ContentType()), eventStream)
}

// head copies status and headers.
func (a *answer) head(resp *fasthttp.Response) {
	a.status = resp.StatusCode()
	for name, value := range resp.Header.All() {
		if attempt.Forwarded(string(name)) {
			a.fields = append(a.fields, attempt.Field{Name: string(name), Value: string(value)})
		}
	}
}

var _ io.ReadCloser = (*streamBody)(nil)
