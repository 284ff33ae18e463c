package main

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTargetsGetNoMoreThanTheirLimit has all targets of one service name limits, of which
// one changes, while callers send more than that.
func TestTargetsGetNoMoreThanTheirLimit(t *testing.T) {
	t.Parallel()
	const (
		lowLimit, highLimit = 0.7, 1.6
		limitedPeriod       = 16 * time.Second
		// changeAfter is when the limits of the targets are exchanged.
		changeAfter = 8 * time.Second
	)
	tests := []struct {
		name    string
		disturb func(s *targetSoak)
	}{
		{"calm", func(*targetSoak) {}},
		{"an entry killed, another one paused", func(s *targetSoak) {
			s.signalEntry(s.entries[0], syscall.SIGKILL, time.Second)
			end := s.disturbed.begin(s.entries[1])
			s.entries[1].signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			s.entries[1].signal(syscall.SIGCONT)
			end()
		}},
		{"connections between entries silent", func(s *targetSoak) {
			for _, e := range s.entries {
				e.entryRelay.silence(true, true)
			}
		}},
		{"a planned stop", func(s *targetSoak) { s.signalEntry(s.entries[2], syscall.SIGTERM, 5*time.Second) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newTargetSoak(1)
			s.crashRun = newCrashRun(t, func(*http.Request, string) bool { return false }, crashHooks{onArrival: s.arrive, onSend: s.recordSent, onReply: s.recordReply})
			setLimits := func(limits ...float64) {
				s.mu.Lock()
				defer s.mu.Unlock()
				for n, target := range s.targets {
					id := target.target.ID
					if old, isLimited := s.limits[id]; isLimited {
						s.checkLimit(id, old)
					}
					clear(s.limitTold)
					if delete(s.limits, id); len(limits) > 0 && target.service == "bells" {
						s.limits[id] = targetLimit{perSecond: limits[n/2%len(limits)], since: time.Now()}
					}
				}
			}
			setLimits(lowLimit, highLimit)
			var disturbing sync.WaitGroup
			disturbing.Go(func() {
				time.Sleep(crashWindow)
				tt.disturb(s)
			})
			s.runCallers(time.Now().Add(changeAfter), false)
			setLimits(highLimit, lowLimit)
			served, sent := s.runCallers(time.Now().Add(limitedPeriod-changeAfter), false)
			disturbing.Wait()
			setLimits()
			s.c.Check(served < sent, qt.IsTrue, qt.Commentf("the callers sent no more than the limits allow"))
			time.Sleep(crashWindow)
			s.runCallers(time.Now().Add(soakCalmPeriod), false)
			calmServed, calmSent := s.runCallers(time.Now().Add(soakCalmPeriod), false)
			t.Logf("%d of %d served, %d of %d after the limits", served, sent, calmServed, calmSent)
			s.c.Check(calmServed*10 >= calmSent*9, qt.IsTrue, qt.Commentf("served %d of %d after the limits", calmServed, calmSent))
			s.checkLogs()
		})
	}
}
