package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/protocol/attempt"
	api "bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/operator"
)

const coldConfig = `
services:
  bells: {kind: plain, cold-limit: 4, warm-limit: 24, warm-up: 60, queue-limit: 8, timeout: 2s, key-required: false}
data-centres: {east: {}, west: {}}
accounts:
  parish: {services: [bells], keys: ["DIGEST"]}
`

// requestLoad is a load of requests from many callers, with counts of the replies.
type requestLoad struct {
	stop    atomic.Bool
	served  atomic.Int64
	refused atomic.Int64
	unknown atomic.Int64
	failed  atomic.Int64
	wg      sync.WaitGroup
}

const maxRequestsPerCaller = 20_000

// startLoad starts callers that send requests in turn to the entries that the
// function entries returns, until the load is stopped.
func startLoad(f *fleet, callers int, method, path string, entries func() []string) *requestLoad {
	l := &requestLoad{}
	for n := range callers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for k := 0; k < maxRequestsPerCaller && !l.stop.Load(); k++ {
				names := entries()
				l.record(f.send(names[(n+k)%len(names)], method, path, fmt.Sprintf(`{"token":"%d-%d","max_tokens":40}`, n, k), nil))
			}
		}()
	}
	return l
}

func (l *requestLoad) record(r reply, err error) {
	switch {
	case err != nil:
		l.failed.Add(1)
	case r.status == 200:
		l.served.Add(1)
	case r.effect == "not-run":
		l.refused.Add(1)
		time.Sleep(5 * time.Millisecond)
	default:
		l.unknown.Add(1)
	}
}

func (l *requestLoad) stopAndWait() {
	l.stop.Store(true)
	l.wg.Wait()
}

func (l *requestLoad) String() string {
	return fmt.Sprintf("served %d, refused %d, unknown %d, failed %d", l.served.Load(), l.refused.Load(), l.unknown.Load(), l.failed.Load())
}

// startOneTarget starts one target of the service bells and one entry.
func startOneTarget(t *testing.T, f *fleet) {
	must(t, f.addTarget("bells-1", "bells", "east"), f.addEntry("entry-1", "east"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
	must(t, f.waitReady("entry-1", "bells"))
}

func bothEntries() []string { return []string{"entry-1", "entry-2"} }

// startTwoCentres starts targets of the service bells and one entry in each of two
// data centres.
func startTwoCentres(t *testing.T, f *fleet, perCentre int, config string, extra ...string) {
	for n := range 2 * perCentre {
		must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", []string{"east", "west"}[n%2], extra...))
	}
	must(t, f.addEntry("entry-1", "east"), f.addEntry("entry-2", "west"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": config})
	must(t, f.waitReady("entry-1", "bells"), f.waitReady("entry-2", "bells"))
}

var fragileFlags = []string{"--token=30ms", "--cold=4", "--warm=24", "--warm-up=60", "--fragile"}

// overloadedRuns describes the runs that exceeded the capacity of their target.
func overloadedRuns(f *fleet, ids ...string) []string {
	var out []string
	for _, id := range ids {
		for _, r := range f.readRunLog(id) {
			if r.Overloaded {
				out = append(out, fmt.Sprintf("%s: %d requests running, capacity %d", id, r.Running, r.Capacity))
			}
		}
	}
	return out
}

// reportedLimit returns the concurrency limit that an agent reports, or 0.
func reportedLimit(f *fleet, id string) int {
	for _, r := range queryStatuses(f) {
		if r.Instance().ID == id && r.Err() == nil && r.Status().Report != nil {
			return r.Status().Report.Limit
		}
	}
	return 0
}

// queryStatuses queries all instances with the operator's client, or returns nil if
// the client cannot be created.
func queryStatuses(f *fleet) []operator.StatusReply {
	operatorFleet, err := operator.NewFleet(api.NewClient("http://"+f.platformAddress, 2*time.Second), 2*time.Second)
	if err != nil {
		return nil
	}
	defer operatorFleet.Close()
	return operatorFleet.QueryStatuses()
}

// restartColdTargets loads four cold targets with three times the requests that they
// can process concurrently, then restarts one target, one agent, and all targets of
// a data centre. It returns the load, which still runs.
func restartColdTargets(t *testing.T, f *fleet) *requestLoad {
	waitWarm := func(id string) {
		must(t, waitFor(func() bool { return reportedLimit(f, id) == 24 }, id+" is warm"))
	}
	load := startLoad(f, 48, "GET", "/bells/tower", bothEntries)
	waitWarm("bells-1")
	f.proc("target-bells-1").kill()
	must(t, f.startTarget("bells-1", fragileFlags...))
	waitWarm("bells-2")
	f.proc("bells-2").kill()
	must(t, f.startAgent(f.instance("bells-2")))
	waitWarm("bells-2")
	for _, id := range []string{"bells-1", "bells-3"} {
		f.proc("target-" + id).kill()
	}
	for _, id := range []string{"bells-1", "bells-3"} {
		must(t, f.startTarget(id, fragileFlags...))
	}
	waitWarm("bells-1")
	waitWarm("bells-3")
	return load
}

// TestProveColdTarget checks that cold targets are not overloaded, also after
// restarts.
func TestProveColdTarget(t *testing.T) {
	for _, seed := range seeds(1) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := testFleet(t)
			startTwoCentres(t, f, 2, withKey(coldConfig), fragileFlags...)
			load := restartColdTargets(t, f)
			load.stopAndWait()
			qt.New(t).Check(overloadedRuns(f, "bells-1", "bells-2", "bells-3", "bells-4"), qt.HasLen, 0)
			t.Logf("%s", load)
		})
	}
}

// TestTwinWithoutColdLimit shows that the checker detects an agent that gives a
// cold target the load of a warm one.
func TestTwinWithoutColdLimit(t *testing.T) {
	f := testFleet(t)
	f.disabledAgentGuard = "limit"
	startTwoCentres(t, f, 1, withKey(coldConfig), "--token=30ms", "--cold=4", "--warm=24", "--warm-up=60")
	load := startLoad(f, 48, "GET", "/bells/tower", bothEntries)
	must(t, waitFor(func() bool { return len(overloadedRuns(f, "bells-1", "bells-2")) > 0 }, "the checker finds a violation"))
	load.stopAndWait()
}

const westOutConfig = `
data-centres: {west: {in-service: false}}
`

const outOfServiceLimit = 3 * time.Second

// runsAfter describes the runs that began more than outOfServiceLimit after a time.
func runsAfter(f *fleet, moment time.Time, ids ...string) []string {
	var out []string
	for _, id := range ids {
		for _, r := range f.readRunLog(id) {
			if delay := r.Time.Sub(moment); delay > outOfServiceLimit {
				out = append(out, fmt.Sprintf("%s ran %s %s after the change", id, r.Path, delay))
			}
		}
	}
	return out
}

// TestProveDataCentreOut checks that no request begins to run in a data centre
// later than outOfServiceLimit after the data centre was taken out of service.
func TestProveDataCentreOut(t *testing.T) {
	tests := []struct {
		name   string
		before func(t *testing.T, f *fleet)
		after  func(t *testing.T, f *fleet)
	}{
		{"no fault", nil, nil},
		{"platform down right after acceptance", nil, func(t *testing.T, f *fleet) {
			must(t, f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{Down: true}))
		}},
		{"agent paused before the change, resumed after the limit", func(_ *testing.T, f *fleet) {
			f.proc("bells-2").signal(syscall.SIGSTOP)
		}, func(_ *testing.T, f *fleet) {
			time.Sleep(outOfServiceLimit + 500*time.Millisecond)
			f.proc("bells-2").signal(syscall.SIGCONT)
		}},
		{"entry and agent killed", nil, func(t *testing.T, f *fleet) {
			for _, id := range []string{"entry-2", "bells-2"} {
				f.proc(id).kill()
			}
			must(t, f.startAgent(f.instance("bells-2")), f.startEntry(f.instance("entry-2")))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := testFleet(t)
			startTwoCentres(t, f, 2, withKey(coldConfig))
			load := startLoad(f, 8, "GET", "/bells/tower", bothEntries)
			must(t, waitFor(func() bool { return len(f.readRunLog("bells-2")) > 20 && len(f.readRunLog("bells-4")) > 20 }, "requests run in the west"))
			if tt.before != nil {
				tt.before(t, f)
			}
			accepted := takeWestOut(t, f)
			if tt.after != nil {
				tt.after(t, f)
			}
			time.Sleep(time.Until(accepted.Add(outOfServiceLimit + 2*time.Second)))
			load.stopAndWait()
			qt.New(t).Check(runsAfter(f, accepted, "bells-2", "bells-4"), qt.HasLen, 0)
			t.Logf("%s", load)
		})
	}
}

// takeWestOut takes the data centre west out of service by a push and returns the
// time at which the push was accepted.
func takeWestOut(t *testing.T, f *fleet) time.Time {
	writeConfigFile(t, f, "20.yaml", westOutConfig)
	out, err := f.runOperatorCommand("push", f.dir+"/folder")
	if err != nil {
		t.Fatalf("push: %v\n%s", err, out)
	}
	return time.Now()
}

// TestTwinWithoutBlocking shows that the checker detects an agent that accepts
// requests in a data centre out of service.
func TestTwinWithoutBlocking(t *testing.T) {
	f := testFleet(t)
	f.disabledAgentGuard = "blocked"
	startTwoCentres(t, f, 1, withKey(coldConfig))
	// entry-2 is killed; sendToAgent acts as an entry that has not received the
	// change and still sends to the west.
	f.proc("entry-2").kill()
	accepted := takeWestOut(t, f)
	c := qt.New(t)
	time.Sleep(outOfServiceLimit)
	agent := f.instance("bells-2")
	runs := func() int { return len(runsAfter(f, accepted, "bells-2")) }
	must(t, waitFor(func() bool { sendToAgent(f, agent); return runs() > 0 }, "the checker finds a violation"))
	c.Assert(runs() > 0, qt.IsTrue)
}

// TestProveLeaving checks that no request begins to run at a target later than
// outOfServiceLimit after the target begins to leave, and that no request fails.
func TestProveLeaving(t *testing.T) {
	tests := []struct {
		name  string
		leave func(t *testing.T, f *fleet)
	}{
		{"by signal", func(_ *testing.T, f *fleet) { f.proc("bells-2").signal(syscall.SIGTERM) }},
		{"by the target itself", func(t *testing.T, f *fleet) {
			must(t, f.postJSON("http://"+f.targetAddresses["bells-2"]+"/faults", targetFaults{Leaving: true}))
		}},
		{"by a delayed instance list", func(t *testing.T, f *fleet) {
			must(t, f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{ListLagMs: 1000}))
			f.markLeaving("bells-2")
			must(t, f.publishInstances())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := testFleet(t)
			startTwoCentres(t, f, 1, withKey(coldConfig))
			load := startLoad(f, 8, "GET", "/bells/tower", bothEntries)
			must(t, waitFor(func() bool { return len(f.readRunLog("bells-2")) > 20 }, "requests run at the target"))
			tt.leave(t, f)
			left := time.Now()
			time.Sleep(outOfServiceLimit + time.Second)
			load.stopAndWait()
			c := qt.New(t)
			c.Check(runsAfter(f, left, "bells-2"), qt.HasLen, 0)
			c.Check(load.failed.Load(), qt.Equals, int64(0))
			c.Check(load.unknown.Load(), qt.Equals, int64(0))
			t.Logf("%s", load)
		})
	}
}

// sendToAgent sends a request directly to an agent, as an entry with outdated
// state would.
func sendToAgent(f *fleet, i target.Instance) {
	for _, r := range queryStatuses(f) {
		if r.Instance().ID != i.ID || r.Err() != nil {
			continue
		}
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI("http://" + i.Traffic + "/tower")
		id := fmt.Sprintf("past-%d", time.Now().UnixNano())
		attempt.NewEnvelope(id, r.Status().Report.Incarnation, i.Service, "parish", time.Second).Write(&req.Header)
		_ = f.client.Do(req, resp)
	}
}

// TestFailingTargetStaysCold checks that only successful answers raise the
// concurrency limit of a cold target.
func TestFailingTargetStaysCold(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	startOneTarget(t, f)
	must(t, f.postJSON("http://"+f.targetAddresses["bells-1"]+"/faults", targetFaults{Failing: true}))
	for range 100 {
		got, err := f.send("entry-1", "GET", "/bells/tower", "", nil)
		c.Assert(err, qt.IsNil)
		c.Check(got.status, qt.Equals, 500)
	}
	c.Check(reportedLimit(f, "bells-1"), qt.Equals, 4)
	must(t, f.postJSON("http://"+f.targetAddresses["bells-1"]+"/faults", targetFaults{}))
	for range 100 {
		_, _ = f.send("entry-1", "GET", "/bells/tower", "", nil)
	}
	c.Check(reportedLimit(f, "bells-1"), qt.Equals, 24)
}
