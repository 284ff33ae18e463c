package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	adapter "bluebellcrank/platform"
)

const (
	// seriesSoakPeriod is how long TestSoakSeries injects series of faults.
	seriesSoakPeriod = 17 * time.Second
	// seriesMaxLength is the largest number of faults in a series, and seriesMaxGap the
	// longest time between two of them.
	seriesMaxLength = 5
	seriesMaxGap    = 400 * time.Millisecond
	// configPropagation is how long after it is stored a version of the configuration
	// may not be in force, and stabilityWindow how long an entry must have been
	// undisturbed for that.
	configPropagation = 2 * time.Second
	stabilityWindow   = 3 * time.Second
	// minProbes is how many probes of routes a run needs at least: entries are probed only
	// while they are undisturbed.
	minProbes = 50
	// restorePeriod is how long before the end storeRestored begins.
	restorePeriod = 3 * time.Second
	// routeLifetime is the age from which the next version drops a route.
	routeLifetime = 4 * time.Second
)

// versionRoute is a route that one version of the configuration added and a later one
// may have dropped.
type versionRoute struct {
	name               string
	addedAt, droppedAt time.Time
}

// seriesSoak is a run in which faults come in series that overlap, and in which callers
// use their open connections until the entry closes them.
type seriesSoak struct {
	*soakRun
	// kinds are the kinds of faults that are injected, and hasRestore adds storeRestored.
	kinds      []seriesFault
	hasRestore bool
	// anyFault has the times in which an entry does not run as usual, and aborts those
	// in which it may leave requests without an answer.
	anyFault, aborts disturbances

	mu sync.Mutex
	// stops has when each process was first told to stop.
	stops  map[*exec.Cmd]entryStop
	routes []versionRoute
	probes int
	found  []string
}

// victims returns the entries to which faults happen. To the others only those of the store
// do.
func (s *seriesSoak) victims() []*soakEntry { return s.entries[:(len(s.entries)+1)/2] }

// randomVictim returns one of the entries to which faults happen.
func (s *seriesSoak) randomVictim(r *rand.Rand) *soakEntry {
	return s.victims()[r.IntN(len(s.victims()))]
}

func (s *seriesSoak) fail(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found = append(s.found, fmt.Sprintf(format, values...))
}

// signalEntry sends a signal to an entry and returns when the entry is ready again.
func (s *seriesSoak) signalEntry(e *soakEntry, sig syscall.Signal) {
	defer s.anyFault.begin(e)()
	if sig == syscall.SIGKILL {
		defer s.aborts.begin(e)()
	}
	before := e.process()
	if sig == syscall.SIGTERM {
		s.stopped(e, before)
	}
	e.signal(sig)
	for end := time.Now().Add(soakRecoveryTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.process() != before && s.isReady(e) {
			return
		}
	}
}

// entryStop is when a process of an entry was first told to stop.
type entryStop struct {
	entry *soakEntry
	at    time.Time
}

// stopped records that a process is told to stop.
func (s *seriesSoak) stopped(e *soakEntry, process *exec.Cmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stops == nil {
		s.stops = map[*exec.Cmd]entryStop{}
	}
	if s.stops[process].entry == nil {
		s.stops[process] = entryStop{entry: e, at: time.Now()}
	}
}

// hasOutlasted reports whether a request may have been cut because it lasted until its
// deadline, or, sent before its entry was told to stop or soon after, into the last sixth of
// the grace period.
func (s *seriesSoak) hasOutlasted(e *soakEntry, a soakAttempt, now time.Time) bool {
	const soon = 3 * time.Second
	if now.Sub(a.sentAt) > s.timeout*3/4 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stop := range s.stops {
		if late := stop.at.Add(s.gracePeriod * 5 / 6); stop.entry == e && a.sentAt.Before(stop.at.Add(soon)) && now.After(late) && a.sentAt.Before(late) {
			return true
		}
	}
	return false
}

// pauseEntry stops an entry's process for a time.
func (s *seriesSoak) pauseEntry(e *soakEntry, pause time.Duration) {
	defer s.anyFault.begin(e)()
	defer s.aborts.begin(e)()
	e.signal(syscall.SIGSTOP)
	time.Sleep(pause)
	e.signal(syscall.SIGCONT)
}

// changeConfiguration stores a version of the configuration with a route of its own, and
// without those that have reached routeLifetime.
func (s *seriesSoak) changeConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []string
	var dropped []*versionRoute
	for n := range s.routes {
		switch r := &s.routes[n]; {
		case !r.droppedAt.IsZero():
		case time.Since(r.addedAt) > routeLifetime:
			dropped = append(dropped, r)
		default:
			kept = append(kept, r.name)
		}
	}
	added := fmt.Sprintf("route-%d", len(s.routes))
	s.setAddedRoutes(append(kept, added))
	now := time.Now()
	for _, r := range dropped {
		r.droppedAt = now
	}
	s.routes = append(s.routes, versionRoute{name: added, addedAt: now})
}

// inSeries calls f a random number of times with random pauses.
func inSeries(r *rand.Rand, f func(r *rand.Rand)) {
	for range 2 + r.IntN(seriesMaxLength-1) {
		f(r)
		time.Sleep(time.Duration(r.Int64N(int64(seriesMaxGap))))
	}
}

// seriesFault is one kind of fault; inject returns once the fault is over.
type seriesFault struct {
	name   string
	inject func(s *seriesSoak, r *rand.Rand)
}

var seriesFaults = []seriesFault{
	{"entries stopped one after the other", func(s *seriesSoak, r *rand.Rand) {
		var all sync.WaitGroup
		inSeries(r, func(r *rand.Rand) {
			e := s.randomVictim(r)
			all.Go(func() { s.signalEntry(e, syscall.SIGTERM) })
		})
		all.Wait()
	}},
	{"an entry told to stop again and again", func(s *seriesSoak, r *rand.Rand) {
		e := s.randomVictim(r)
		var all sync.WaitGroup
		inSeries(r, func(*rand.Rand) { all.Go(func() { s.signalEntry(e, syscall.SIGTERM) }) })
		all.Wait()
	}},
	{"an entry killed as it starts", func(s *seriesSoak, r *rand.Rand) {
		e := s.randomVictim(r)
		var all sync.WaitGroup
		inSeries(r, func(*rand.Rand) { all.Go(func() { s.signalEntry(e, syscall.SIGKILL) }) })
		all.Wait()
	}},
	{"settings changed before, during and after a stop", func(s *seriesSoak, r *rand.Rand) {
		e := s.randomVictim(r)
		delay := time.Duration(r.Int64N(int64(seriesMaxGap)))
		var stopping sync.WaitGroup
		stopping.Go(func() {
			time.Sleep(delay)
			s.signalEntry(e, syscall.SIGTERM)
		})
		inSeries(r, func(*rand.Rand) {
			s.writeSettings(e, soakRevocationLimit)
			e.signal(syscall.SIGHUP)
		})
		stopping.Wait()
	}},
	{"entries paused", func(s *seriesSoak, r *rand.Rand) {
		inSeries(r, func(r *rand.Rand) {
			s.pauseEntry(s.randomVictim(r), randomDuration(r, 50*time.Millisecond, 1500*time.Millisecond))
		})
	}},
	{"configurations in quick succession", func(s *seriesSoak, r *rand.Rand) {
		inSeries(r, func(*rand.Rand) { s.changeConfiguration() })
	}},
	{"targets replaced", func(s *seriesSoak, r *rand.Rand) {
		inSeries(r, func(r *rand.Rand) { s.addTarget([]string{"bells", "drafts"}[r.IntN(2)]) })
	}},
}

// storeOutages has the store fail again and again, which disturbs all entries.
var storeOutages = seriesFault{"store down and up", func(s *seriesSoak, r *rand.Rand) {
	for _, e := range s.entries {
		defer s.anyFault.begin(e)()
	}
	inSeries(r, func(r *rand.Rand) {
		s.store.SetFailureStatus(http.StatusServiceUnavailable)
		time.Sleep(randomDuration(r, 50*time.Millisecond, time.Second))
		s.store.SetFailureStatus(0)
	})
}}

// copiedRefusals has targets copy refusals in a series.
var copiedRefusals = seriesFault{"refusals copied", func(s *seriesSoak, r *rand.Rand) {
	inSeries(r, func(r *rand.Rand) { s.copyRefusals(r, randomDuration(r, 50*time.Millisecond, time.Second)) })
}}

// storeRestored has the store go back, which disturbs all entries, between changes of the
// configuration. A paused entry may miss all of that.
var storeRestored = seriesFault{"store restored", func(s *seriesSoak, r *rand.Rand) {
	copied := s.store.Copy()
	inSeries(r, func(*rand.Rand) { s.changeConfiguration() })
	time.Sleep(copyAge(r))
	for _, e := range s.entries {
		defer s.anyFault.begin(e)()
	}
	var pausing sync.WaitGroup
	e, pause := randomEntry(s.soakRun, r), randomDuration(r, time.Second, 5*time.Second)
	pausing.Go(func() { s.pauseEntry(e, pause) })
	s.restoreStore(copied, r, s.changeConfiguration)
	pausing.Wait()
}}

// injectFaults injects series of faults until the given time, and one series of outages
// of the store near the beginning or the end, and storeRestored near the end. They overlap,
// also with those of their own kind. The configuration changes all the while.
func (s *seriesSoak) injectFaults(until time.Time) {
	var all sync.WaitGroup
	outagesAt := time.Duration(s.random.IntN(2)) * (time.Until(until) - seriesMaxGap)
	r := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	all.Go(func() {
		time.Sleep(outagesAt)
		storeOutages.inject(s, r)
	})
	if s.hasRestore {
		r := rand.New(rand.NewPCG(s.random.Uint64(), 2))
		all.Go(func() {
			time.Sleep(time.Until(until) - restorePeriod)
			storeRestored.inject(s, r)
		})
	}
	all.Go(func() {
		for ; time.Now().Before(until); time.Sleep(2 * seriesMaxGap) {
			s.changeConfiguration()
		}
	})
	s.injectKinds(until)
	all.Wait()
}

// injectKinds injects series of faults of the run's kinds until the given time.
func (s *seriesSoak) injectKinds(until time.Time) {
	var all sync.WaitGroup
	for time.Now().Before(until) {
		time.Sleep(time.Duration(s.random.Int64N(int64(2 * seriesMaxGap))))
		f, r := s.kinds[s.random.IntN(len(s.kinds))], rand.New(rand.NewPCG(s.random.Uint64(), 2))
		s.faults = append(s.faults, f.name)
		all.Go(func() { f.inject(s, r) })
	}
	all.Wait()
}

// runOpenConnections sends requests on connections that stay open until the entry closes
// them, whatever it has announced.
func (s *seriesSoak) runOpenConnections(until time.Time) {
	var all sync.WaitGroup
	for n := range soakCallerCount {
		r := rand.New(rand.NewPCG(s.seed, uint64(n)+5))
		all.Go(func() {
			for time.Now().Before(until) {
				e := randomEntry(s.soakRun, r)
				conn, err := net.DialTimeout("tcp", e.trafficAddress, time.Second)
				if err != nil {
					time.Sleep(soakRestartDelay)
					continue
				}
				s.useConnection(conn, e, until, r)
				_ = conn.Close()
			}
		})
	}
	all.Wait()
}

// useConnection sends requests on a connection until it breaks.
func (s *seriesSoak) useConnection(conn net.Conn, e *soakEntry, until time.Time, r *rand.Rand) {
	reader := bufio.NewReader(conn)
	for isOpen := true; isOpen && time.Now().Before(until); {
		a := soakAttempt{id: fmt.Sprintf("a-%d", s.lastAttempt.Add(1)), apiKey: soakKey, streaming: r.IntN(2) == 0, sentAt: time.Now()}
		isOpen = s.exchange(conn, reader, &a) == nil
		s.record(a)
		if (a.status == 0 || !a.complete) && s.runCounts.count(a.id) > 0 && s.aborts.isUndisturbed(e, a.sentAt, time.Now()) && !s.hasOutlasted(e, a, time.Now()) {
			s.fail("%s (stream %v, status %d): %s passed it on and closed its connection without the whole answer", a.id, a.streaming, a.status, e.name)
		}
		time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
	}
}

// exchange sends a request on a connection and reads the answer.
func (s *seriesSoak) exchange(conn net.Conn, reader *bufio.Reader, a *soakAttempt) error {
	body := s.bodies[int(s.lastAttempt.Load())%len(s.bodies)]
	request := s.newRequest(*a, conn.RemoteAddr().String(), soakPath(a.streaming), body)
	if err := a.send(conn, request); err != nil {
		return err
	}
	_, err := a.receive(reader, request)
	return err
}

// send sends the request of the attempt on a connection.
func (a *soakAttempt) send(conn net.Conn, request *http.Request) error {
	if err := conn.SetDeadline(time.Now().Add(soakRecoveryTimeout)); err != nil {
		return err
	}
	return request.Write(conn)
}

// receive reads the answer, and whether it closes the connection.
func (a *soakAttempt) receive(reader *bufio.Reader, request *http.Request) (closes bool, err error) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return false, err
	}
	a.status, a.hasSignature = response.StatusCode, response.Header.Get("Server-Signature") != ""
	answer, err := io.ReadAll(response.Body)
	a.body, a.complete = string(answer), err == nil
	return response.Close, err
}

// probeRoutes asks for routes that versions of the configuration added and dropped,
// until the given time.
func (s *seriesSoak) probeRoutes(until time.Time) {
	r := rand.New(rand.NewPCG(s.seed, 4))
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		s.mu.Lock()
		route := versionRoute{}
		if len(s.routes) > 0 {
			route = s.routes[r.IntN(len(s.routes))]
		}
		s.mu.Unlock()
		now, e := time.Now(), randomEntry(s.soakRun, r)
		isAdded, isDropped := now.Sub(route.addedAt) > configPropagation, now.Sub(route.droppedAt) > configPropagation
		switch {
		case route.name == "" || !s.anyFault.isUndisturbed(e, now.Add(-stabilityWindow), now):
		case route.droppedAt.IsZero() && isAdded:
			s.probe(client, e, route.name, now, func(status, _ int) bool { return status != http.StatusNotFound && status != http.StatusUnauthorized })
		case !route.droppedAt.IsZero() && isDropped:
			s.probe(client, e, route.name, now, func(_, runs int) bool { return runs == 0 })
		}
	}
}

// probe sends a request on a route and checks its outcome, unless the entry was
// disturbed or the route dropped meanwhile.
func (s *seriesSoak) probe(client *http.Client, e *soakEntry, route string, now time.Time, isAllowed func(status, runs int) bool) {
	a := soakAttempt{id: fmt.Sprintf("p-%d", s.lastAttempt.Add(1)), apiKey: soakKey}
	response, err := client.Do(s.newRequest(a, e.trafficAddress, "/"+route+"/x", soakBody))
	if err != nil {
		return
	}
	_ = response.Body.Close()
	s.mu.Lock()
	s.probes++
	s.mu.Unlock()
	if !s.anyFault.isUndisturbed(e, now, time.Now()) || isAllowed(response.StatusCode, s.runCounts.count(a.id)) {
		return
	}
	s.mu.Lock()
	for _, r := range s.routes {
		if r.name == route && r.droppedAt.After(now) {
			response.StatusCode = 0
		}
	}
	s.mu.Unlock()
	if response.StatusCode != 0 {
		s.fail("%s: %s got %d, %d runs, from an entry in good order more than %s after the change", e.name, route, response.StatusCode, s.runCounts.count(a.id), configPropagation)
	}
}

// TestSoakSeries injects series of signals, restarts and changes that overlap, while
// callers use their connections until these are closed. SEEDS=n runs n seeds, SEED=n
// only that seed, ENTRIES=n sets the number of entries.
func TestSoakSeries(t *testing.T) {
	for _, seed := range seeds(1) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &seriesSoak{soakRun: newSoakRun(t, seed, soakRevocationLimit), kinds: append(slices.Clone(seriesFaults), copiedRefusals), hasRestore: true}
			until := time.Now().Add(seriesSoakPeriod)
			var running sync.WaitGroup
			running.Go(func() { s.runOpenConnections(until) })
			running.Go(func() { s.probeRoutes(until) })
			s.injectFaults(until)
			running.Wait()
			t.Logf("seed %d: %d series, %d versions, %d probes, %d requests on open connections: %s", seed, len(s.faults), len(s.routes), s.probes, len(s.attempts), strings.Join(s.faults, ", "))
			s.c.Check(s.probes >= minProbes, qt.IsTrue, qt.Commentf("%d probes", s.probes))
			s.probeRoutes(time.Now().Add(stabilityWindow + configPropagation))
			s.c.Check(s.found, qt.HasLen, 0)
			s.checkAfterFaults()
		})
	}
}

// TestRepeatedStopCutsNoStream tells an entry to stop again and again while it passes on
// a stream.
func TestRepeatedStopCutsNoStream(t *testing.T) {
	s := newSoakRun(t, 1, soakRevocationLimit)
	e := s.entries[0]
	var stopping sync.WaitGroup
	stopping.Go(func() {
		s.eventually("a target runs the request", func() bool { return s.runCounts.count("a-1") > 0 })
		for range seriesMaxLength {
			e.signal(syscall.SIGTERM)
			time.Sleep(20 * time.Millisecond)
		}
	})
	a := s.sendRequest(http.DefaultClient, e.trafficAddress, true, soakKey)
	stopping.Wait()
	s.c.Check(a.complete, qt.IsTrue, qt.Commentf("status %d: %s", a.status, a.body))
	s.c.Check(s.findViolations(), qt.HasLen, 0)
}

// TestHangupDuringTheStart sends SIGHUP to an entry that is about to read its settings.
func TestHangupDuringTheStart(t *testing.T) {
	c := qt.New(t)
	settings := filepath.Join(t.TempDir(), "settings.json")
	c.Assert(syscall.Mkfifo(settings, 0o600), qt.IsNil)
	cmd := exec.Command(filepath.Join(binaryDir, "bluebellcrank"), "gateway", "--operator-port=0")
	cmd.Env = append(os.Environ(), adapter.SettingsVariable+"="+settings)
	c.Assert(cmd.Start(), qt.IsNil)
	// Open returns once the entry opens the other end.
	writer, err := os.OpenFile(settings, os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = writer.WriteString("{}")
	c.Check(err, qt.IsNil)
	c.Check(writer.Close(), qt.IsNil)
	c.Check(cmd.Wait(), qt.ErrorMatches, "exit status 1", qt.Commentf("the entry ends because its settings contain no address"))
}
