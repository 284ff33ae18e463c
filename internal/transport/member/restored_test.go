package member

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

// newTestMember returns a member that is not started.
func newTestMember(t *testing.T, platform string) *Member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return New(NewOptions(process.Settings{
		Instance: "a", DataCentre: "east", Platform: platform, PlatformTimeout: time.Second, PeerTimeout: time.Second,
		ExchangeInterval: time.Second, ListInterval: time.Second, WatchTimeout: 300 * time.Millisecond,
		RefusalInterval: time.Second, MaxKeptRefusals: 10,
	}, target.Agent, hclog.NewNullLogger(), l))
}

// TestWatchWaitsAtAPlatformWithoutGenerations guards against a watch that begins anew at once.
func TestWatchWaitsAtAPlatformWithoutGenerations(t *testing.T) {
	for _, generation := range []string{"0", ""} {
		t.Run("generation "+generation, func(t *testing.T) {
			var watches atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if generation != "" {
					w.Header().Set("Store-Generation", generation)
				}
				if !strings.HasPrefix(r.URL.Path, "/watch/") {
					w.WriteHeader(http.StatusNotFound)
					return
				}
				watches.Add(1)
				if r.URL.Query().Get("after") == "7" {
					select {
					case <-time.After(300 * time.Millisecond):
					case <-r.Context().Done():
					}
				}
				w.Header().Set("ETag", `"7"`)
				_, _ = w.Write([]byte(`{"revision":1}`))
			}))
			defer server.Close()
			m := newTestMember(t, server.URL)
			m.Start()
			time.Sleep(time.Second)
			n := watches.Load()
			m.Close()
			qt.Check(t, n < 20, qt.IsTrue, qt.Commentf("%d watches in a second", n))
		})
	}
}

// TestAgeOfAGenerationIsNotOverstated has a peer answer late how long it has known one.
func TestAgeOfAGenerationIsNotOverstated(t *testing.T) {
	const delay = 300 * time.Millisecond
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	mux := peer.NewMux()
	peer.Handle(mux, peer.MethodExchange, func(context.Context, peer.Exchange) (peer.Exchange, error) {
		time.Sleep(delay)
		return peer.Exchange{Generation: 1}, nil
	})
	server := peer.Serve(l, mux, &atomic.Int64{})
	t.Cleanup(server.Close)
	m := newTestMember(t, "http://127.0.0.1:1")
	m.Start()
	defer m.Close()
	m.exchange(target.Instance{ID: "b", Peer: l.Addr().String(), DataCentre: "east"})
	age := process.Call(m.loop, func(now time.Time) time.Duration { return m.restoreClock.Age(now) })
	c.Check(age < delay, qt.IsTrue, qt.Commentf("%s", age))
}
