package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// limitingTarget is a target whose answers name a limit; an empty one is not named.
type limitingTarget struct {
	standin.Target
	limit atomic.Value
}

func newLimitingTarget(id string) *limitingTarget {
	t := &limitingTarget{Target: standin.Target{ID: id}}
	t.limit.Store("")
	t.Handler = func(w http.ResponseWriter, _ *http.Request) {
		if limit := t.limit.Load().(string); limit != "" {
			w.Header().Set("Server-Limit", limit)
		}
	}
	return t
}

// TestTargetThatNamesALimit sends requests to a target that names a limit.
func TestTargetThatNamesALimit(t *testing.T) {
	const (
		window = 4 * time.Second
		sent   = 12
	)
	tests := []struct {
		limit string
		// most is how many requests may reach the target in the window.
		most int
	}{
		{"0.5", 2}, {" 0.75 ", 3}, {"0.01", 1}, {"0", 1},
		{"-1", sent}, {"NaN", sent}, {"Inf", sent}, {"soon", sent}, {"1e999", sent}, {"1e12", sent}, {"", sent},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%q", tt.limit), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			target := newLimitingTarget("t-0")
			env.addTarget(&target.Target, "t-0", "bells")
			env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 1 })
			target.limit.Store(tt.limit)
			began := time.Now()
			for n := range sent {
				sentAt := time.Now()
				got := env.do(env.request(order, fmt.Sprintf("a-%d", n), ""))
				took := time.Since(sentAt)
				if got.status == http.StatusOK {
					continue
				}
				env.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
				env.c.Check(took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %s", took))
				retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				env.c.Check(err, qt.IsNil)
				back := sentAt.Add(time.Duration(retryAfter * float64(time.Second)))
				env.c.Check(back.Sub(began) > window-100*time.Millisecond, qt.IsTrue, qt.Commentf("Retry-After %v", retryAfter))
			}
			env.c.Check(target.Requests(), qt.HasLen, tt.most)
			if tt.most == sent {
				return
			}
			target.limit.Store("")
			time.Sleep(window - time.Since(began) + 50*time.Millisecond)
			for n := range sent {
				env.c.Check(env.do(env.request(order, fmt.Sprintf("b-%d", n), "")).status, qt.Equals, http.StatusOK)
			}
		})
	}
}

// TestEntriesKnowLimitsThatOthersWereTold has a target name a limit to one of two entries,
// and no limit any more to the other one.
func TestEntriesKnowLimitsThatOthersWereTold(t *testing.T) {
	// spread is the time until other entries know.
	const spread = time.Second
	env := newTestEnv(t)
	target := newLimitingTarget("t-0")
	env.addTarget(&target.Target, "t-0", "bells")
	gateways := []*Gateway{env.gateway, env.addEntry("entry-2", "127.0.0.2", env.storeAddress)}
	env.eventually("entries know each other", func() bool { return gateways[0].entryCount.Load() == 2 && gateways[1].entryCount.Load() == 2 })
	limitAt := func(g *Gateway) float64 {
		targets := g.fleet.Targets(time.Now())
		if len(targets) != 1 {
			return -1
		}
		return targets[0].LimitPerSecond
	}
	send := func(g *Gateway, id string) {
		env.address = g.settings.TrafficListen
		env.eventually("an entry serves", func() bool { return env.do(env.request(order, id, "")).status == http.StatusOK })
	}
	target.limit.Store("3")
	send(gateways[0], "a-0")
	time.Sleep(spread)
	env.c.Check(limitAt(gateways[1]), qt.Equals, 3.0)
	gateways = append(gateways, env.addEntry("entry-3", "127.0.0.3", env.storeAddress))
	env.eventually("an entry that starts knows the limit", func() bool { return limitAt(gateways[2]) == 3 })
	target.limit.Store("")
	send(gateways[1], "a-1")
	time.Sleep(spread)
	for _, g := range gateways {
		env.c.Check(limitAt(g), qt.Equals, 0.0, qt.Commentf("%s", g.settings.Name))
	}
}

// TestEntryBorrowsAttempts sends all requests to one of three entries while a target names a
// limit. The entry must use what the limit leaves to the others, and no more.
func TestEntryBorrowsAttempts(t *testing.T) {
	const most = 8 // of a limit of two a second, in 4 s
	env := newTestEnv(t)
	target := newLimitingTarget("t-0")
	env.addTarget(&target.Target, "t-0", "bells")
	gateways := []*Gateway{env.gateway, env.addEntry("entry-2", "127.0.0.2", env.storeAddress), env.addEntry("entry-3", "127.0.0.3", env.storeAddress)}
	for _, g := range gateways {
		env.eventually("entries know each other and the target", func() bool {
			return g.entryCount.Load() == 3 && len(g.fleet.Targets(time.Now())) == 1
		})
	}
	target.limit.Store("2")
	env.eventually("the target serves", func() bool { return env.do(env.request(order, "a-0", "")).status == http.StatusOK })
	for _, g := range gateways {
		env.eventually("all entries know the limit", func() bool { return g.fleet.Targets(time.Now())[0].LimitPerSecond == 2 })
	}
	served := 1
	for n := range 3 * most {
		if env.do(env.request(order, fmt.Sprint("b-", n), "")).status == http.StatusOK {
			served++
		}
	}
	env.c.Check(served >= most-1 && served <= most, qt.IsTrue, qt.Commentf("%d served", served))
	env.c.Check(env.gateway.metrics.loans.Get() > 0, qt.IsTrue)
}

// TestNoticeOfAnotherTarget has the target that got an address after another one refuse
// requests for that one, name a limit and say that it is leaving.
func TestNoticeOfAnotherTarget(t *testing.T) {
	env := newTestEnv(t)
	old := &standin.Target{ID: "t-0"}
	env.addTarget(old, "t-0", "bells")
	address := env.addTarget(&standin.Target{ID: "t-1", Refusal: http.Header{"Server-Limit": {"0.5"}, "Server-Leaving": {"1"}}}, "t-1", "drafts")
	env.putTarget("t-0", "bells", address, "serving")
	env.eventually("target is known", func() bool { return len(env.gateway.fleet.Targets(time.Now())) == 2 })
	time.Sleep(200 * time.Millisecond)
	env.do(env.request(order, "a-0", ""))
	target := newLimitingTarget("t-0")
	env.addTarget(&target.Target, "t-0", "bells")
	env.eventually("the target serves at its own address", func() bool { return env.do(env.request(order, "a-1", "")).status == http.StatusOK })
	for _, s := range env.gateway.fleet.Targets(time.Now()) {
		env.c.Check(s.LimitPerSecond, qt.Equals, 0.0, qt.Commentf("%s", s.ID))
		env.c.Check(s.Leaving, qt.IsFalse, qt.Commentf("%s", s.ID))
	}
}
