package rankagent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/expert"
)

// TestLostReleaseIsSentAgainSoon has the engine that holds the step not answer:
// the group stands still until the order is sent again.
func TestLostReleaseIsSentAgainSoon(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(engine.Close)
	t.Cleanup(func() { close(release) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	mux := peer.NewMux()
	peer.Handle(mux, methodOrder, func(_ context.Context, r orderRequest) (orderReply, error) {
		c.Check(r.Order.Kind, qt.Equals, mapswitch.Query)
		return orderReply{Granted: true, Report: &expert.RankReport{Held: 7}}, nil
	})
	pool := peer.NewPool(peerTimeout)
	server := peer.Serve(l, mux, pool.Bytes())
	t.Cleanup(server.Close)
	t.Cleanup(pool.Close)
	lead := newLeader(&Agent{peers: pool, log: hclog.NewNullLogger()})
	lead.engines = []string{"", strings.TrimPrefix(engine.URL, "http://")}
	lead.addresses = []string{"", l.Addr().String()}
	began := time.Now()
	out, err := lead.orderHolder(t.Context(), orderRequest{Order: mapswitch.Order{Rank: 1, Kind: mapswitch.Release, Step: 7}})
	c.Assert(err, qt.IsNil)
	c.Check(out.Answered, qt.IsFalse)
	c.Check(out.Report.Held, qt.Equals, int64(7))
	c.Check(time.Since(began) < peerTimeout, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
}
