package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/target"
)

const (
	twoSecondsOfTokens      = 100 // tokens at 20 ms each
	sixSecondsOfTokens      = 300
	tokenTimeFlag           = "--token=20ms"
	maxCompletionsPerCaller = 100
)

// completionLoad is a load of streamed completions that goes on while processes are
// restarted.
type completionLoad struct {
	mu       sync.Mutex
	failures []string
	complete int
	wg       sync.WaitGroup
	stop     atomic.Bool
}

func (l *completionLoad) stopAndWait() {
	l.stop.Store(true)
	l.wg.Wait()
}

// startCompletions starts callers that send streamed completions to the entry that
// entryInUse returns, until the load is stopped.
func startCompletions(f *fleet, callers, tokens int, entryInUse func() string) *completionLoad {
	l := &completionLoad{}
	for n := range callers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for k := 0; k < maxCompletionsPerCaller && !l.stop.Load(); k++ {
				label := fmt.Sprintf("draft-%d-%d", n, k)
				entry := entryInUse()
				got, _ := f.send(entry, "POST", "/advisor/v1/completions", fmt.Sprintf(`{"token":%q,"max_tokens":%d}`, label, tokens), nil)
				l.record(label, entry, wantStream(label, tokens), got)
			}
		}()
	}
	return l
}

func (l *completionLoad) record(label, entry, want string, got reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case got.err != nil || got.status != 200 || got.body != want:
		l.failures = append(l.failures, fmt.Sprintf("%s through %s: status %d %s, %d bytes, error %v", label, entry, got.status, got.reason, len(got.body), got.err))
	default:
		l.complete++
	}
}

// activeEntry is the entry to which the platform's load balancer sends callers.
type activeEntry struct {
	mu    sync.Mutex
	entry string
}

func (a *activeEntry) get() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entry
}

func (a *activeEntry) set(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entry = entry
}

// restartInTurn restarts agents and entries one after another, and sends callers
// to the other entry before it stops one.
func restartInTurn(t *testing.T, f *fleet, active *activeEntry, ids ...string) {
	other := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}
	for _, id := range ids {
		i := f.instance(id)
		if i.Role == target.Entry {
			active.set(other[id])
		}
		if !f.proc(id).stop() {
			t.Errorf("%s did not stop in time", id)
		}
		if i.Role == target.Entry {
			must(t, f.startEntry(i), f.waitReady(id, "advisor"))
			continue
		}
		must(t, f.startAgent(i), waitFor(func() bool { return reportedLimit(f, id) > 0 }, id+" accepts requests again"))
	}
}

// rollingFleet starts three engines and two entries; the named guards are disabled.
func rollingFleet(t *testing.T, agentGuard, entryGuard string) *fleet {
	f := testFleet(t)
	f.disabledAgentGuard, f.disabledEntryGuard = agentGuard, entryGuard
	for n, centre := range []string{"east", "west", "east"} {
		must(t, f.addTarget(fmt.Sprintf("advisor-%d", n+1), "advisor", centre, "--engine", tokenTimeFlag))
	}
	must(t, f.addEntry("entry-1", "east"), f.addEntry("entry-2", "west"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, f.waitReady("entry-1", "advisor"), f.waitReady("entry-2", "advisor"))
	return f
}

// busiestAgent returns the agent with the most running units of work, or "".
func busiestAgent(f *fleet) string {
	id, most := "", 0
	for _, r := range queryStatuses(f) {
		if rep := r.Status().Report; r.Err() == nil && rep != nil && rep.Running > most {
			id, most = r.Instance().ID, rep.Running
		}
	}
	return id
}

// TestProvePlannedStop checks that streams of about two seconds arrive complete
// while all agents and entries are restarted.
func TestProvePlannedStop(t *testing.T) {
	f := rollingFleet(t, "", "")
	active := &activeEntry{entry: "entry-1"}
	load := startCompletions(f, 4, twoSecondsOfTokens, active.get)
	restartInTurn(t, f, active, "advisor-1", "advisor-2", "advisor-3", "entry-1", "entry-2")
	load.stopAndWait()
	qt.New(t).Check(load.failures, qt.HasLen, 0)
	t.Logf("%d streams of about two seconds arrived complete during a rolling restart", load.complete)
}

// TestTwinThatDoesNotWait shows that the checker detects agents and entries that
// stop without waiting for requests in flight.
func TestTwinThatDoesNotWait(t *testing.T) {
	for _, tt := range []struct{ agent, entry string }{{"idle", ""}, {"", "drains"}} {
		t.Run(tt.agent+tt.entry, func(t *testing.T) {
			f := rollingFleet(t, tt.agent, tt.entry)
			active := &activeEntry{entry: "entry-1"}
			load := startCompletions(f, 4, sixSecondsOfTokens, active.get)
			stopped := "entry-1"
			must(t, waitFor(func() bool { return busiestAgent(f) != "" }, "a request runs at a target"))
			if tt.agent != "" {
				stopped = busiestAgent(f)
			}
			restartInTurn(t, f, active, stopped)
			load.stopAndWait()
			qt.New(t).Check(len(load.failures) > 0, qt.IsTrue, qt.Commentf("the checker noticed nothing"))
		})
	}
}

// TestProveAnswers checks that a truncated answer or one of another request is
// never delivered as complete, and that a long stream resumes after connections
// were cut or silenced.
func TestProveAnswers(t *testing.T) {
	f := testFleet(t)
	f.useRelays = true
	must(t, f.addTarget("advisor-1", "advisor", "east", "--engine", "--token=1ms"))
	must(t, f.addTarget("bells-1", "bells", "east"))
	must(t, f.addEntry("entry-1", "east"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, f.waitReady("entry-1", "advisor", "bells"))
	c := qt.New(t)

	t.Run("cut at every byte", func(t *testing.T) {
		c := qt.New(t)
		whole := plainAnswer("x")
		for at := 1; at < len(whole); at++ {
			must(t, f.postJSON("http://"+f.targetAddresses["bells-1"]+"/faults", targetFaults{CutAt: at}))
			got, err := f.send("entry-1", "POST", "/bells/ring", `{"token":"x"}`, map[string]string{"Idempotency-Key": fmt.Sprintf("cut-%d", at)})
			c.Assert(err, qt.IsNil)
			c.Assert(got.effect, qt.Equals, "unknown", qt.Commentf("cut at %d: status %d, body %q", at, got.status, got.body))
		}
		must(t, f.postJSON("http://"+f.targetAddresses["bells-1"]+"/faults", targetFaults{}))
	})
	t.Run("crossed", func(t *testing.T) {
		c := qt.New(t)
		for _, path := range []string{"/bells/tower", "/advisor/v1/completions"} {
			id := map[string]string{"/bells/tower": "bells-1", "/advisor/v1/completions": "advisor-1"}[path]
			must(t, f.postJSON("http://"+f.targetAddresses[id]+"/faults", targetFaults{Crossed: 1}))
			got, _ := f.send("entry-1", "GET", path, `{"token":"mine"}`, nil)
			c.Check(got.status == 200 && got.body != plainAnswer("mine") && got.body != wantStream("mine", 8), qt.IsFalse, qt.Commentf("got %q", got.body))
			must(t, f.postJSON("http://"+f.targetAddresses[id]+"/faults", targetFaults{}))
		}
	})
	t.Run("stream cut by the engine", func(t *testing.T) {
		c := qt.New(t)
		must(t, f.postJSON("http://"+f.targetAddresses["advisor-1"]+"/faults", targetFaults{CutAt: 200}))
		got, _ := f.send("entry-1", "POST", "/advisor/v1/completions", `{"token":"cut","max_tokens":40}`, nil)
		c.Check(got.err, qt.IsNotNil)
		must(t, f.postJSON("http://"+f.targetAddresses["advisor-1"]+"/faults", targetFaults{}))
	})
	for _, action := range []string{"cut", "silence"} {
		t.Run("a megabyte, connections to the agent: "+action, func(t *testing.T) {
			const tokens = 36_000 // about a megabyte
			done := make(chan struct{})
			go func() {
				defer close(done)
				for range 4 {
					time.Sleep(300 * time.Millisecond)
					_ = f.postJSON("http://"+f.relayControls["relay-traffic-advisor-1"]+"/"+action, nil)
				}
			}()
			must(t, f.postJSON("http://"+f.targetAddresses["advisor-1"]+"/faults", targetFaults{Burst: 20}))
			got, err := f.send("entry-1", "POST", "/advisor/v1/completions", fmt.Sprintf(`{"token":"long","max_tokens":%d}`, tokens), nil)
			<-done
			c.Assert(err, qt.IsNil)
			c.Assert(got.body == wantStream("long", tokens), qt.IsTrue, qt.Commentf("%d bytes", len(got.body)))
		})
	}
}

// TestTwinThatDeliversCrossed shows that the checker detects an agent that delivers
// the answer of another request.
func TestTwinThatDeliversCrossed(t *testing.T) {
	f := testFleet(t)
	f.disabledAgentGuard = "own-answer"
	must(t, f.addTarget("bells-1", "bells", "east"), f.addEntry("entry-1", "east"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, f.waitReady("entry-1", "bells"))
	must(t, f.postJSON("http://"+f.targetAddresses["bells-1"]+"/faults", targetFaults{Crossed: 1}))
	got, err := f.send("entry-1", "GET", "/bells/tower", `{"token":"mine"}`, nil)
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	c.Assert(got.status == 200 && got.body != plainAnswer("mine"), qt.IsTrue, qt.Commentf("the checker noticed nothing: %+v", got))
}

// garbledAnswers requests plain answers over a relay that changes them, and returns
// the changed answers that were delivered with status 200.
func garbledAnswers(t *testing.T, entryGuard string) []string {
	f := testFleet(t)
	f.useRelays, f.disabledEntryGuard = true, entryGuard
	must(t, f.addTarget("bells-1", "bells", "east"), f.addEntry("entry-1", "east"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, f.waitReady("entry-1", "bells"))
	must(t, f.postJSON("http://"+f.relayControls["relay-traffic-bells-1"]+"/garble", nil))
	var out []string
	for n := range 5 {
		got, err := f.send("entry-1", "GET", "/bells/tower", fmt.Sprintf(`{"token":"%d"}`, n), nil)
		if err == nil && got.status == 200 && got.body != plainAnswer(fmt.Sprint(n)) {
			out = append(out, got.body)
		}
	}
	return out
}

// TestProveGarbledAnswers checks that answers changed in transit are not delivered
// as successes.
func TestProveGarbledAnswers(t *testing.T) {
	qt.New(t).Check(garbledAnswers(t, ""), qt.HasLen, 0)
}

// TestTwinThatDeliversGarbled shows that the checker detects an entry that does not
// check answers for changes.
func TestTwinThatDeliversGarbled(t *testing.T) {
	qt.New(t).Check(len(garbledAnswers(t, "whole")) > 0, qt.IsTrue, qt.Commentf("the checker noticed nothing"))
}

// TestProveCrashingRequest repeatedly sends a request that crashes each target that
// runs it: at most two targets may crash, and other requests must be served.
func TestProveCrashingRequest(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	for n := range 4 {
		must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", []string{"east", "west"}[n%2]))
	}
	must(t, f.addEntry("entry-1", "east"), f.addEntry("entry-2", "west"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
	must(t, f.waitReady("entry-1", "bells"), f.waitReady("entry-2", "bells"))
	for _, address := range f.targetAddresses {
		must(t, f.postJSON("http://"+address+"/faults", targetFaults{CrashOn: "poison"}))
	}
	load := startLoad(f, 4, "GET", "/bells/tower", bothEntries)
	for n := range 50 {
		got, _ := f.send(bothEntries()[n%2], "GET", "/bells/tower", `{"token":"poison"}`, nil)
		c.Check(got.status == 200, qt.IsFalse)
	}
	load.stopAndWait()
	crashed := 0
	for n := range 4 {
		select {
		case <-f.proc(fmt.Sprintf("target-bells-%d", n+1)).exited:
			crashed++
		default:
		}
	}
	c.Check(crashed <= 2, qt.IsTrue, qt.Commentf("%d targets crashed", crashed))
	c.Check(crashed >= 1, qt.IsTrue, qt.Commentf("the request crashed no target"))
	c.Check(load.served.Load() > 0, qt.IsTrue)
	t.Logf("%d targets crashed; other requests: %s", crashed, load)
}
