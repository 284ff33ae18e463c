package main

import (
	"math/rand/v2"
	"net/http"
	"time"

	"bluebellcrank/platform/standin"
)

// copyAge returns the age of the copy from which the store comes back.
func copyAge(r *rand.Rand) time.Duration {
	return randomDuration(r, 300*time.Millisecond, 4*time.Second)
}

// restoreStore has the store come back from a copy after a short outage. What the entries
// have written since is lost.
func (s *soakRun) restoreStore(copied *standin.Copy, r *rand.Rand) {
	s.store.SetFailureStatus(http.StatusServiceUnavailable)
	time.Sleep(randomDuration(r, 50*time.Millisecond, time.Second))
	s.store.Restore(copied)
	s.store.SetFailureStatus(0)
	time.Sleep(randomDuration(r, 0, 2*time.Second))
	s.writeAgain()
}

// writeAgain writes what the operator and the targets have written, where the store has
// lost it.
func (s *soakRun) writeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.PutAgain("config", "main", s.configuration())
	for _, id := range s.store.Names("servers") {
		if s.servers[id] == nil {
			s.store.Delete("servers", id)
		}
	}
	for id, server := range s.servers {
		s.store.PutAgain("servers", id, server)
	}
}
