package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

// refusals has targets refuse some of their requests and write each refusal again, where
// the next answer on its connection is due.
type refusals struct {
	mu     sync.Mutex
	random *rand.Rand
	// inTen is how many of ten requests are refused; without any, nothing is copied.
	inTen int
	// copied is how many refusals are written again.
	copied int
}

func (r *refusals) set(inTen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inTen = inTen
}

// refuse refuses some of the requests, and reports whether it did.
func (r *refusals) refuse(w http.ResponseWriter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.random.IntN(10) >= r.inTen {
		return false
	}
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest}[r.random.IntN(3)])
	return true
}

// copies returns how a refusal is written again.
func (r *refusals) copies() standin.RefusalCopies {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inTen == 0 {
		return standin.RefusalCopies{}
	}
	r.copied++
	return standin.RefusalCopies{
		Count: 1 + r.random.IntN(2),
		Delay: time.Duration(r.random.IntN(2)) * randomDuration(r.random, time.Millisecond, 40*time.Millisecond),
		Pause: time.Duration(r.random.IntN(2)) * randomDuration(r.random, time.Millisecond, 20*time.Millisecond),
	}
}

func (r *refusals) copiedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copied
}

// listUnderOldID lists a target under a second id for a time, as after a restart.
func (s *soakRun) listUnderOldID(r *rand.Rand) {
	s.mu.Lock()
	ids := slices.Sorted(maps.Keys(s.servers))
	server := s.servers[ids[r.IntN(len(ids))]]
	s.targetCount++
	old := fmt.Sprintf("%s-old-%d", server["service"], s.targetCount)
	s.mu.Unlock()
	s.listServer(old, server["service"].(string), server["address"].(string))
	time.Sleep(randomDuration(r, 300*time.Millisecond, 3*time.Second))
	s.unlistServer(old)
}

// copyRefusals has targets refuse requests for a time, and lists some under a second id.
func (s *soakRun) copyRefusals(r *rand.Rand, d time.Duration) {
	s.refusals.set(2 + r.IntN(3))
	defer s.refusals.set(0)
	var listing sync.WaitGroup
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(randomDuration(r, 50*time.Millisecond, 400*time.Millisecond)) {
		own := rand.New(rand.NewPCG(r.Uint64(), 2))
		listing.Go(func() { s.listUnderOldID(own) })
	}
	listing.Wait()
}

// TestAttemptRunsOnceBesideCopiedRefusals has clients keep their connections while targets
// copy refusals and share addresses.
func TestAttemptRunsOnceBesideCopiedRefusals(t *testing.T) {
	for _, seed := range seeds(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSoakRun(t, seed, soakRevocationLimit)
			s.withoutResumption = true
			s.writeConfiguration()
			time.Sleep(configPropagation)
			const period = 4 * time.Second
			var copying sync.WaitGroup
			copying.Go(func() { s.copyRefusals(s.random, period) })
			served, sent := s.runCallers(time.Now().Add(period))
			copying.Wait()
			time.Sleep(soakSettleDelay)
			t.Logf("seed %d: %d of %d served, %d refusals copied", seed, served, sent, s.refusals.copiedCount())
			s.c.Check(s.findViolations(), qt.HasLen, 0)
			s.c.Check(served > 0 && s.refusals.copiedCount() > 0, qt.IsTrue)
			s.checkLogs()
		})
	}
}
