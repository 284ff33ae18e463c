package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/coordination/route"
	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/state/account"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/service"
	"bluebellcrank/internal/state/target"
)

// writeReply writes an agent's reply.
func writeReply(w io.Writer, resp *fasthttp.Response) {
	buffer := bufio.NewWriter(w)
	_ = resp.Write(buffer)
	_ = buffer.Flush()
}

// copyingAgent answers an attempt, and writes its first reply once more where the second
// one is due.
func copyingAgent(t *testing.T, first func(resp *fasthttp.Response, id string)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		var reply strings.Builder
		for range 2 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if reply.Len() == 0 {
				var resp fasthttp.Response
				first(&resp, request.Header.Get(attempt.HeaderAttempt))
				writeReply(&reply, &resp)
			}
			_, _ = io.WriteString(conn, reply.String())
		}
		_, _ = io.Copy(io.Discard, conn)
	}()
	return l.Addr().String()
}

// TestAttemptIsNotAnsweredByACopiedReply has an agent write the reply to an earlier attempt
// once more. The attempt may have run.
func TestAttemptIsNotAnsweredByACopiedReply(t *testing.T) {
	refuse := func(r refusal.Reason, e refusal.Effect) func(*fasthttp.Response, string) {
		return func(resp *fasthttp.Response, id string) {
			attempt.WriteProblem(resp, refusal.Refusal{Reason: r, Effect: e, Attempt: id})
			resp.Header.Set(attempt.HeaderOutcome, attempt.OutcomeRefused)
			resp.Header.Set(attempt.HeaderAttempt, id)
		}
	}
	tests := []struct {
		name  string
		reply func(resp *fasthttp.Response, id string)
	}{
		{"refused here", refuse(refusal.Leaving, refusal.NotRun)},
		{"refused everywhere", refuse(refusal.BadRequest, refusal.NotRun)},
		{"refused, not known whether it ran", refuse(refusal.AnswerLost, refusal.Unknown)},
		{"held", func(resp *fasthttp.Response, id string) {
			attempt.WriteHolder(&resp.Header, id, attempt.NewHolder("a-0", "i", "127.0.0.1:1", "127.0.0.1:1"))
		}},
		{"answer", func(resp *fasthttp.Response, id string) {
			resp.Header.Set(attempt.HeaderOutcome, attempt.OutcomeAnswer)
			resp.Header.Set(attempt.HeaderAttempt, id)
			resp.SetBodyString("struck")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			address := copyingAgent(t, tt.reply)
			e := &Entry{guards: DefaultGuards(), log: hclog.NewNullLogger(), client: attempt.NewClient(time.Second)}
			request := &call{account: account.New("parish", 1, 1), service: &service.Service{}, request: &fasthttp.Request{}, deadline: time.Now().Add(time.Minute)}
			for n := range 2 {
				a := targetAttempt{id: fmt.Sprint("a-", n+1), candidate: route.NewCandidate(target.Instance{}, true)}
				a.source = origin{attemptID: a.id, trafficAddress: address}
				reply, err := e.client.Send(address, e.newAgentRequest(request, a), time.Second)
				c.Assert(err, qt.IsNil)
				if n == 0 {
					_, err = reply.Body()
					c.Assert(err, qt.IsNil)
					continue
				}
				a, attach := e.readHead(request, a, reply)
				c.Check(attach, qt.IsFalse)
				c.Assert(a.result, qt.Equals, uncertain)
				c.Check(a.refusal.Reason, qt.Equals, refusal.AnswerLost)
				c.Check(a.refusal.Effect, qt.Equals, refusal.Unknown)
			}
		})
	}
}
