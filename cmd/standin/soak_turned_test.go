package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/platform/standin"
)

// minRewriteDelay and maxRewriteDelay bound the time from a restore to the operator's write.
const minRewriteDelay, maxRewriteDelay = time.Second, 3500 * time.Millisecond

// turningAway are the manners in which the store turns entries away while it serves the operator.
var turningAway = []struct {
	name   string
	manner http.HandlerFunc
}{
	{"resets", standin.ResetCall},
	{"ends of connections", standin.EndCall},
	{"resets and ends of connections", standin.InTurn(standin.ResetCall, standin.EndCall)},
	{"no answers", standin.IgnoreCall},
	{"503", standin.FailCalls(http.StatusServiceUnavailable)},
	{"429", standin.FailCalls(http.StatusTooManyRequests)},
	{"resets, then no answers", standin.InTurn(standin.ResetCall, standin.IgnoreCall)},
	{"all manners", standin.InTurn(standin.ResetCall, standin.FailCalls(http.StatusServiceUnavailable), standin.IgnoreCall, standin.FailCalls(http.StatusTooManyRequests))},
}

// turnAway has the store turn all entries or some of them away, and returns how, and a function that
// ends it.
func (s *watchSoak) turnAway() (name string, end func()) {
	if s.random.IntN(3) > 0 {
		m := turningAway[s.random.IntN(len(turningAway))]
		s.storeGate.TurnAway(m.manner)
		return m.name, s.storeGate.Open
	}
	silenced := 1 + s.random.IntN(len(s.entries))
	for _, e := range s.entries[:silenced] {
		e.storeRelay.silence(true, true)
		e.storeRelay.isSwallowing.Store(true)
	}
	return fmt.Sprintf("silent to %d of %d", silenced, len(s.entries)), func() {
		for _, e := range s.entries[:silenced] {
			e.storeRelay.isSwallowing.Store(false)
			e.storeRelay.closeSilenced()
		}
	}
}

// loseARemoval removes a key while the store turns entries away, in one or several outages, and has
// the store come back from copies that have the key, at times beside kills. It returns what happened.
func (s *watchSoak) loseARemoval() string {
	end := s.send(s.entries, soakRemovedKey)
	copied := s.store.Copy()
	time.Sleep(randomDuration(s.random, 0, time.Second))
	name, open := s.turnAway()
	time.Sleep(randomDuration(s.random, 0, 500*time.Millisecond))
	s.removeKey()
	for range max(0, s.random.IntN(4)-1) {
		time.Sleep(randomDuration(s.random, 100*time.Millisecond, 2*time.Second))
		open()
		var again string
		again, open = s.turnAway()
		name += ", " + again
	}
	time.Sleep(randomDuration(s.random, 2*time.Second, 8*time.Second))
	killed := max(0, s.random.IntN(2*len(s.entries))-len(s.entries))
	for _, e := range s.entries[:killed] {
		e.signal(syscall.SIGKILL)
	}
	restores := 1 + s.random.IntN(2)
	for n := range restores {
		if n > 0 {
			time.Sleep(randomDuration(s.random, 0, 2*time.Second))
		}
		s.store.Restore(copied)
		open()
	}
	rewriteDelay := randomDuration(s.random, minRewriteDelay, maxRewriteDelay)
	time.Sleep(rewriteDelay)
	s.writeAgain()
	time.Sleep(stabilityWindow)
	time.Sleep(time.Until(s.keyRemovedAt.Add(soakRevocationLimit + time.Second)))
	end()
	return fmt.Sprintf("%s; %d killed, %d restores, written again after %s", name, killed, restores, rewriteDelay)
}

// TestSoakTurnedAway guards against a removed key that is served after a restore by entries that
// were turned away in some manner while it was removed. SEEDS=n runs n seeds, SEED=n only that seed.
func TestSoakTurnedAway(t *testing.T) {
	for _, seed := range seeds(1) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &watchSoak{soakRun: newSoakRun(t, seed, soakRevocationLimit)}
			time.Sleep(balance.ExpiryPeriod + time.Second) // the copy has the record of a confirmation
			t.Logf("seed %d: %s", seed, s.loseARemoval())
			s.eventually("every entry is ready", s.allReady)
			for _, e := range s.entries {
				s.c.Check(s.sendRequest(http.DefaultClient, e.trafficAddress, false, soakKey).status, qt.Equals, http.StatusOK)
			}
			s.c.Check(s.findViolations(), qt.HasLen, 0)
			s.checkLogs()
		})
	}
}
