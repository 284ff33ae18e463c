package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/target"
)

// lostClaims is the number of requests whose claims the platform loses.
const lostClaims = 10

// ringThroughARestore sends requests whose claims the platform acknowledges and then
// loses, and repeats them, the first time after a quiet period, until each is answered.
// The disturbance comes just before the restore. It returns how often each has run, and
// those that were not answered in time.
func ringThroughARestore(t *testing.T, f *fleet, quiet time.Duration, disturb func()) (runCounts map[string]int, unanswered []string) {
	// maxUnanswered is the longest time without an answer after the restore.
	const maxUnanswered = 10 * time.Second
	ring := func(label string, entry int) bool {
		r, _ := f.send(fmt.Sprintf("entry-%d", entry), "POST", "/bells/ring", fmt.Sprintf(`{"token":%q}`, label), map[string]string{"Idempotency-Key": label})
		if r.status == 200 && r.body != plainAnswer(label) {
			t.Errorf("%s: wrong answer %q", label, r.body)
		}
		return r.status == 200
	}
	must(t, copyStore(f))
	for n := range lostClaims {
		label := fmt.Sprintf("order-%d", n)
		unanswered = append(unanswered, label)
		if !ring(label, 1) {
			t.Fatalf("%s was not answered before the restore", label)
		}
	}
	disturb()
	must(t, restoreStore(f, restoreOptions{EndWatches: quiet > 0}))
	time.Sleep(quiet)
	restoredAt := time.Now()
	for len(unanswered) > 0 && time.Since(restoredAt) < maxUnanswered {
		var left []string
		for n, label := range unanswered {
			if !ring(label, 1+n%2) {
				left = append(left, label)
			}
		}
		unanswered = left
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d not answered %s after the first repeat", len(unanswered), time.Since(restoredAt).Round(10*time.Millisecond))
	runCounts = map[string]int{}
	for _, id := range []string{"bells-1", "bells-2", "bells-3"} {
		for _, r := range f.readRunLog(id) {
			if r.Path == "/ring" {
				runCounts[r.Label]++
			}
		}
	}
	return runCounts, unanswered
}

// repeated returns the labels of the requests that ran more than once.
func repeated(runCounts map[string]int) []string {
	var out []string
	for label, n := range runCounts {
		if n > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", label, n))
		}
	}
	return out
}

// TestLostClaimDoesNotLetARequestRunTwice repeats requests whose claims the platform has
// acknowledged and then lost, at once or after the agents have heard of the restore.
func TestLostClaimDoesNotLetARequestRunTwice(t *testing.T) {
	for _, quiet := range []time.Duration{0, 2 * time.Second} {
		t.Run(fmt.Sprintf("first repeat after %s", quiet), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f, _ := restoreFleet(t, "")
			runCounts, unanswered := ringThroughARestore(t, f, quiet, func() {})
			c.Check(runCounts, qt.HasLen, lostClaims)
			c.Check(repeated(runCounts), qt.HasLen, 0)
			c.Check(unanswered, qt.HasLen, 0)
		})
	}
}

// TestLostClaimOfADeadAgentDoesNotLetARequestRunTwice kills or pauses the agent that has
// run the requests, before the platform loses their claims.
func TestLostClaimOfADeadAgentDoesNotLetARequestRunTwice(t *testing.T) {
	// copied is enough time for an agent to copy its claims to a peer.
	const copied = 500 * time.Millisecond
	tests := []struct {
		name    string
		disturb func(f *fleet, i target.Instance)
	}{
		{"killed", func(f *fleet, i target.Instance) { f.proc(i.ID).kill() }},
		{"killed and started again", func(f *fleet, i target.Instance) {
			f.proc(i.ID).kill()
			must(t, f.startAgent(i))
		}},
		{"paused", func(f *fleet, i target.Instance) { f.proc(i.ID).signal(syscall.SIGSTOP) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f, _ := restoreFleet(t, "")
			must(t, f.addTarget("bells-3", "bells", "east"), f.publishInstances(), f.waitReady("entry-1", "bells"))
			runCounts, _ := ringThroughARestore(t, f, 0, func() {
				time.Sleep(copied)
				tt.disturb(f, f.instance("bells-1"))
			})
			c.Check(runCounts, qt.HasLen, lostClaims)
			c.Check(repeated(runCounts), qt.HasLen, 0)
		})
	}
}

// TestTwinThatReliesOnLostClaims shows that the check detects agents that rely on claims
// right after a restore.
func TestTwinThatReliesOnLostClaims(t *testing.T) {
	const maxAttempts = 3
	for range maxAttempts {
		f, _ := restoreFleet(t, "settled")
		runCounts, _ := ringThroughARestore(t, f, 0, func() {})
		f.killAll()
		if r := repeated(runCounts); len(r) > 0 {
			t.Logf("the checker noticed: %s", r[0])
			return
		}
	}
	t.Fatalf("the checker noticed nothing in %d runs", maxAttempts)
}

// TestProveOnceThroughRestores checks the guarantees of TestProveOnceTrueWhole while the
// platform is restored from copies beside other faults. In the end all requests that may
// run once are repeated at both entries.
func TestProveOnceThroughRestores(t *testing.T) {
	for _, seed := range seeds(2) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			f := chaosFleet(t, "", "")
			faults := slices.Clone(allChaosFaults)
			for range allChaosFaults {
				faults = append(faults, platformRestored)
			}
			o := runChaos(t, f, seed, faults)
			time.Sleep(settleTime)
			var wg sync.WaitGroup
			for caller := range chaosCallers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for round := range chaosRoundsPerCaller {
						label := fmt.Sprintf("order-%d-%d", caller, round)
						for _, entry := range []string{"entry-1", "entry-2"} {
							got, _ := f.send(entry, "POST", "/bells/ring", fmt.Sprintf(`{"token":%q}`, label), map[string]string{"Idempotency-Key": label, "Request-Timeout-Ms": "1500"})
							o.add(outcome{path: "/ring", label: label, want: plainAnswer(label), got: got})
						}
					}
				}()
			}
			wg.Wait()
			v := findViolations(f, o)
			c.Check(v.repeatedRuns, qt.HasLen, 0)
			c.Check(v.wrongEffects, qt.HasLen, 0)
			c.Check(v.wrongAnswers, qt.HasLen, 0)
			t.Logf("seed %d: served %d, refused %d, failed %d", seed, v.served, v.refused, v.failed)
		})
	}
}
