package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// targetSoakPeriod is how long TestSoakTargets injects faults.
	targetSoakPeriod = 14 * time.Second
	// targetSoakGapGoal is long enough that a busy machine, which delays events, is not
	// taken for slow targets: entries admit fewer streams to those.
	targetSoakGapGoal = 2 * time.Second
	// drainPeriod is how long a target that announced its leaving may get requests.
	drainPeriod = 2 * time.Second
	// backoffSettle is how long after its refusal a target that asks for a pause may
	// get requests that are under way, and maxBackoffArrivals how many after that.
	backoffSettle      = 500 * time.Millisecond
	maxBackoffArrivals = 2
)

// sentRequest is when a request was sent to an entry.
type sentRequest struct {
	entry *soakEntry
	at    time.Time
}

// targetEntry is a target and an entry that sends to it.
type targetEntry struct {
	target string
	entry  *soakEntry
}

// pauseRequest is a target's refusal with a time.
type pauseRequest struct {
	at    time.Time
	until time.Time
}

// targetLimit is a limit in requests per second that a target names since a time.
type targetLimit struct {
	perSecond float64
	since     time.Time
}

// targetSoak records what targets and entries tell each other while faults overlap.
type targetSoak struct {
	*crashRun
	random *rand.Rand

	mu   sync.Mutex
	sent map[string]sentRequest
	// disturbed has the times in which entries were paused, stopped or killed.
	disturbed disturbances
	leaving   map[string]bool
	// busyFor is the pause that a target asks for with each refusal.
	busyFor map[string]time.Duration
	// limits has the limit that a target names, and limitTold when an entry first passed
	// it on.
	limits    map[string]targetLimit
	limitTold map[targetEntry]time.Time
	// announced is when an entry first passed on that a target is leaving.
	announced map[targetEntry]time.Time
	arrivals  map[targetEntry][]sentRequest
	pauses    map[targetEntry][]pauseRequest
	// deadly has the arrivals of deadly requests by their body's first word.
	deadly map[string][]sentRequest
	faults []string
}

func newTargetSoak(seed uint64) *targetSoak {
	return &targetSoak{
		random: rand.New(rand.NewPCG(seed, 11)), sent: map[string]sentRequest{},
		limits: map[string]targetLimit{}, limitTold: map[targetEntry]time.Time{},
		leaving: map[string]bool{}, busyFor: map[string]time.Duration{}, announced: map[targetEntry]time.Time{},
		arrivals: map[targetEntry][]sentRequest{}, pauses: map[targetEntry][]pauseRequest{}, deadly: map[string][]sentRequest{},
	}
}

// arrive records a request at a target, and answers it if the target is busy.
func (s *targetSoak) arrive(t *crashTarget, w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := s.sent[r.Header.Get("Attempt-Id")]
	key := targetEntry{t.target.ID, request.entry}
	now := time.Now()
	s.arrivals[key] = append(s.arrivals[key], sentRequest{request.entry, now})
	if at, isAnnounced := s.announced[key]; isAnnounced && request.at.Sub(at) > drainPeriod && s.disturbed.isUndisturbed(request.entry, at, now) {
		s.t.Errorf("%s: a request that %s got %s after it passed on that the target is leaving", t.target.ID, request.entry.name, request.at.Sub(at))
	}
	if s.leaving[t.target.ID] {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit := s.limits[t.target.ID]; limit.perSecond > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(limit.perSecond, 'f', 2, 64))
	}
	if pause := s.busyFor[t.target.ID]; pause > 0 {
		s.pauses[key] = append(s.pauses[key], pauseRequest{now, now.Add(pause)})
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

// recordSent records a request before it is sent to an entry.
func (s *targetSoak) recordSent(id string, e *soakEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id] = sentRequest{e, time.Now()}
}

// recordReply records whether an entry passed on that a target is leaving, or its limit.
func (s *targetSoak) recordReply(e *soakEntry, h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := targetEntry{h.Get("Server-Signature"), e}
	if _, isKnown := s.announced[key]; h.Get("Server-Leaving") == "1" && !isKnown {
		s.announced[key] = time.Now()
	}
	now := time.Now()
	if told, isKnown := s.limitTold[key]; h.Get("Server-Limit") != "" && (!isKnown || !s.disturbed.isUndisturbed(e, told, now)) {
		s.limitTold[key] = now
	}
}

const (
	// limitWindow is the time in which a target's limit counts. In each such time, it may
	// get limitFactor times what the limit allows, and limitTolerance requests more.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitTolerance = 5
)

// checkLimit checks that a target which has named a limit until now got no more than
// allowed from undisturbed entries that knew it, from crashWindow after it first did.
func (s *targetSoak) checkLimit(target string, limit targetLimit) {
	var arrivals []time.Time
	for key, requests := range s.arrivals {
		told, isTold := s.limitTold[key]
		if key.target != target || !isTold {
			continue
		}
		for _, a := range requests {
			if a.at.After(told.Add(backoffSettle)) && a.at.After(limit.since.Add(crashWindow)) && s.disturbed.isUndisturbed(key.entry, told, a.at) {
				arrivals = append(arrivals, a.at)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	allowed := int(limitFactor*limit.perSecond*limitWindow.Seconds()) + limitTolerance
	for n, at := range arrivals {
		if next := n + allowed; next < len(arrivals) && arrivals[next].Sub(at) < limitWindow {
			s.t.Errorf("%s: more than %d requests within %s at a limit of %.2f a second", target, allowed, limitWindow, limit.perSecond)
			return
		}
	}
}

// checkPauses checks that no target got more requests than allowed while it had asked an
// undisturbed entry for a pause.
func (s *targetSoak) checkPauses() {
	for key, pauses := range s.pauses {
		for _, p := range pauses {
			count := 0
			for _, a := range s.arrivals[key] {
				if a.at.Sub(p.at) > backoffSettle && a.at.Before(p.until) {
					count++
				}
			}
			if count > maxBackoffArrivals && s.disturbed.isUndisturbed(key.entry, p.at, p.until) {
				s.t.Errorf("%s: %d requests of %s while it had asked for a pause of %s", key.target, count, key.entry.name, p.until.Sub(p.at))
			}
		}
	}
}

// checkDeadly checks how many deadly requests of a kind reached targets, sent by entries
// that ran for crashWindow, later than that after the tolerated crash.
func (s *targetSoak) checkDeadly(kind string, tolerated int) {
	arrivals := s.deadly[kind]
	if len(arrivals) < tolerated {
		return
	}
	late := 0
	for _, a := range arrivals {
		if a.at.Sub(arrivals[tolerated-1].at) > crashWindow && s.disturbed.isUndisturbed(a.entry, a.at.Add(-crashWindow), a.at) {
			late++
		}
	}
	s.c.Check(late <= maxLateArrivals, qt.IsTrue, qt.Commentf("%s: %d of %d arrivals late", kind, late, len(arrivals)))
}

// targetSoakFault is one kind of fault; inject returns once the fault is over.
type targetSoakFault struct {
	name   string
	inject func(s *targetSoak, r *rand.Rand)
}

func (s *targetSoak) randomTarget(r *rand.Rand) *crashTarget {
	s.crashRun.mu.Lock()
	defer s.crashRun.mu.Unlock()
	return s.targets[r.IntN(len(s.targets))]
}

// signalEntry signals an entry, which is disturbed for a time.
func (s *targetSoak) signalEntry(e *soakEntry, sig syscall.Signal, restart time.Duration) {
	defer s.disturbed.begin(e)()
	e.signal(sig)
	time.Sleep(restart)
}

var targetSoakFaults = []targetSoakFault{
	{"entry killed", func(s *targetSoak, r *rand.Rand) {
		s.signalEntry(randomEntry(s.soakRun, r), syscall.SIGKILL, time.Second)
	}},
	{"entry stopped", func(s *targetSoak, r *rand.Rand) {
		s.signalEntry(randomEntry(s.soakRun, r), syscall.SIGTERM, 5*time.Second)
	}},
	{"entry paused", func(s *targetSoak, r *rand.Rand) {
		e := randomEntry(s.soakRun, r)
		defer s.disturbed.begin(e)()
		e.signal(syscall.SIGSTOP)
		time.Sleep(randomDuration(r, 200*time.Millisecond, 3*time.Second))
		e.signal(syscall.SIGCONT)
	}},
	{"settings broken and restored", func(s *targetSoak, r *rand.Rand) {
		e := randomEntry(s.soakRun, r)
		s.c.Check(os.WriteFile(e.settingsPath, []byte("{"), 0o644), qt.IsNil)
		e.signal(syscall.SIGHUP)
		time.Sleep(randomDuration(r, 50*time.Millisecond, time.Second))
		s.writeSettings(e, soakRevocationLimit)
		e.signal(syscall.SIGHUP)
	}},
	{"store down", func(s *targetSoak, r *rand.Rand) {
		s.store.SetFailureStatus(http.StatusServiceUnavailable)
		time.Sleep(randomDuration(r, 300*time.Millisecond, 3*time.Second))
		s.store.SetFailureStatus(0)
	}},
	{"configuration changed", func(s *targetSoak, _ *rand.Rand) { s.writeConfiguration() }},
	{"target killed", func(s *targetSoak, r *rand.Rand) { s.randomTarget(r).end() }},
	{"target leaves", func(s *targetSoak, r *rand.Rand) {
		old := s.randomTarget(r)
		s.mu.Lock()
		isNew := !s.leaving[old.target.ID]
		s.leaving[old.target.ID] = true
		s.mu.Unlock()
		if !isNew {
			return
		}
		s.addTarget(old.service)
		time.Sleep(2 * drainPeriod)
		s.unlistServer(old.target.ID)
		old.stop()
	}},
	{"target names a limit", func(s *targetSoak, r *rand.Rand) {
		id := s.randomTarget(r).target.ID
		limit := targetLimit{perSecond: 0.25 + r.Float64(), since: time.Now()}
		s.mu.Lock()
		_, isLimited := s.limits[id]
		if !isLimited {
			s.limits[id] = limit
		}
		s.mu.Unlock()
		if isLimited {
			return
		}
		time.Sleep(randomDuration(r, time.Second, crashWindow+2*limitWindow))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.checkLimit(id, limit)
		delete(s.limits, id)
		for key := range s.limitTold {
			if key.target == id {
				delete(s.limitTold, key)
			}
		}
	}},
	{"target busy", func(s *targetSoak, r *rand.Rand) {
		id := s.randomTarget(r).target.ID
		s.mu.Lock()
		s.busyFor[id] = randomDuration(r, 600*time.Millisecond, 3*time.Second)
		s.mu.Unlock()
		time.Sleep(randomDuration(r, 100*time.Millisecond, 3*time.Second))
		s.mu.Lock()
		delete(s.busyFor, id)
		s.mu.Unlock()
	}},
	{"refusals copied", func(s *targetSoak, r *rand.Rand) {
		s.copyRefusals(r, randomDuration(r, 500*time.Millisecond, 3*time.Second))
	}},
	{"store restored", func(s *targetSoak, r *rand.Rand) {
		copied := s.store.Copy()
		time.Sleep(copyAge(r))
		s.restoreStore(copied, r, s.writeConfiguration)
	}},
}

// injectFaults injects random faults until the given time. Faults overlap, also with
// those of their own kind.
func (s *targetSoak) injectFaults(until time.Time) {
	var all sync.WaitGroup
	for time.Now().Before(until) {
		time.Sleep(time.Duration(s.random.Int64N(int64(soakMaxFaultGap))))
		f, r := targetSoakFaults[s.random.IntN(len(targetSoakFaults))], rand.New(rand.NewPCG(s.random.Uint64(), 2))
		s.faults = append(s.faults, f.name)
		all.Go(func() { f.inject(s, r) })
	}
	all.Wait()
}

// runCallers sends sound and, if asked for, deadly requests to the entries until the
// given time. It returns how many of the sound ones were served, and how many were sent.
func (s *targetSoak) runCallers(until time.Time, withDeadly bool) (served, sent int) {
	var all sync.WaitGroup
	var counts sync.Mutex
	for n := range soakCallerCount {
		r := rand.New(rand.NewPCG(s.seed, uint64(n)+7))
		all.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			defer client.CloseIdleConnections()
			for count := 0; time.Now().Before(until); count++ {
				e := s.entries[r.IntN(len(s.entries))]
				own := fmt.Sprintf("own-%d-%d:600", n, count)
				if withDeadly && n < 2 {
					kind := []string{"single", "part"}[n]
					s.send(client, e, n == 1, kind, map[string]string{"single": "", "part": "head:40,deadly:20," + own}[kind])
					time.Sleep(time.Duration(r.IntN(250)) * time.Millisecond)
					continue
				}
				a := s.send(client, e, r.IntN(2) == 0, "sound "+own, "head:40,"+own)
				counts.Lock()
				sent++
				if a.status == http.StatusOK && a.complete {
					served++
				}
				counts.Unlock()
				time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
			}
		})
	}
	all.Wait()
	return served, sent
}

// TestSoakTargets runs callers, of whom some crash targets, while targets are killed,
// announce that they leave and ask for pauses, and entries are killed, stopped and
// paused. SEEDS=n runs n seeds, SEED=n only that seed.
func TestSoakTargets(t *testing.T) {
	for _, seed := range seeds(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newTargetSoak(seed)
			s.crashRun = newCrashRun(t, func(r *http.Request, body string) bool {
				kind, _, _ := strings.Cut(body, " ")
				if kind != "single" && kind != "part" {
					return false
				}
				s.mu.Lock()
				defer s.mu.Unlock()
				s.deadly[kind] = append(s.deadly[kind], sentRequest{s.sent[r.Header.Get("Attempt-Id")].entry, time.Now()})
				return true
			}, crashHooks{onArrival: s.arrive, onSend: s.recordSent, onReply: s.recordReply})
			s.seed = seed
			s.gapGoal = targetSoakGapGoal
			s.writeConfiguration()
			until := time.Now().Add(targetSoakPeriod)
			var injecting sync.WaitGroup
			injecting.Go(func() { s.injectFaults(until) })
			served, sent := s.runCallers(until, true)
			injecting.Wait()
			s.eventually("every entry is ready", s.allReady)
			time.Sleep(drainPeriod)
			calmServed, calmSent := s.runCallers(time.Now().Add(soakCalmPeriod), false)
			t.Logf("seed %d: %d faults, %d of %d served, after the faults %d of %d; deadly requests at targets: %d single, %d with the part: %s", seed, len(s.faults), served, sent, calmServed, calmSent, len(s.deadly["single"]), len(s.deadly["part"]), strings.Join(s.faults, ", "))
			s.c.Check(s.findRepeats(), qt.HasLen, 0)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.checkPauses()
			s.checkDeadly("single", 3)
			s.checkDeadly("part", 5)
			s.c.Check(calmServed*10 >= calmSent*9, qt.IsTrue, qt.Commentf("served %d of %d after the faults", calmServed, calmSent))
			s.checkLogs()
		})
	}
}
