package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/coordination/route"
	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/account"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/service"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/member"
	"bluebellcrank/internal/transport/process"
)

// vanishingAgent takes one attempt, and closes its listener and the connection then. It says
// once that the attempt is pending, and that it has lost it afterwards.
type vanishingAgent struct {
	traffic, calls string
	taken, settled atomic.Int64
}

func newVanishingAgent(t *testing.T) *vanishingAgent {
	c := qt.New(t)
	a := &vanishingAgent{}
	traffic, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = traffic.Close() })
	go func() {
		conn, err := traffic.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		a.taken.Add(1)
		_ = traffic.Close()
	}()
	calls, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	mux := peer.NewMux()
	peer.Handle(mux, peer.MethodSettle, func(context.Context, peer.AttemptRef) (peer.Settlement, error) {
		if a.settled.Add(1) == 1 {
			return peer.Settlement{Progress: peer.Pending}, nil
		}
		return peer.Settlement{Progress: peer.Lost}, nil
	})
	server := peer.Serve(calls, mux, &atomic.Int64{})
	t.Cleanup(server.Close)
	a.traffic, a.calls = traffic.Addr().String(), calls.Addr().String()
	return a
}

// TestAttemptWhoseAnswerCannotBeFetchedMayHaveRun has an agent take an attempt, and then no
// further connection. The request may run once at most.
func TestAttemptWhoseAnswerCannotBeFetchedMayHaveRun(t *testing.T) {
	for _, count := range []int{1, 2} {
		t.Run(fmt.Sprint("agents: ", count), func(t *testing.T) {
			c := qt.New(t)
			var agents []*vanishingAgent
			for range count {
				agents = append(agents, newVanishingAgent(t))
			}
			own, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = own.Close() }()
			settings := process.Settings{Instance: "entry-1", Platform: "http://127.0.0.1:1", PlatformTimeout: time.Second, PeerTimeout: time.Second}
			m := member.New(member.NewOptions(settings, target.Entry, hclog.NewNullLogger(), own))
			e := &Entry{guards: DefaultGuards(), log: hclog.NewNullLogger(), member: m, client: attempt.NewClient(time.Second), counters: newCounters(metrics.NewSet())}
			request := &call{account: account.New("parish", 1, 1), service: &service.Service{}, request: &fasthttp.Request{}, key: attemptAsKey, deadline: time.Now().Add(5 * time.Second)}
			sent := 0
			_, refused := e.attemptTargets(request, attemptFuncs{
				next: func() (targetAttempt, bool) {
					if sent == len(agents) {
						return targetAttempt{}, false
					}
					agent := agents[sent]
					sent++
					a := targetAttempt{id: fmt.Sprint("a-", sent), sentAt: time.Now(), candidate: route.NewCandidate(target.Instance{}, true)}
					a.source = origin{attemptID: a.id, trafficAddress: agent.traffic, peerAddress: agent.calls}
					reply, err := e.client.Send(agent.traffic, e.newAgentRequest(request, a), time.Second)
					return e.resolve(request, a, reply, err), true
				},
				spendRetry: func() bool { return true },
			})
			runs := int64(0)
			for _, a := range agents {
				runs += a.taken.Load()
			}
			c.Check(runs, qt.Equals, int64(1))
			c.Assert(refused, qt.IsNotNil)
			c.Check(refused.Effect, qt.Equals, refusal.Unknown)
		})
	}
}
