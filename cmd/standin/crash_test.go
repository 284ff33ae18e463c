package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
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
	// crashWindow is how long after the last tolerated crash an entry may not know of
	// it yet.
	crashWindow = 3 * time.Second
	// maxLateArrivals is how many requests that crash targets may reach targets after
	// that.
	maxLateArrivals = 3
	// crashRestartDelay is the time after which a target that ended is back.
	crashRestartDelay = 1500 * time.Millisecond
)

// crashTarget is a target that ends when it begins to answer a deadly request, and is
// back after crashRestartDelay at the same address.
type crashTarget struct {
	run      *crashRun
	target   standin.Target
	service  string
	address  string
	mu       sync.Mutex
	server   *http.Server
	hasEnded bool
	// isGone is set once the target must not start again.
	isGone bool
}

// crashRun runs entries before targets that requests crash.
type crashRun struct {
	*soakRun
	// isDeadly reports whether a request crashes targets.
	isDeadly func(r *http.Request, body string) bool
	hooks    crashHooks
	targets  []*crashTarget

	mu sync.Mutex
	// senders has the entry to which each request was sent, and resumedAt when a paused
	// entry was resumed.
	senders   map[string]*soakEntry
	resumedAt map[*soakEntry]time.Time
	// arrivals are the deadly requests that reached targets, and crashes the times of the
	// targets' ends.
	arrivals []deadlyArrival
	crashes  []time.Time
}

// deadlyArrival is a deadly request that an entry passed on to a target.
type deadlyArrival struct {
	entry *soakEntry
	at    time.Time
}

// crashHooks observe requests; a nil hook is not called.
type crashHooks struct {
	// onArrival sees each request that reaches a target first, and reports whether it
	// has answered it.
	onArrival func(t *crashTarget, w http.ResponseWriter, r *http.Request) bool
	// onSend sees each request before it is sent, and onReply the header of its answer.
	onSend  func(id string, e *soakEntry)
	onReply func(e *soakEntry, h http.Header)
}

// newCrashRun replaces the targets of a new run of entries.
func newCrashRun(t *testing.T, isDeadly func(r *http.Request, body string) bool, hooks crashHooks) *crashRun {
	c := &crashRun{
		soakRun: newSoakRun(t, 1, soakRevocationLimit), isDeadly: isDeadly, hooks: hooks,
		senders: map[string]*soakEntry{}, resumedAt: map[*soakEntry]time.Time{},
	}
	for _, name := range c.store.Names("servers") {
		c.unlistServer(name)
	}
	for n := range 8 {
		c.addTarget([]string{"bells", "drafts"}[n%2])
	}
	client := &http.Client{Timeout: 3 * time.Second}
	c.eventually("every entry serves", func() bool {
		for _, e := range c.entries {
			if c.send(client, e, true, "sound", "").status != http.StatusOK || c.send(client, e, false, "sound", "").status != http.StatusOK {
				return false
			}
		}
		return true
	})
	return c
}

// addTarget starts a target of a service and lists it.
func (c *crashRun) addTarget(service string) *crashTarget {
	t := &crashTarget{run: c, service: service, address: freeAddress()}
	l, err := net.Listen("tcp", t.address)
	c.c.Assert(err, qt.IsNil)
	c.mu.Lock()
	t.target.ID = fmt.Sprintf("%s-crash-%d", service, len(c.targets))
	c.targets = append(c.targets, t)
	c.mu.Unlock()
	t.target.Handler = t.serve
	t.serveAt(l)
	c.t.Cleanup(t.stop)
	c.listServer(t.target.ID, service, t.address)
	return t
}

// restart listens at the target's address again, which the listener of before may hold for
// a moment.
func (t *crashTarget) restart() {
	var l net.Listener
	var err error
	for end := time.Now().Add(soakRecoveryTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if l, err = net.Listen("tcp", t.address); err == nil {
			t.serveAt(l)
			return
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isGone {
		t.run.t.Errorf("%s does not start again: %v", t.target.ID, err)
	}
}

// serveAt serves a listener, unless the target must not start again.
func (t *crashTarget) serveAt(l net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isGone {
		_ = l.Close()
		return
	}
	server := standin.NewCopyingServer(&t.target, t.run.refusals.copies)
	t.server, t.hasEnded = server, false
	// Serve ends with the server.
	go func() { _ = server.Serve(l) }()
}

// stop closes the listener and all connections for good.
func (t *crashTarget) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isGone = true
	_ = t.server.Close()
}

// end ends the target, unless it just ended, and reports whether it did.
func (t *crashTarget) end() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasEnded || t.isGone {
		return false
	}
	t.hasEnded = true
	time.AfterFunc(crashRestartDelay, t.restart)
	_ = t.server.Close()
	return true
}

// serve answers a request, or begins to and ends the target.
func (t *crashTarget) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	isStream := strings.HasPrefix(r.URL.Path, "/draft/")
	if t.run.hooks.onArrival != nil && t.run.hooks.onArrival(t, w, r) {
		return
	}
	if t.run.refusals.refuse(w) {
		return
	}
	t.run.runCounts.add(r.Header.Get("Attempt-Id"))
	if t.run.isDeadly(r, string(body)) {
		t.run.recordArrival(r.Header.Get("Attempt-Id"))
		time.Sleep(20 * time.Millisecond)
		if isStream {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
		}
		if t.end() {
			t.run.recordCrash()
		}
		panic(http.ErrAbortHandler)
	}
	if isStream {
		standin.Events(soakEventCount, 15*time.Millisecond)(w, r)
		return
	}
	time.Sleep(30 * time.Millisecond)
	_, _ = io.WriteString(w, "struck")
}

func (c *crashRun) recordArrival(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, deadlyArrival{c.senders[id], time.Now()})
}

func (c *crashRun) recordCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

// resume resumes a paused entry.
func (c *crashRun) resume(e *soakEntry) {
	c.mu.Lock()
	c.resumedAt[e] = time.Now()
	c.mu.Unlock()
	e.signal(syscall.SIGCONT)
}

func (c *crashRun) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// lateArrivals returns how many deadly requests reached targets later than crashWindow
// after the crash with a number, and how many targets ended in all. The platform counts none
// that comes from an entry up to crashWindow after it was resumed.
func (c *crashRun) lateArrivals(crash int) (late, ended int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < crash {
		return 0, len(c.crashes)
	}
	for _, a := range c.arrivals {
		resumedAt, wasPaused := c.resumedAt[a.entry]
		isExcused := wasPaused && a.at.Sub(resumedAt) <= crashWindow
		if a.at.Sub(c.crashes[crash-1]) > crashWindow && !isExcused {
			late++
		}
	}
	return late, len(c.crashes)
}

// send sends one request to an entry.
func (c *crashRun) send(client *http.Client, e *soakEntry, stream bool, body, parts string) soakAttempt {
	a := soakAttempt{id: fmt.Sprintf("c-%d", c.lastAttempt.Add(1)), apiKey: soakKey, streaming: stream}
	request := c.newRequest(a, e.trafficAddress, soakPath(stream), body)
	if parts != "" {
		request.Header.Set("Prompt-Prefix", parts)
	}
	c.mu.Lock()
	c.senders[a.id] = e
	c.mu.Unlock()
	if c.hooks.onSend != nil {
		c.hooks.onSend(a.id, e)
	}
	defer func() { c.soakRun.record(a) }()
	response, err := client.Do(request)
	if err != nil {
		return a
	}
	if c.hooks.onReply != nil {
		c.hooks.onReply(e, response.Header)
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	a.status, a.body, a.complete = response.StatusCode, string(content), err == nil
	return a
}

// crashCase is what happens to the entries while requests crash targets.
type crashCase struct {
	name string
	// disturb runs once a number of targets have ended.
	disturb func(c *crashRun)
}

var crashCases = []crashCase{
	{"calm", func(*crashRun) {}},
	{"all entries killed", func(c *crashRun) {
		for _, e := range c.entries {
			e.signal(syscall.SIGKILL)
		}
	}},
	{"an entry paused, another one restarted", func(c *crashRun) {
		c.entries[0].signal(syscall.SIGSTOP)
		c.entries[1].signal(syscall.SIGKILL)
		time.Sleep(crashWindow)
		c.resume(c.entries[0])
	}},
	{"a change as connections go silent", (*crashRun).changeAsConnectionsGoSilent},
}

// changeAsConnectionsGoSilent silences the open connections between entries and to the
// store, and adds a route. Every entry must know the route crashWindow later.
func (c *crashRun) changeAsConnectionsGoSilent() {
	for _, e := range c.entries {
		e.entryRelay.silence(true, true)
		e.storeRelay.silence(true, true)
	}
	c.setAddedRoutes([]string{"added"})
	acknowledged := time.Now()
	var checks sync.WaitGroup
	for _, e := range c.entries {
		checks.Go(func() {
			for !c.knowsRoute(e, "/added/x") && time.Since(acknowledged) < 2*crashWindow {
				time.Sleep(20 * time.Millisecond)
			}
			took := time.Since(acknowledged)
			c.t.Logf("%s knows the route after %s", e.name, took)
			c.c.Check(took < crashWindow, qt.IsTrue, qt.Commentf("%s knows the route after %s", e.name, took))
		})
	}
	checks.Wait()
}

// knowsRoute sends a sound request on a new connection to an entry, and reports whether it is
// served, or refused because no target of its service is left.
func (c *crashRun) knowsRoute(e *soakEntry, path string) bool {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(c.newRequest(soakAttempt{id: fmt.Sprintf("c-%d", c.lastAttempt.Add(1)), apiKey: soakKey}, e.trafficAddress, path, "sound"))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && (response.StatusCode == http.StatusOK || string(body) == "no-target\n")
}

// runDeadly sends deadly requests to the entries in turn for a time, one for each pause,
// and sound ones beside them. From a number of crashes on, it disturbs the entries. It
// returns how many of the sound requests were served that were sent later than twice
// crashWindow after the last crash by then, and how many were sent.
func (c *crashRun) runDeadly(tt crashCase, disturbAfter int, total, pause time.Duration, deadly, sound func(client *http.Client, e *soakEntry, n int) soakAttempt) (served, sent int) {
	until := time.Now().Add(total)
	var callers, disturbing sync.WaitGroup
	disturbing.Go(func() {
		for c.crashCount() < disturbAfter && time.Now().Before(until) {
			time.Sleep(5 * time.Millisecond)
		}
		tt.disturb(c)
	})
	var servedCount, sentCount atomic.Int64
	run := func(send func(client *http.Client, e *soakEntry, n int) soakAttempt, count bool) {
		client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}
		defer client.CloseIdleConnections()
		var requests sync.WaitGroup
		for n := 0; time.Now().Before(until); n++ {
			counts := count && time.Since(c.lastCrash()) > 2*crashWindow
			requests.Go(func() {
				a := send(client, c.entries[n%len(c.entries)], n)
				if counts {
					sentCount.Add(1)
					if a.status == http.StatusOK && a.complete {
						servedCount.Add(1)
					}
				}
			})
			time.Sleep(pause)
		}
		requests.Wait()
	}
	callers.Go(func() { run(deadly, false) })
	callers.Go(func() { run(sound, true) })
	callers.Wait()
	disturbing.Wait()
	return int(servedCount.Load()), int(sentCount.Load())
}

// lastCrash returns when a target ended last.
func (c *crashRun) lastCrash() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) == 0 {
		return time.Now()
	}
	return c.crashes[len(c.crashes)-1]
}

// TestRequestThatCrashesTargets repeats one request, which crashes its targets, at all
// entries.
func TestRequestThatCrashesTargets(t *testing.T) {
	t.Parallel()
	const toleratedCrashes = 3
	for _, tt := range crashCases {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", tt.name, stream), func(t *testing.T) {
				t.Parallel()
				c := newCrashRun(t, func(_ *http.Request, body string) bool { return body == "deadly" }, crashHooks{})
				served, sent := c.runDeadly(tt, 2, 22*time.Second, 60*time.Millisecond,
					func(client *http.Client, e *soakEntry, _ int) soakAttempt {
						return c.send(client, e, stream, "deadly", "")
					},
					func(client *http.Client, e *soakEntry, n int) soakAttempt {
						return c.send(client, e, n%2 == 0, fmt.Sprint("sound ", n), "")
					})
				late, ended := c.lateArrivals(toleratedCrashes)
				t.Logf("%d targets ended, %d late arrivals, %d of %d sound requests served", ended, late, served, sent)
				c.c.Check(late <= maxLateArrivals, qt.IsTrue, qt.Commentf("%d late arrivals", late))
				c.c.Check(sent > 0 && served*10 >= sent*9, qt.IsTrue, qt.Commentf("%d of %d sound requests served", served, sent))
				c.checkLogs()
			})
		}
	}
}

// TestPromptPartThatCrashesTargets sends requests to all entries of which no two are
// alike, but one part of the prompt crashes their targets. Sound requests share the
// first part.
func TestPromptPartThatCrashesTargets(t *testing.T) {
	t.Parallel()
	const toleratedCrashes = 5
	for _, tt := range crashCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCrashRun(t, func(r *http.Request, _ string) bool { return strings.Contains(r.Header.Get("Prompt-Prefix"), "deadly") }, crashHooks{})
			served, sent := c.runDeadly(tt, 1, 22*time.Second, 60*time.Millisecond,
				func(client *http.Client, e *soakEntry, n int) soakAttempt {
					return c.send(client, e, true, fmt.Sprint("tainted ", n), fmt.Sprintf("head:40,deadly:20,own-%d:600", n))
				},
				func(client *http.Client, e *soakEntry, n int) soakAttempt {
					return c.send(client, e, true, fmt.Sprint("sound ", n), fmt.Sprintf("head:40,part-%d:20,own-%d:600", n, n))
				})
			late, ended := c.lateArrivals(toleratedCrashes)
			t.Logf("%d targets ended, %d late arrivals, %d of %d sound requests served", ended, late, served, sent)
			c.c.Check(late <= maxLateArrivals, qt.IsTrue, qt.Commentf("%d late arrivals", late))
			c.c.Check(sent > 0 && served*10 >= sent*9, qt.IsTrue, qt.Commentf("%d of %d sound requests served", served, sent))
			c.checkLogs()
		})
	}
}
