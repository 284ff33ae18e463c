package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// closedSoakTimeout is the timeout of the routes, so that pauses outlast a request's time.
	closedSoakTimeout = 1200 * time.Millisecond
	// closedSoakSlots is so few that entries hold requests until a slot is free.
	closedSoakSlots = 1
	// shortGrace ends requests that are under way when their entry is stopped.
	shortGrace = 700 * time.Millisecond
	// lateRunDelay is how long after the first count runs are counted again.
	lateRunDelay = 2 * time.Second
)

// newClosedSoak starts entries before targets that end kept connections under requests, and
// writes the configuration of a run. With odd seeds stops cut requests.
func newClosedSoak(t *testing.T, seed uint64) *closedSoak {
	s := &closedSoak{
		seriesSoak: &seriesSoak{soakRun: newSoakRun(t, seed, soakRevocationLimit)},
		random:     rand.New(rand.NewPCG(seed, 7)),
		chosen:     map[string]int{},
		ends:       map[string]int{},
	}
	s.withoutResumption, s.orderTargets, s.timeout, s.slots, s.gapGoal = true, 3, closedSoakTimeout, closedSoakSlots, stallGapGoal
	s.bodies = []string{soakBody, soakBody, soakBody, strings.Repeat(soakBody, 4<<10)}
	if seed%2 == 1 {
		s.gracePeriod = shortGrace
		for _, e := range s.entries {
			s.writeSettings(e, soakRevocationLimit)
			e.signal(syscall.SIGHUP)
		}
	}
	s.writeConfiguration()
	for _, name := range s.store.Names("servers") {
		s.unlistServer(name)
	}
	for n := range 6 {
		s.listen([]string{"bells", "drafts"}[n%2])
	}
	time.Sleep(configPropagation)
	return s
}

// endedRequest is what an entry logs at the end of a request.
type endedRequest struct {
	Total *int64 `json:"total-ms"`
	Sends int    `json:"sends"`
}

// heldCount returns how many requests entries had read and not sent before a pause, and
// refused after it.
func (s *closedSoak) heldCount() int {
	count := 0
	for _, e := range s.entries {
		for line := range strings.Lines(s.logOf(e)) {
			var r endedRequest
			if json.Unmarshal([]byte(line), &r) == nil && r.Total != nil && r.Sends == 0 && *r.Total >= closedSoakTimeout.Milliseconds()/2 {
				count++
			}
		}
	}
	return count
}

// cutCount returns how many requests were ended by the stop of their entry.
func (s *closedSoak) cutCount() int {
	count := 0
	for _, e := range s.entries {
		count += strings.Count(s.logOf(e), `"cause":"the grace period of the stop is over"`)
	}
	return count
}

// longPause pauses an entry past the time of the requests that it holds.
var longPause = seriesFault{"an entry paused past the time of requests", func(s *seriesSoak, r *rand.Rand) {
	if e, now := randomEntry(s.soakRun, r), time.Now(); s.aborts.isUndisturbed(e, now, now) {
		s.pauseEntry(e, randomDuration(r, closedSoakTimeout/2, closedSoakTimeout))
	}
}}

// stopFaults returns the series that stop entries, and change their settings and
// configuration.
func stopFaults() []seriesFault {
	var faults []seriesFault
	for _, f := range seriesFaults {
		if strings.Contains(f.name, "stop") || strings.Contains(f.name, "configurations") {
			faults = append(faults, f)
		}
	}
	return faults
}

// closedPhase is a part of a run with faults of its own.
type closedPhase struct {
	name   string
	kinds  []seriesFault
	period time.Duration
}

// runPhase runs callers beside the faults of a phase.
func (s *closedSoak) runPhase(p closedPhase) {
	began, from, first := time.Now(), len(s.attempts), s.lastAttempt.Load()+1
	until := began.Add(p.period)
	s.kinds, s.faults = p.kinds, nil
	var callers sync.WaitGroup
	callers.Go(func() { s.runOpenConnections(until) })
	if len(s.kinds) > 0 {
		s.injectKinds(until)
	}
	callers.Wait()
	statuses := map[int]int{}
	for _, a := range s.attempts[from:] {
		statuses[a.status]++
	}
	s.t.Logf("seed %d, %s for %s, from a-%d on: statuses %v, faults %q", s.seed, p.name, time.Since(began).Round(time.Millisecond), first, statuses, s.faults)
	s.c.Check(statuses[http.StatusOK] > 0, qt.IsTrue)
}

// TestAttemptRunsOnceBesideClosedConnections has clients keep their connections while
// targets end theirs under requests, and entries are stopped and paused. SEEDS=n runs n
// seeds, SEED=n only that seed.
func TestAttemptRunsOnceBesideClosedConnections(t *testing.T) {
	paused := closedPhase{"paused", []seriesFault{longPause}, 4 * time.Second}
	phases := []closedPhase{
		{"closed", nil, time.Second},
		{"stopped", stopFaults(), 2 * time.Second},
		paused,
		{"stopped and paused", append(stopFaults(), longPause, longPause, longPause), 2 * time.Second},
	}
	for _, seed := range seeds(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newClosedSoak(t, seed)
			for _, p := range phases {
				s.runPhase(p)
			}
			for n := 0; n < 3 && s.heldCount() == 0; n++ {
				s.runPhase(paused)
			}
			time.Sleep(soakSettleDelay)
			s.c.Check(s.findViolations(), qt.HasLen, 0)
			time.Sleep(lateRunDelay)
			s.c.Check(s.findViolations(), qt.HasLen, 0)
			s.mu.Lock()
			defer s.mu.Unlock()
			t.Logf("seed %d: %d requests held over a pause, %d cut by stops, %d crossed a close, connections ended: %v", seed, s.heldCount(), s.cutCount(), s.crossed, s.ends)
			s.c.Check(s.heldCount() > 0, qt.IsTrue)
			s.c.Check(s.gracePeriod != shortGrace || s.cutCount() > 0, qt.IsTrue)
			for _, end := range connEnds {
				s.c.Check(s.ends[end.name] > 0, qt.IsTrue, qt.Commentf(end.name))
			}
			s.checkLogs()
		})
	}
}
