package follower

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/confirmation"
	"bluebellcrank/internal/state/fleet"
	"bluebellcrank/internal/state/instance"
	"bluebellcrank/platform"
)

// TestListsAreBoundedWhileTheHistoryIsGone guards against lists that follow each other at once.
func TestListsAreBoundedWhileTheHistoryIsGone(t *testing.T) {
	const maxCalls = 50
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if r.URL.Query().Has("watch") {
			w.WriteHeader(http.StatusGone)
			return
		}
		_, _ = w.Write([]byte(`{"entries":[],"hasMore":false,"at":5}`))
	}))
	defer server.Close()
	f := newFollower(server, func(context.Context) (confirmation.Others, error) { return confirmation.Others{}, nil }, 4*time.Second)
	time.Sleep(time.Second)
	n := calls.Load()
	f.Close()
	qt.Check(t, n < maxCalls, qt.IsTrue, qt.Commentf("%d calls in a second", n))
}

// newFollower follows a store, with what other entries tell and the lifetime of confirmations.
func newFollower(server *httptest.Server, others func(context.Context) (confirmation.Others, error), lifetime time.Duration) *Follower {
	return newStartedFollower(server, instance.UnknownStart, others, lifetime)
}

// newStartedFollower is newFollower after a start of which the platform says something.
func newStartedFollower(server *httptest.Server, start instance.Start, others func(context.Context) (confirmation.Others, error), lifetime time.Duration) *Follower {
	return New(platform.NewStore(strings.TrimPrefix(server.URL, "http://")), start, Sink{
		ReplaceTargets: func([]fleet.Target, time.Time) {}, ApplyChanges: func([]fleet.Change, time.Time) {},
		SetOutOfService: func(map[string]bool, time.Time) {}, MergeTargets: func([]fleet.Target, time.Time) {},
		MergeOutOfService: func(map[string]bool, time.Time) {},
		Applied:           others,
	}, func() Limits {
		return Limits{DrainPeriod: time.Second, ConfirmationLifetime: lifetime, StabilityWindow: 3 * time.Second}
	}, hclog.NewNullLogger())
}
