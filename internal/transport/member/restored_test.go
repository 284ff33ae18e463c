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

// TestListTagOfBeforeARestoreDoesNotCount guards against an instance list that is taken as unchanged
// because a restored store gave out its tag again.
func TestListTagOfBeforeARestoreDoesNotCount(t *testing.T) {
	c := qt.New(t)
	const tag = `"5"`
	var isRestored atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/instances" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		generation, list := "1", `[{"id":"a","data-centre":"east"}]`
		if isRestored.Load() {
			generation, list = "2", `[{"id":"a","data-centre":"east"},{"id":"b","data-centre":"east"}]`
		}
		w.Header().Set("Store-Generation", generation)
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = w.Write([]byte(list))
	}))
	defer server.Close()
	m := newTestMember(t, server.URL)
	m.Start()
	defer m.Close()
	hasInstances := func(n int) bool {
		for end := time.Now().Add(3 * time.Second); len(m.Instances()) != n; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				return false
			}
		}
		return true
	}
	c.Assert(hasInstances(1), qt.IsTrue)
	isRestored.Store(true)
	c.Check(hasInstances(2), qt.IsTrue)
}
