package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// slowSoakPeriod is how long entries run slowly by turns, and slowCalmPeriod how long the
	// connections that are still open are used once targets have room again.
	slowSoakPeriod = 9 * time.Second
	slowCalmPeriod = 1500 * time.Millisecond
	// maxSuspension is the longest time for which a target is suspended after failures.
	maxSuspension = 4 * time.Second
	// callersPerSlowEntry is the number of kept connections to each entry that runs slowly, and
	// callersPerUsualEntry that to each other one.
	callersPerSlowEntry  = 48
	callersPerUsualEntry = 4
	// slowSoakSlots leaves most requests without room while entries run slowly.
	slowSoakSlots = 1
	// slowSoakGoal leaves no time to wait for a slot.
	slowSoakGoal = 50 * time.Millisecond
	// slowSoakSeries is the number of other series of faults.
	slowSoakSeries = 2
	// minShortDeadline and maxShortDeadline bound the deadlines of requests that a pause may
	// outlast.
	minShortDeadline = 40 * time.Millisecond
	maxShortDeadline = 150 * time.Millisecond
)

// slowSoak is a run in which entries get the processor for parts of short periods only.
type slowSoak struct {
	*seriesSoak
	// slowed counts how often an entry was slowed down.
	slowed int
	// shortDeadline is that of most requests. It is always the same, since a shorter one than
	// usual marks a request as repeated, which waits for a slot.
	shortDeadline time.Duration
	// hasShortDeadlines is set while callers send requests with short deadlines.
	hasShortDeadlines atomic.Bool
	// calmFrom is when orders on connections that were opened before are to be served, in Unix
	// nanoseconds; keptSent and keptServed count these orders.
	calmFrom, keptSent, keptServed atomic.Int64
}

// slowEntries has an entry after the other run for a part of each of some short periods, until
// the given time.
func (s *slowSoak) slowEntries(until time.Time, r *rand.Rand) {
	for time.Now().Before(until) {
		e := s.randomVictim(r)
		endAny, endAborts := s.anyFault.begin(e), s.aborts.begin(e)
		stop, run := randomDuration(r, s.shortDeadline/2, 2*s.shortDeadline), randomDuration(r, 10*time.Millisecond, 60*time.Millisecond)
		for end := time.Now().Add(randomDuration(r, time.Second, 3*time.Second)); time.Now().Before(end); {
			e.signal(syscall.SIGSTOP)
			time.Sleep(stop)
			e.signal(syscall.SIGCONT)
			time.Sleep(run)
		}
		endAny()
		endAborts()
		s.slowed++
	}
}

// injectSlow has entries run slowly by turns until the given time, beside a few series of
// stops and changes.
func (s *slowSoak) injectSlow(until time.Time) {
	var all sync.WaitGroup
	slow := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	all.Go(func() { s.slowEntries(until, slow) })
	for range slowSoakSeries {
		f, delay := s.kinds[s.random.IntN(len(s.kinds))], time.Duration(s.random.Int64N(int64(time.Until(until))))
		r := rand.New(rand.NewPCG(s.random.Uint64(), 2))
		s.faults = append(s.faults, f.name)
		all.Go(func() {
			time.Sleep(delay)
			f.inject(s.seriesSoak, r)
		})
	}
	all.Wait()
}

// setRoom has the targets of orders listed with a number of slots, and those of streams listed
// or not.
func (s *slowSoak) setRoom(slots int, hasStreams bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, server := range s.servers {
		switch {
		case server["service"] == "bells":
			server["slots"] = slots
			s.store.Put("servers", id, server)
		case hasStreams:
			s.store.Put("servers", id, server)
		default:
			s.store.Delete("servers", id)
		}
	}
}

// slowRequest is a request of a caller on a kept connection.
type slowRequest struct {
	method, path, body string
	deadline           time.Duration
}

// randomRequest returns a request, most often one that has no body and a short deadline.
func (s *slowSoak) randomRequest(r *rand.Rand) slowRequest {
	short := soakTimeout
	if s.hasShortDeadlines.Load() {
		short = s.shortDeadline
	}
	switch r.IntN(60) {
	case 0:
		return slowRequest{http.MethodPost, "/order/x", soakBody, soakTimeout}
	case 1:
		return slowRequest{http.MethodPost, "/draft/x", soakBody, soakTimeout}
	case 2:
		return slowRequest{http.MethodPost, "/order/x", "", short}
	case 3:
		return slowRequest{http.MethodGet, "/draft/x", "", short}
	}
	return slowRequest{http.MethodGet, "/check/x", "", short}
}

// useKeptConnections sends requests on connections that stay open until the entry closes
// them, until isOver.
func (s *slowSoak) useKeptConnections(isOver func() bool) {
	var all sync.WaitGroup
	callers := slices.Repeat(s.victims(), callersPerSlowEntry)
	callers = append(callers, slices.Repeat(s.entries[len(s.victims()):], callersPerUsualEntry)...)
	for n, e := range callers {
		r := rand.New(rand.NewPCG(s.seed, uint64(n)+8))
		all.Go(func() {
			for !isOver() {
				conn, err := net.DialTimeout("tcp", e.trafficAddress, time.Second)
				if err != nil {
					time.Sleep(soakRestartDelay)
					continue
				}
				s.useKept(conn.(*net.TCPConn), isOver, r)
				_ = conn.Close()
			}
		})
	}
	all.Wait()
}

// useKept sends requests on one connection. Some clients end their sending side and go on
// reading.
func (s *slowSoak) useKept(conn *net.TCPConn, isOver func() bool, r *rand.Rand) {
	const sendingEnds = 100 // one request in so many is the last one of its client
	reader, openedAt := bufio.NewReader(conn), time.Now().UnixNano()
	for isOpen := true; isOpen && !isOver(); {
		request := s.randomRequest(r)
		isLast := r.IntN(sendingEnds) == 0
		a := soakAttempt{id: fmt.Sprintf("a-%d", s.lastAttempt.Add(1)), apiKey: soakKey, streaming: request.path == "/draft/x", sentAt: time.Now()}
		closes, err := s.exchangeKept(conn, reader, &a, request, isLast)
		s.record(a)
		if calm := s.calmFrom.Load(); calm > 0 && openedAt < calm && a.sentAt.UnixNano() > calm && !a.streaming {
			s.keptSent.Add(1)
			if a.status == http.StatusOK && a.complete {
				s.keptServed.Add(1)
			}
		}
		isOpen = err == nil && !closes && !isLast
		if !s.hasShortDeadlines.Load() {
			time.Sleep(randomDuration(r, 10*time.Millisecond, 50*time.Millisecond))
		}
	}
}

// exchangeKept sends a request on a connection, and reads the answer and whether it closes the
// connection.
func (s *slowSoak) exchangeKept(conn *net.TCPConn, reader *bufio.Reader, a *soakAttempt, sent slowRequest, isLast bool) (closes bool, err error) {
	request := s.newRequest(*a, conn.RemoteAddr().String(), sent.path, sent.body)
	request.Method = sent.method
	if sent.body == "" {
		request.Body, request.ContentLength = nil, 0
	}
	request.Header.Set("Deadline-Ms", strconv.FormatInt(sent.deadline.Milliseconds(), 10))
	if err := a.send(conn, request); err != nil {
		return false, err
	}
	if isLast {
		if err := conn.CloseWrite(); err != nil {
			return false, err
		}
	}
	return a.receive(reader, request)
}

// TestSoakSlow has entries run slowly by turns, beside series of stops and changes, while
// callers use kept connections for requests without a body and with short deadlines, and the
// services have no room. Each success must have its target's signature. SEEDS=n runs n seeds,
// SEED=n only that seed, ENTRIES=n sets the number of entries.
func TestSoakSlow(t *testing.T) {
	for _, seed := range seeds(1) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &slowSoak{seriesSoak: &seriesSoak{soakRun: newSoakRun(t, seed, soakRevocationLimit)}}
			s.kinds = stopFaults()
			s.shortDeadline = randomDuration(s.random, minShortDeadline, maxShortDeadline)
			// The route of the checks is never dropped.
			s.routes = []versionRoute{{name: "check", addedAt: time.Now().Add(time.Hour)}}
			s.firstByteGoal = slowSoakGoal
			s.changeConfiguration()
			usualSlots := s.slots
			s.setRoom(slowSoakSlots, false)
			time.Sleep(configPropagation)
			s.hasShortDeadlines.Store(true)
			var callers sync.WaitGroup
			var isOver atomic.Bool
			callers.Go(func() { s.useKeptConnections(isOver.Load) })
			s.injectSlow(time.Now().Add(slowSoakPeriod))
			s.setRoom(usualSlots, true)
			s.hasShortDeadlines.Store(false)
			s.eventually("every entry is ready", s.allReady)
			time.Sleep(maxSuspension)
			s.calmFrom.Store(time.Now().UnixNano())
			time.Sleep(slowCalmPeriod)
			isOver.Store(true)
			callers.Wait()
			sent, served := s.keptSent.Load(), s.keptServed.Load()
			t.Logf("seed %d: slow entries %d times, %d requests on kept connections, %d of %d served afterwards: %s", seed, s.slowed, len(s.attempts), served, sent, strings.Join(s.faults, ", "))
			s.c.Check(sent > 0 && served*10 >= sent*9, qt.IsTrue, qt.Commentf("on kept connections %d of %d served after the faults", served, sent))
			s.checkAfterFaults()
		})
	}
}
