package main

import (
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"
)

// soakFault is one kind of fault; inject returns once the fault is over.
type soakFault struct {
	name   string
	inject func(s *soakRun, r *rand.Rand)
}

// randomDuration returns a duration in [least, most).
func randomDuration(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func randomEntry(s *soakRun, r *rand.Rand) *soakEntry { return s.entries[r.IntN(len(s.entries))] }

func randomTargetRelay(s *soakRun, r *rand.Rand) *relay {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetRelays[r.IntN(len(s.targetRelays))]
}

// soakFaults lists the faults from which injectFaults chooses.
var soakFaults = []soakFault{
	{"entry killed", func(s *soakRun, r *rand.Rand) {
		randomEntry(s, r).signal(syscall.SIGKILL)
	}},
	{"entry stopped", func(s *soakRun, r *rand.Rand) { randomEntry(s, r).signal(syscall.SIGTERM) }},
	{"entry paused", func(s *soakRun, r *rand.Rand) {
		e := randomEntry(s, r)
		e.signal(syscall.SIGSTOP)
		time.Sleep(randomDuration(r, 200*time.Millisecond, 4*time.Second))
		e.signal(syscall.SIGCONT)
	}},
	{"settings broken and restored", func(s *soakRun, r *rand.Rand) {
		e := randomEntry(s, r)
		valid, err := os.ReadFile(e.settingsPath)
		s.c.Check(err, qt.IsNil)
		s.c.Check(os.WriteFile(e.settingsPath, []byte("{"), 0o644), qt.IsNil)
		e.signal(syscall.SIGHUP)
		time.Sleep(randomDuration(r, 50*time.Millisecond, time.Second))
		s.c.Check(os.WriteFile(e.settingsPath, valid, 0o644), qt.IsNil)
		e.signal(syscall.SIGHUP)
	}},
	{"store down", func(s *soakRun, r *rand.Rand) {
		s.store.SetFailureStatus([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[r.IntN(2)])
		time.Sleep(randomDuration(r, 300*time.Millisecond, 4*time.Second))
		s.store.SetFailureStatus(0)
	}},
	{"store silent to an entry", func(s *soakRun, r *rand.Rand) { randomEntry(s, r).storeRelay.silence(true, true) }},
	{"an entry silent to others", func(s *soakRun, r *rand.Rand) { randomEntry(s, r).entryRelay.silence(true, true) }},
	{"store's answers lost", func(s *soakRun, r *rand.Rand) { randomEntry(s, r).storeRelay.silence(false, true) }},
	{"store slow to an entry", func(s *soakRun, r *rand.Rand) {
		e := randomEntry(s, r)
		e.storeRelay.delay.Store(int64(randomDuration(r, 50*time.Millisecond, 400*time.Millisecond)))
		time.Sleep(randomDuration(r, 500*time.Millisecond, 3*time.Second))
		e.storeRelay.delay.Store(0)
	}},
	{"store's history lost", func(s *soakRun, _ *rand.Rand) { s.store.DropHistory() }},
	{"target cut", func(s *soakRun, r *rand.Rand) { randomTargetRelay(s, r).cut() }},
	{"target silent", func(s *soakRun, r *rand.Rand) { randomTargetRelay(s, r).silence(true, true) }},
	{"target's answers lost", func(s *soakRun, r *rand.Rand) { randomTargetRelay(s, r).silence(false, true) }},
	{"target slow", func(s *soakRun, r *rand.Rand) {
		targetRelay := randomTargetRelay(s, r)
		targetRelay.delay.Store(int64(randomDuration(r, 20*time.Millisecond, 200*time.Millisecond)))
		time.Sleep(randomDuration(r, 300*time.Millisecond, 2*time.Second))
		targetRelay.delay.Store(0)
	}},
	{"target added", func(s *soakRun, r *rand.Rand) { s.addTarget([]string{"bells", "drafts"}[r.IntN(2)]) }},
	{"configuration changed", func(s *soakRun, _ *rand.Rand) { s.writeConfiguration() }},
	{"key removed", func(s *soakRun, _ *rand.Rand) { s.removeKey() }},
	{"refusals copied", func(s *soakRun, r *rand.Rand) {
		s.copyRefusals(r, randomDuration(r, 500*time.Millisecond, 3*time.Second))
	}},
	{"store restored", func(s *soakRun, r *rand.Rand) {
		copied := s.store.Copy()
		time.Sleep(copyAge(r))
		s.restoreStore(copied, r, s.writeConfiguration)
	}},
}

// removeKey removes soakRemovedKey from the configuration and records when.
func (s *soakRun) removeKey() {
	s.mu.Lock()
	s.keys = []string{soakKey}
	s.mu.Unlock()
	s.writeConfiguration()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keyRemovedAt.IsZero() {
		s.keyRemovedAt = time.Now()
	}
}

// injectFaults injects random faults until the given time. Faults of different kinds
// may overlap; a kind is not injected again while a fault of that kind lasts. At the
// end it closes the connections that a fault has silenced.
func (s *soakRun) injectFaults(until time.Time) {
	var all sync.WaitGroup
	var active sync.Map
	for time.Now().Before(until) {
		f := soakFaults[s.random.IntN(len(soakFaults))]
		r := rand.New(rand.NewPCG(s.random.Uint64(), 2))
		time.Sleep(time.Duration(s.random.Int64N(int64(soakMaxFaultGap))))
		if _, isActive := active.LoadOrStore(f.name, true); isActive {
			continue
		}
		s.faults = append(s.faults, f.name)
		all.Go(func() {
			f.inject(s, r)
			active.Delete(f.name)
		})
	}
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.targetRelays {
		p.closeSilenced()
	}
	for _, e := range s.entries {
		e.storeRelay.closeSilenced()
		e.entryRelay.closeSilenced()
	}
}
