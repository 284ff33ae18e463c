package follower

import (
	"context"
	"fmt"
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
	"bluebellcrank/platform/standin"
)

// TestWatchThatIsSwallowedMissesNoChange guards against a list that stands still while the store
// answers all other calls, because one watch never gets an answer.
func TestWatchThatIsSwallowedMissesNoChange(t *testing.T) {
	// slack is for the calls that follow once the change is noticed.
	const slack = 500 * time.Millisecond
	tests := []struct {
		name, kind string
		limit      time.Duration
	}{
		{"targets", "servers", maxConfigWait + slack},
		{"data centres", "evacuations", maxConfigWait + evacuationCheckAge + slack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := standin.NewStore()
			store.Put("config", "main", map[string]any{"version": 1, "routes": []any{}, "services": []any{}})
			var swallowed atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/"+tt.kind) && r.URL.Query().Has("watch") && swallowed.Add(1) == 1 {
					<-r.Context().Done()
					return
				}
				store.ServeHTTP(w, r)
			}))
			defer server.CloseClientConnections()
			changed := make(chan bool, 1)
			f := New(platform.NewStore(strings.TrimPrefix(server.URL, "http://")), instance.UnknownStart, Sink{
				ReplaceTargets: func([]fleet.Target, time.Time) {}, MergeTargets: func([]fleet.Target, time.Time) {},
				MergeOutOfService: func(map[string]bool, time.Time) {},
				Applied:           func(context.Context) (confirmation.Others, error) { return confirmation.Others{}, nil },
				ApplyChanges:      func([]fleet.Change, time.Time) { changed <- true },
				SetOutOfService: func(out map[string]bool, _ time.Time) {
					if out["east"] {
						changed <- true
					}
				},
			}, func() Limits {
				return Limits{DrainPeriod: time.Second, ConfirmationLifetime: 4 * time.Second, StabilityWindow: 3 * time.Second}
			}, hclog.NewNullLogger())
			defer f.Close()
			eventually(c, 2*time.Second, func() bool { return swallowed.Load() > 0 })
			time.Sleep(time.Second)
			store.Put(tt.kind, "east", map[string]any{"service": "bells", "address": "127.0.0.1:9", "state": "draining"})
			select {
			case <-changed:
			case <-time.After(tt.limit):
				c.Errorf("the change was not seen within %s", tt.limit)
			}
		})
	}
}

// TestListsAreCheckedSeldom guards against checks of a list with each change of another one, and
// against checks while nothing changes.
func TestListsAreCheckedSeldom(t *testing.T) {
	const period = 8 * time.Second
	tests := []struct {
		name string
		// changes is the kind of the objects that change all the time; empty for none.
		changes string
		// A list of targets is checked with each answer to the configuration, one of data
		// centres with every second one.
		maxTargetChecks, maxEvacuationChecks int64
	}{
		{"nothing changes", "", 0, 0},
		{"targets change", "servers", 1, 3},
		{"others change", "other", 5, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := standin.NewStore()
			store.Put("config", "main", map[string]any{"version": 1, "routes": []any{}, "services": []any{}})
			var targetChecks, evacuationChecks atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				isCheck := r.URL.Query().Get("waitMs") == fmt.Sprint(checkWait.Milliseconds())
				if isCheck && strings.HasSuffix(r.URL.Path, "/servers") {
					targetChecks.Add(1)
				} else if isCheck {
					evacuationChecks.Add(1)
				}
				store.ServeHTTP(w, r)
			}))
			defer server.Close()
			f := newStartedFollower(server, instance.FirstStart, func(context.Context) (confirmation.Others, error) { return confirmation.Others{}, nil }, 4*time.Second)
			defer f.Close()
			time.Sleep(6 * time.Second) // the lists are confirmed after the record that the follower writes
			targetChecks.Store(0)
			evacuationChecks.Store(0)
			for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if tt.changes != "" {
					store.Put(tt.changes, "t-0", map[string]any{"service": "bells", "address": "127.0.0.1:9", "state": "serving"})
				}
			}
			c.Check(targetChecks.Load() <= tt.maxTargetChecks, qt.IsTrue, qt.Commentf("%d checks of targets", targetChecks.Load()))
			c.Check(evacuationChecks.Load() <= tt.maxEvacuationChecks, qt.IsTrue, qt.Commentf("%d checks of data centres", evacuationChecks.Load()))
		})
	}
}

// TestWatchedList checks when a list counts as complete, is to be checked and is given up.
func TestWatchedList(t *testing.T) {
	const second, allowed = time.Second, 5 * time.Second
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	// positions are the states of the store after one change each.
	positions := []platform.Position{}
	for range 4 {
		store.Put("other", "of-the-operator", map[string]any{"n": len(positions)})
		_, _, position, err := platform.NewStore(strings.TrimPrefix(server.URL, "http://")).Targets(t.Context())
		qt.Assert(t, err, qt.IsNil)
		positions = append(positions, position)
	}
	type state struct {
		at       time.Duration
		position int
	}
	tests := []struct {
		name string
		// states are those of the store that other answers tell, after a list at 10 s with
		// position 1.
		states    []state
		isChecked bool
		isEnded   bool
		age       time.Duration
	}{
		{name: "no change", states: []state{{12 * second, 1}, {14 * second, 1}}},
		{name: "an earlier state", states: []state{{12 * second, 0}}},
		{name: "a change just after", states: []state{{10*second + 500*time.Millisecond, 2}}, age: 500 * time.Millisecond},
		{name: "a change", states: []state{{12 * second, 2}}, isChecked: true, age: 2 * second},
		{name: "a change after a proof", states: []state{{12 * second, 1}, {14 * second, 3}}, isChecked: true, age: 2 * second},
		{name: "a change that is never brought", states: []state{{12 * second, 2}, {16 * second, 2}}, isChecked: true, isEnded: true, age: 6 * second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l := newWatchedList("targets", second, nil, hclog.NewNullLogger(), 9*second)
			l.recordAnswer(l.begin(10*second), positions[1], 10*second)
			watch, end := l.watch(t.Context())
			defer end()
			isChecked, now := false, time.Duration(0)
			for _, s := range tt.states {
				now = s.at
				isChecked = l.recordState(positions[s.position], s.at, s.at, allowed)
			}
			c.Check(isChecked, qt.Equals, tt.isChecked)
			c.Check(watch.Err() != nil, qt.Equals, tt.isEnded)
			c.Check(l.age(now), qt.Equals, tt.age)
			call := l.begin(now)
			l.recordAnswer(call, positions[1], now) // covers what was known when it began
			c.Check(l.recordState(positions[tt.states[len(tt.states)-1].position], now+second, now+second, allowed), qt.IsFalse)
			c.Check(l.age(now+second), qt.Equals, time.Duration(0))
		})
	}
}
