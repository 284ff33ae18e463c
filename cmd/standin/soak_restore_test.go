package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/platform/standin"
)

// copyAge returns the age of the copy from which the store comes back.
func copyAge(r *rand.Rand) time.Duration {
	return randomDuration(r, 300*time.Millisecond, 4*time.Second)
}

// restoreStore has the store come back from a copy after a short outage. What the entries
// have written since is lost. After a change, targets write until all lost revisions are
// given out again.
func (s *soakRun) restoreStore(copied *standin.Copy, r *rand.Rand, change func()) {
	s.store.SetFailureStatus(http.StatusServiceUnavailable)
	time.Sleep(randomDuration(r, 50*time.Millisecond, time.Second))
	lost := s.store.Revision()
	s.store.Restore(copied)
	s.store.SetFailureStatus(0)
	time.Sleep(randomDuration(r, 0, 2*time.Second))
	s.writeAgain()
	change()
	for s.store.Revision() <= lost {
		s.writeHeartbeat(r)
		time.Sleep(randomDuration(r, 0, 50*time.Millisecond))
	}
}

// writeHeartbeat writes the registration of a target.
func (s *soakRun) writeHeartbeat(r *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Sorted(maps.Keys(s.servers))
	id := ids[r.IntN(len(ids))]
	s.store.Put("servers", id, s.servers[id])
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

// TestEntryThatMissedARestoreHearsOfLaterChanges keeps the store from an entry until the
// revisions that it knew are given out again.
func TestEntryThatMissedARestoreHearsOfLaterChanges(t *testing.T) {
	tests := []struct {
		name          string
		begin, finish func(e *soakEntry)
	}{
		{"paused", func(e *soakEntry) { e.signal(syscall.SIGSTOP) }, func(e *soakEntry) { e.signal(syscall.SIGCONT) }},
		{"store's answers late", func(e *soakEntry) { e.storeRelay.delay.Store(int64(2 * time.Second)) }, func(e *soakEntry) { e.storeRelay.delay.Store(0) }},
		{"store silent", func(e *soakEntry) { e.storeRelay.silence(true, true) }, func(e *soakEntry) { e.storeRelay.closeSilenced() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSoakRun(t, 1, soakRevocationLimit)
			copied := s.store.Copy()
			for n := range seriesMaxLength {
				s.setAddedRoutes([]string{fmt.Sprint("lost-", n)})
			}
			time.Sleep(configPropagation)
			e := s.entries[0]
			tt.begin(e)
			s.restoreStore(copied, s.random, func() {
				s.setAddedRoutes([]string{"added"})
				s.removeKey()
			})
			tt.finish(e)
			time.Sleep(stabilityWindow)
			for _, e := range s.entries {
				response, err := http.DefaultClient.Do(s.newRequest(soakAttempt{id: e.name, apiKey: soakKey}, e.trafficAddress, "/added/x", soakBody))
				s.c.Assert(err, qt.IsNil)
				_ = response.Body.Close()
				s.c.Check(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf(e.name))
			}
			time.Sleep(time.Until(s.keyRemovedAt.Add(soakRevocationLimit + 100*time.Millisecond)))
			for _, e := range s.entries {
				s.sendRequest(http.DefaultClient, e.trafficAddress, false, soakRemovedKey)
			}
			s.c.Check(s.findViolations(), qt.HasLen, 0)
			s.checkLogs()
		})
	}
}

// TestPausedEntryVouchesForNothingAfterARestore guards against a removed key that is served because
// an entry was paused while the key was removed, and the others, which knew of it, were killed in a
// restore.
func TestPausedEntryVouchesForNothingAfterARestore(t *testing.T) {
	const (
		// removalDelay is longer than a watch of the configuration waits, whose answer would
		// tell the paused entry of the removal.
		removalDelay = 2100 * time.Millisecond
		// rewriteDelay is the time from the restore to the operator's write.
		rewriteDelay = 3900 * time.Millisecond
	)
	for _, pause := range []time.Duration{4 * time.Second, 6 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			s := newSoakRun(t, 1, soakRevocationLimit)
			time.Sleep(balance.ExpiryPeriod + time.Second) // the copy has the record of a confirmation
			copied := s.store.Copy()
			paused := s.entries[0]
			paused.signal(syscall.SIGSTOP)
			time.Sleep(removalDelay)
			s.removeKey()
			time.Sleep(pause - removalDelay - 200*time.Millisecond)
			s.store.SetFailureStatus(http.StatusServiceUnavailable)
			for _, e := range s.entries[1:] {
				e.signal(syscall.SIGKILL)
			}
			time.Sleep(200 * time.Millisecond)
			s.store.Restore(copied)
			s.store.SetFailureStatus(0)
			restored := time.Now()
			paused.signal(syscall.SIGCONT)
			for time.Since(restored) < rewriteDelay {
				for _, e := range s.entries {
					s.sendRequest(http.DefaultClient, e.trafficAddress, false, soakRemovedKey)
				}
				time.Sleep(20 * time.Millisecond)
			}
			s.writeAgain()
			s.eventually("every entry is ready", s.allReady)
			s.c.Check(s.findViolations(), qt.HasLen, 0)
		})
	}
}
