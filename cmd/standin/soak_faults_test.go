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

// soakFault is one kind of trouble; it returns once it is over.
type soakFault struct {
	name   string
	strike func(s *soak, r *rand.Rand)
}

func span(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func anyEntry(s *soak, r *rand.Rand) *soakEntry { return s.entries[r.IntN(len(s.entries))] }

func anyPath(s *soak, r *rand.Rand) *relay {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths[r.IntN(len(s.paths))]
}

var soakFaults = []soakFault{
	{"entry killed", func(s *soak, r *rand.Rand) {
		anyEntry(s, r).signal(syscall.SIGKILL)
	}},
	{"entry stopped", func(s *soak, r *rand.Rand) { anyEntry(s, r).signal(syscall.SIGTERM) }},
	{"entry paused", func(s *soak, r *rand.Rand) {
		e := anyEntry(s, r)
		e.signal(syscall.SIGSTOP)
		time.Sleep(span(r, 200*time.Millisecond, 4*time.Second))
		e.signal(syscall.SIGCONT)
	}},
	{"settings broken and mended", func(s *soak, r *rand.Rand) {
		e := anyEntry(s, r)
		good, err := os.ReadFile(e.settings)
		s.c.Check(err, qt.IsNil)
		s.c.Check(os.WriteFile(e.settings, []byte("{"), 0o644), qt.IsNil)
		e.signal(syscall.SIGHUP)
		time.Sleep(span(r, 50*time.Millisecond, time.Second))
		s.c.Check(os.WriteFile(e.settings, good, 0o644), qt.IsNil)
		e.signal(syscall.SIGHUP)
	}},
	{"store down", func(s *soak, r *rand.Rand) {
		s.store.SetFailureStatus([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[r.IntN(2)])
		time.Sleep(span(r, 300*time.Millisecond, 4*time.Second))
		s.store.SetFailureStatus(0)
	}},
	{"store silent to an entry", func(s *soak, r *rand.Rand) { anyEntry(s, r).store.silence(true, true) }},
	{"store's answers lost", func(s *soak, r *rand.Rand) { anyEntry(s, r).store.silence(false, true) }},
	{"store slow to an entry", func(s *soak, r *rand.Rand) {
		e := anyEntry(s, r)
		e.store.delay.Store(int64(span(r, 50*time.Millisecond, 400*time.Millisecond)))
		time.Sleep(span(r, 500*time.Millisecond, 3*time.Second))
		e.store.delay.Store(0)
	}},
	{"store's history gone", func(s *soak, _ *rand.Rand) { s.store.DropHistory() }},
	{"target cut", func(s *soak, r *rand.Rand) { anyPath(s, r).cut() }},
	{"target silent", func(s *soak, r *rand.Rand) { anyPath(s, r).silence(true, true) }},
	{"target hears, is not heard", func(s *soak, r *rand.Rand) { anyPath(s, r).silence(false, true) }},
	{"target slow", func(s *soak, r *rand.Rand) {
		p := anyPath(s, r)
		p.delay.Store(int64(span(r, 20*time.Millisecond, 200*time.Millisecond)))
		time.Sleep(span(r, 300*time.Millisecond, 2*time.Second))
		p.delay.Store(0)
	}},
	{"target added", func(s *soak, r *rand.Rand) { s.addTarget([]string{"bells", "drafts"}[r.IntN(2)]) }},
	{"configuration changed", func(s *soak, _ *rand.Rand) { s.configure() }},
	{"key removed", func(s *soak, _ *rand.Rand) { s.removeKey() }},
}

func (s *soak) removeKey() {
	s.mu.Lock()
	s.keys = []string{soakKey}
	s.mu.Unlock()
	s.configure()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removed.IsZero() {
		s.removed = time.Now()
	}
}

// disturb strikes with faults until a time; a kind strikes again only once it
// is over, and different ones overlap.
func (s *soak) disturb(until time.Time) {
	var all sync.WaitGroup
	var busy sync.Map
	for time.Now().Before(until) {
		f := soakFaults[s.random.IntN(len(soakFaults))]
		r := rand.New(rand.NewPCG(s.random.Uint64(), 2))
		time.Sleep(time.Duration(s.random.Int64N(int64(soakGap))))
		if _, is := busy.LoadOrStore(f.name, true); is {
			continue
		}
		s.faults = append(s.faults, f.name)
		all.Go(func() {
			f.strike(s, r)
			busy.Delete(f.name)
		})
	}
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.paths {
		p.cutSilent()
	}
	for _, e := range s.entries {
		e.store.cutSilent()
	}
}
