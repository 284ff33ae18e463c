package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// watchSoakRounds is the number of times that the store swallows the calls of an entry.
	watchSoakRounds = 2
	// watchSoakGap is the time between two requests to an entry.
	watchSoakGap = 40 * time.Millisecond
	// operatorDelay is the time from a restore to the operator's write.
	operatorDelay = 2 * time.Second
)

// relayFaults are what happens to the entries that may relay the reads of another one.
var relayFaults = []soakFault{
	{"killed", func(s *soakRun, r *rand.Rand) { s.entries[1+r.IntN(len(s.entries)-1)].signal(syscall.SIGKILL) }},
	{"all killed", func(s *soakRun, _ *rand.Rand) {
		for _, e := range s.entries[1:] {
			e.signal(syscall.SIGKILL)
		}
	}},
	{"paused", func(s *soakRun, _ *rand.Rand) {
		for _, e := range s.entries[1:] {
			e.signal(syscall.SIGSTOP)
		}
		time.Sleep(drainPeriod)
		for _, e := range s.entries[1:] {
			e.signal(syscall.SIGCONT)
		}
	}},
	{"silent", func(s *soakRun, _ *rand.Rand) {
		for _, e := range s.entries[1:] {
			e.entryRelay.silence(true, true)
		}
	}},
}

// watchSoak is a run in which the store swallows the calls of the first entry.
type watchSoak struct {
	*soakRun
	mu sync.Mutex
	// arrivals has the times at which requests reached the target that leaves, by their IDs.
	arrivals map[string]time.Time
}

// addLeavingTarget adds a target, and returns a function that has it leave.
func (s *watchSoak) addLeavingTarget() (leave func()) {
	target := s.newTarget("bells")
	serve := target.Handler
	s.mu.Lock()
	s.arrivals = map[string]time.Time{}
	s.mu.Unlock()
	target.Handler = func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.arrivals[r.Header.Get("Attempt-Id")] = time.Now()
		s.mu.Unlock()
		serve(w, r)
	}
	server := httptest.NewServer(target)
	s.t.Cleanup(server.Close)
	s.listServer(target.ID, "bells", strings.TrimPrefix(server.URL, "http://"))
	return func() {
		s.soakRun.mu.Lock()
		defer s.soakRun.mu.Unlock()
		s.servers[target.ID]["state"] = "draining"
		s.store.Put("servers", target.ID, s.servers[target.ID])
	}
}

// send sends requests with a key to entries until the returned function is called, which returns
// the IDs of those to the first one.
func (s *watchSoak) send(entries []*soakEntry, key string) (end func() map[string]bool) {
	ids, done := map[string]bool{}, make(chan struct{})
	var all sync.WaitGroup
	for n, e := range entries {
		all.Go(func() {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableCompression: true}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-done:
					return
				case <-time.After(watchSoakGap):
				}
				if a := s.sendRequest(client, e.trafficAddress, false, key); n == 0 {
					ids[a.id] = true
				}
			}
		})
	}
	return func() map[string]bool {
		close(done)
		all.Wait()
		return ids
	}
}

// swallowWatches has the store swallow the calls of the first entry for some seconds, and a fault
// happen to the others. Once the first entry has been undisturbed for the stability window, a
// target leaves. It returns the fault, and the requests of that entry that reached the target late.
func (s *watchSoak) swallowWatches() (fault string, late []string) {
	leave, e := s.addLeavingTarget(), s.entries[0]
	end := s.send(s.entries[:1], soakKey)
	e.storeRelay.silence(true, true)
	e.storeRelay.isSwallowing.Store(true)
	time.Sleep(randomDuration(s.random, 3*time.Second, 7*time.Second))
	e.storeRelay.isSwallowing.Store(false)
	healed := time.Now()
	time.Sleep(randomDuration(s.random, 0, stabilityWindow))
	f := relayFaults[s.random.IntN(len(relayFaults))]
	var faults sync.WaitGroup
	faults.Go(func() { f.inject(s.soakRun, s.random) })
	time.Sleep(time.Until(healed.Add(stabilityWindow)))
	leave()
	left := time.Now()
	time.Sleep(2 * drainPeriod)
	faults.Wait()
	ids := end()
	for _, other := range s.entries {
		other.storeRelay.closeSilenced()
		other.entryRelay.closeSilenced()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.arrivals {
		if ids[id] && at.Sub(left) > drainPeriod {
			late = append(late, fmt.Sprintf("%s arrived %s after its target had left", id, at.Sub(left)))
		}
	}
	return f.name, late
}

// killAllInARestore removes a key, and has the store come back from a copy that still has it while
// all entries are killed, one soon after the other. The operator writes again later.
func (s *watchSoak) killAllInARestore() {
	end := s.send(s.entries, soakRemovedKey)
	copied := s.store.Copy()
	time.Sleep(randomDuration(s.random, 0, time.Second))
	s.removeKey()
	time.Sleep(randomDuration(s.random, time.Second, soakRevocationLimit))
	s.store.SetFailureStatus(http.StatusServiceUnavailable)
	var kills sync.WaitGroup
	for _, e := range s.entries {
		delay := randomDuration(s.random, 0, 300*time.Millisecond)
		kills.Go(func() {
			time.Sleep(delay)
			e.signal(syscall.SIGKILL)
		})
	}
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(copied)
	kills.Wait()
	s.store.SetFailureStatus(0)
	time.Sleep(operatorDelay)
	s.writeAgain()
	time.Sleep(time.Until(s.keyRemovedAt.Add(soakRevocationLimit + stabilityWindow)))
	end()
}

// TestSoakWatches guards against lists that stand still because the store has swallowed their
// watches, beside relays that fail, and against removed keys that are served after a restore beside
// a kill of all entries. SEEDS=n runs n seeds, SEED=n only that seed.
func TestSoakWatches(t *testing.T) {
	for _, seed := range seeds(1) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &watchSoak{soakRun: newSoakRun(t, seed, soakRevocationLimit)}
			time.Sleep(stabilityWindow) // the entries know each other
			for range watchSoakRounds {
				fault, late := s.swallowWatches()
				s.c.Check(late, qt.HasLen, 0, qt.Commentf("relays %s", fault))
				s.eventually("every entry is ready", s.allReady)
				t.Logf("seed %d: relays %s", seed, fault)
				time.Sleep(stabilityWindow)
			}
			s.killAllInARestore()
			s.eventually("every entry is ready", s.allReady)
			for _, e := range s.entries {
				s.c.Check(s.sendRequest(http.DefaultClient, e.trafficAddress, false, soakKey).status, qt.Equals, http.StatusOK)
			}
			s.c.Check(s.findViolations(), qt.HasLen, 0)
			s.checkLogs()
		})
	}
}
