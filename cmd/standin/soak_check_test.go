package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
)

// checkAfterFaults runs callers once every entry is ready, and checks that at least nine
// of ten of their requests are served. It also checks the attempts and the logs of the
// whole run.
func (s *soakRun) checkAfterFaults() {
	s.eventually("every entry is ready", s.allReady)
	calmFrom := len(s.attempts)
	served, sent := s.runCallers(time.Now().Add(soakCalmPeriod))
	time.Sleep(soakSettleDelay)
	s.t.Logf("after the faults %d of %d served", served, sent)
	s.c.Check(s.findViolations(), qt.HasLen, 0)
	if served*10 < sent*9 {
		s.printUnserved(calmFrom)
	}
	s.c.Check(served*10 >= sent*9, qt.IsTrue, qt.Commentf("served %d of %d after the faults", served, sent))
	s.checkLogs()
}

// findViolations describes the attempts that violate a guarantee.
func (s *soakRun) findViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var violations []string
	fail := func(a soakAttempt, why string) {
		violations = append(violations, fmt.Sprintf("%s (stream %v, status %d, %d runs): %s", a.id, a.streaming, a.status, s.runCounts.count(a.id), why))
	}
	for _, a := range s.attempts {
		runCount := s.runCounts.count(a.id)
		repeat := s.repeatOf(a)
		switch {
		case repeat != "":
			fail(a, repeat)
		case a.status >= 200 && a.status < 300 && !a.hasSignature:
			fail(a, "a success without a target's signature")
		case a.status == http.StatusOK && a.complete && !a.streaming && a.body != "struck for "+a.id:
			fail(a, "the answer belongs to another request: "+a.body)
		case a.status == http.StatusOK && !isExpectedStream(a.body, a.complete) && a.streaming:
			fail(a, "events are missing or duplicated: "+a.body)
		case a.apiKey == soakRemovedKey && !s.keyRemovedAt.IsZero() && a.sentAt.Sub(s.keyRemovedAt) > soakRevocationLimit && runCount > 0:
			fail(a, "ran with a key that was removed "+a.sentAt.Sub(s.keyRemovedAt).String()+" earlier")
		}
	}
	return violations
}

// isRefused reports whether the reply says that the request did not run.
func (a soakAttempt) isRefused() bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, a.status)
}

// repeatOf says how a request that may not be repeated ran too often; it returns an empty
// text if it did not.
func (s *soakRun) repeatOf(a soakAttempt) string {
	runCount := s.runCounts.count(a.id)
	switch {
	case a.streaming && !s.withoutResumption:
	case runCount > 1:
		return "a non-idempotent request ran more than once"
	case a.isRefused() && runCount > 0:
		return "reported as not run, but ran"
	}
	return ""
}

// findRepeats describes the attempts that ran too often.
func (s *soakRun) findRepeats() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for _, a := range s.attempts {
		if repeat := s.repeatOf(a); repeat != "" {
			found = append(found, fmt.Sprintf("%s (status %d, %d runs): %s", a.id, a.status, s.runCounts.count(a.id), repeat))
		}
	}
	return found
}

// isExpectedStream reports whether a body holds all events in order or, if it is
// not complete, the beginning of them.
func isExpectedStream(body string, complete bool) bool {
	var want strings.Builder
	for n := 1; n <= soakEventCount; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return body == want.String() || !complete && strings.HasPrefix(want.String(), body)
}

// printUnserved prints the attempts with the valid key that were not served, from a
// given one on.
func (s *soakRun) printUnserved(from int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts[from:] {
		if a.apiKey == soakKey && (a.status != http.StatusOK || !a.complete) {
			s.t.Logf("%s at %s: stream %v, status %d, complete %v, retry after %s: %s", a.id, a.sentAt.Format(time.StampMicro), a.streaming, a.status, a.complete, a.retryAfter, a.body)
		}
	}
}

// checkLogs fails the test if an entry logged a data race or a panic, left a request without an
// answer, or ended a connection by a time-out of its own though it had read the whole request.
// It prints the entries' logs of a failed run.
func (s *soakRun) checkLogs() {
	unanswered, tooSlow := fmt.Sprintf(`"event":%d,`, event.RequestUnanswered.Number()), fmt.Sprintf(`"reason":%q`, refusal.TooSlow)
	for _, e := range s.entries {
		for line := range strings.Lines(s.logOf(e)) {
			switch {
			case strings.Contains(line, "DATA RACE"), strings.Contains(line, "panic:"):
				s.t.Errorf("%s logged a data race or a panic", e.name)
			case strings.Contains(line, unanswered):
				s.t.Errorf("%s left a request without an answer: %s", e.name, line)
			case strings.Contains(line, `"connection-end":"time-out"`) && !strings.Contains(line, tooSlow):
				s.t.Errorf("%s ended a connection by its own time-out: %s", e.name, line)
			}
		}
	}
	if s.t.Failed() {
		s.printLogs()
	}
}

func (s *soakRun) printLogs() {
	for _, e := range s.entries {
		s.t.Logf("%s:\n%s", e.name, s.logOf(e))
	}
}

func (s *soakRun) logOf(e *soakEntry) string {
	content, err := os.ReadFile(filepath.Join(s.dir, e.name+".log"))
	s.c.Check(err, qt.IsNil)
	return string(content)
}
