package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/platform/standin"
)

const (
	stallStreams    = 40
	stallEventGap   = 100 * time.Millisecond
	stallSlots      = 64
	stallTimeout    = 8 * time.Second
	stallGrace      = 8 * time.Second
	stallGapGoal    = 2 * time.Second // so that no stream is refused for the pace of others
	stallGroups     = 2
	stallGroupRanks = 2
)

// stallRank is a rank whose streams can be paused.
type stallRank struct {
	run    *stallRun
	target standin.Target
	group  int
	slots  int64
	// pausedUntil is in Unix nanoseconds.
	pausedUntil atomic.Int64
	running     atomic.Int64
}

// pause has the rank send nothing for a time.
func (r *stallRank) pause(d time.Duration) { r.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

// wait waits until the rank is not paused, and at least for d. It reports whether the
// request has not ended.
func (r *stallRank) wait(ctx context.Context, d time.Duration) bool {
	for ; ; d = time.Until(time.Unix(0, r.pausedUntil.Load())) {
		if d <= 0 {
			return true
		}
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return false
		}
	}
}

// serve streams the events after the client's last one, or refuses a request beyond the
// rank's slots.
func (r *stallRank) serve(w http.ResponseWriter, q *http.Request) {
	defer r.running.Add(-1)
	if r.running.Add(1) > r.slots {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.run.runCounts.add(q.Header.Get("Attempt-Id"))
	// Without a Last-Event-Id the stream begins at its first event.
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if !r.wait(q.Context(), stallEventGap) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= soakEventCount; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		if !r.wait(q.Context(), stallEventGap) {
			return
		}
	}
}

// stallRun runs entries before rank groups that pause.
type stallRun struct {
	*soakRun
	ranks []*stallRank
}

// newStallRun replaces the targets of a new run of entries by rank groups.
func newStallRun(t *testing.T, seed uint64, slots int64) *stallRun {
	s := &stallRun{soakRun: newSoakRun(t, seed, soakRevocationLimit)}
	s.gracePeriod, s.timeout, s.gapGoal = stallGrace, stallTimeout, stallGapGoal
	for _, e := range s.entries {
		s.writeSettings(e, soakRevocationLimit)
		e.signal(syscall.SIGHUP)
	}
	s.writeConfiguration()
	for _, name := range s.store.Names("servers") {
		if strings.HasPrefix(name, "drafts") {
			s.unlistServer(name)
		}
	}
	for n := range stallGroups * stallGroupRanks {
		r := &stallRank{run: s, group: n / stallGroupRanks, slots: slots}
		r.target = standin.Target{ID: fmt.Sprint("rank-", n), Handler: r.serve}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		s.c.Assert(err, qt.IsNil)
		server := &http.Server{Handler: &r.target}
		go func() { _ = server.Serve(l) }() // Serve ends with the server.
		t.Cleanup(func() { _ = server.Close() })
		s.ranks = append(s.ranks, r)
		s.store.Put("servers", r.target.ID, map[string]any{
			"service": "drafts", "address": l.Addr().String(), "zone": "east", "slots": stallSlots, "state": "serving",
			"group": map[string]any{"name": fmt.Sprint("g-", r.group), "rank": n % stallGroupRanks, "state": "open"},
		})
	}
	s.eventually("every entry serves streams", func() bool {
		for _, e := range s.entries {
			if a := s.stream(e); a.status != http.StatusOK || !a.complete {
				return false
			}
		}
		return true
	})
	return s
}

// stream requests a stream of an entry on a connection of its own.
func (s *stallRun) stream(e *soakEntry) soakAttempt {
	client := &http.Client{Timeout: stallTimeout + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return s.sendRequest(client, e.trafficAddress, true, soakKey)
}

// isWhole reports whether an attempt got all events of a stream in order.
func (a soakAttempt) isWhole() bool {
	return a.status == http.StatusOK && a.complete && isExpectedStream(a.body, true)
}

// TestStreamsOutlastPausesOfTheirTargets has targets, or the entry, pause in the middle of
// many streams, more than the retry budget lets go on elsewhere. Each target goes on, so
// that each stream must arrive whole, also from an entry that is told to stop.
func TestStreamsOutlastPausesOfTheirTargets(t *testing.T) {
	const pause = 1300 * time.Millisecond
	pauseRanks := func(isPaused func(r *stallRank) bool, d time.Duration) func(s *stallRun, e *soakEntry) {
		return func(s *stallRun, _ *soakEntry) {
			for _, r := range s.ranks {
				if isPaused(r) {
					r.pause(d)
				}
			}
		}
	}
	all := func(*stallRank) bool { return true }
	firstGroup := func(r *stallRank) bool { return r.group == 0 }
	firstOfGroups := func(r *stallRank) bool {
		return strings.HasSuffix(r.target.ID, "0") || strings.HasSuffix(r.target.ID, "2")
	}
	tests := []struct {
		name string
		// after is how long after the first stream the fault comes.
		after   time.Duration
		disturb func(s *stallRun, e *soakEntry)
		stops   bool
		slots   int64
	}{
		{"all targets", time.Second, pauseRanks(all, pause), false, stallSlots},
		{"all targets, the entry stops", time.Second, pauseRanks(all, pause), true, stallSlots},
		{"all targets for longer, the entry stops", time.Second, pauseRanks(all, 3*time.Second), true, stallSlots},
		{"all targets before the first events", 0, pauseRanks(all, pause), true, stallSlots},
		{"one group, the other one is full", time.Second, pauseRanks(firstGroup, pause), true, stallStreams / 4},
		{"one rank of each group", time.Second, pauseRanks(firstOfGroups, pause), true, stallSlots},
		{"the entry", time.Second, func(_ *stallRun, e *soakEntry) {
			e.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			e.signal(syscall.SIGCONT)
		}, true, stallSlots},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newStallRun(t, 1, tt.slots)
			e := s.entries[0]
			attempts := make([]soakAttempt, stallStreams)
			var streams sync.WaitGroup
			for n := range attempts {
				streams.Go(func() { attempts[n] = s.stream(e) })
			}
			time.Sleep(tt.after)
			tt.disturb(s, e)
			if tt.stops {
				e.signal(syscall.SIGTERM)
			}
			streams.Wait()
			whole, refused := 0, 0
			for _, a := range attempts {
				switch {
				case a.isWhole():
					whole++
				case a.status == http.StatusServiceUnavailable:
					refused++
				default:
					s.t.Logf("%s: status %d, complete %v, %d events", a.id, a.status, a.complete, strings.Count(a.body, "data:"))
				}
			}
			s.t.Logf("%d of %d streams whole, %d refused", whole, stallStreams, refused)
			s.c.Check(whole+refused, qt.Equals, stallStreams)
			s.checkLogs()
		})
	}
}
