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

// pressure sends requests from many callers until stopped, and counts.
type pressure struct {
	stop    atomic.Bool
	served  atomic.Int64
	refused atomic.Int64
	unknown atomic.Int64
	broken  atomic.Int64
	wg      sync.WaitGroup
}

const pressureMost = 20_000

// press starts callers that send to entries that use names.
func press(f *fleet, callers int, method, path string, entries func() []string) *pressure {
	p := &pressure{}
	for n := range callers {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			for k := 0; k < pressureMost && !p.stop.Load(); k++ {
				use := entries()
				p.count(f.send(use[(n+k)%len(use)], method, path, fmt.Sprintf(`{"token":"%d-%d","max_tokens":40}`, n, k), nil))
			}
		}()
	}
	return p
}

func (p *pressure) count(r reply, err error) {
	switch {
	case err != nil:
		p.broken.Add(1)
	case r.status == 200:
		p.served.Add(1)
	case r.effect == "not-run":
		p.refused.Add(1)
		time.Sleep(5 * time.Millisecond)
	default:
		p.unknown.Add(1)
	}
}

func (p *pressure) end() {
	p.stop.Store(true)
	p.wg.Wait()
}

func (p *pressure) String() string {
	return fmt.Sprintf("served %d, refused %d, unknown %d, broken off %d", p.served.Load(), p.refused.Load(), p.unknown.Load(), p.broken.Load())
}

// oneBell starts one bell control behind one entry.
func oneBell(t *testing.T, f *fleet) {
	must(t, f.addTarget("bells-1", "bells", "east"), f.addEntry("entry-1", "east"), f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
	must(t, f.ready("entry-1", "bells"))
}

func both() []string { return []string{"entry-1", "entry-2"} }

// twoCentres starts bell controls and one entry in each data centre.
func twoCentres(t *testing.T, f *fleet, perCentre int, config string, extra ...string) {
	for n := range 2 * perCentre {
		must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", []string{"east", "west"}[n%2], extra...))
	}
	must(t, f.addEntry("entry-1", "east"), f.addEntry("entry-2", "west"), f.publish())
	push(t, f, map[string]string{"10.yaml": config})
	must(t, f.ready("entry-1", "bells"), f.ready("entry-2", "bells"))
}

var fragile = []string{"--token=30ms", "--cold=4", "--warm=24", "--warm-up=60", "--fragile"}

// fallen are the runs in which a target got more than it can bear.
func fallen(f *fleet, ids ...string) []string {
	var out []string
	for _, id := range ids {
		for _, r := range f.runs(id) {
			if r.Fell {
				out = append(out, fmt.Sprintf("%s: %d in work, %d borne", id, r.Running, r.Bearable))
			}
		}
	}
	return out
}

func limitOf(f *fleet, id string) int {
	for _, r := range statuses(f) {
		if r.Instance().ID == id && r.Err() == nil && r.Status().Report != nil {
			return r.Status().Report.Limit
		}
	}
	return 0
}

func statuses(f *fleet) []operator.StatusReply {
	fl, err := operator.NewFleet(api.NewClient("http://"+f.platform, 2*time.Second), 2*time.Second)
	if err != nil {
		return nil
	}
	defer fl.Close()
	return fl.QueryStatuses()
}

// restarts starts cold targets under three times their load and restarts the
// target alone, the agent alone, and all targets of a data centre.
func restarts(t *testing.T, f *fleet) *pressure {
	warm := func(id string) {
		must(t, waitFor(func() bool { return limitOf(f, id) == 24 }, id+" is warm"))
	}
	p := press(f, 48, "GET", "/bells/tower", both)
	warm("bells-1")
	f.proc("target-bells-1").kill()
	must(t, f.startTarget("bells-1", fragile...))
	warm("bells-2")
	f.proc("bells-2").kill()
	must(t, f.startAgent(f.instance("bells-2")))
	warm("bells-2")
	for _, id := range []string{"bells-1", "bells-3"} {
		f.proc("target-" + id).kill()
	}
	for _, id := range []string{"bells-1", "bells-3"} {
		must(t, f.startTarget(id, fragile...))
	}
	warm("bells-1")
	warm("bells-3")
	return p
}

func TestProveColdTarget(t *testing.T) {
	for _, seed := range seeds(1) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := testFleet(t)
			twoCentres(t, f, 2, withKey(coldConfig), fragile...)
			p := restarts(t, f)
			p.end()
			qt.New(t).Check(fallen(f, "bells-1", "bells-2", "bells-3", "bells-4"), qt.HasLen, 0)
			t.Logf("%s", p)
		})
	}
}

func TestTwinWithoutColdLimit(t *testing.T) {
	f := testFleet(t)
	f.agentTwin = "limit"
	twoCentres(t, f, 1, withKey(coldConfig), "--token=30ms", "--cold=4", "--warm=24", "--warm-up=60")
	p := press(f, 48, "GET", "/bells/tower", both)
	must(t, waitFor(func() bool { return len(fallen(f, "bells-1", "bells-2")) > 0 }, "the checker notices"))
	p.end()
}

const outConfig = `
data-centres: {west: {in-service: false}}
`

const serviceBound = 3 * time.Second

// after are the runs that began later than a bound after a moment.
func after(f *fleet, moment time.Time, ids ...string) []string {
	var out []string
	for _, id := range ids {
		for _, r := range f.runs(id) {
			if late := r.Time.Sub(moment); late > serviceBound {
				out = append(out, fmt.Sprintf("%s ran %s %s later", id, r.Path, late))
			}
		}
	}
	return out
}

func TestProveDataCentreOut(t *testing.T) {
	tests := []struct {
		name   string
		before func(t *testing.T, f *fleet)
		then   func(t *testing.T, f *fleet)
	}{
		{"plainly", nil, nil},
		{"platform down right after acceptance", nil, func(t *testing.T, f *fleet) {
			must(t, f.post("http://"+f.platform+"/faults", platformFaults{Down: true}))
		}},
		{"agent paused since before, woken after", func(_ *testing.T, f *fleet) {
			f.proc("bells-2").signal(syscall.SIGSTOP)
		}, func(_ *testing.T, f *fleet) {
			time.Sleep(serviceBound + 500*time.Millisecond)
			f.proc("bells-2").signal(syscall.SIGCONT)
		}},
		{"entry and watchers killed", nil, func(t *testing.T, f *fleet) {
			for _, id := range []string{"entry-2", "bells-2"} {
				f.proc(id).kill()
			}
			must(t, f.startAgent(f.instance("bells-2")), f.startEntry(f.instance("entry-2")))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := testFleet(t)
			twoCentres(t, f, 2, withKey(coldConfig))
			p := press(f, 8, "GET", "/bells/tower", both)
			must(t, waitFor(func() bool { return len(f.runs("bells-2")) > 20 && len(f.runs("bells-4")) > 20 }, "work in the west"))
			if tt.before != nil {
				tt.before(t, f)
			}
			accepted := takeOut(t, f)
			if tt.then != nil {
				tt.then(t, f)
			}
			time.Sleep(time.Until(accepted.Add(serviceBound + 2*time.Second)))
			p.end()
			qt.New(t).Check(after(f, accepted, "bells-2", "bells-4"), qt.HasLen, 0)
			t.Logf("%s", p)
		})
	}
}

// takeOut pushes the west out of service and returns when that was accepted.
func takeOut(t *testing.T, f *fleet) time.Time {
	write(t, f, "20.yaml", outConfig)
	out, err := f.operator("push", f.dir+"/folder")
	if err != nil {
		t.Fatalf("push: %v\n%s", err, out)
	}
	return time.Now()
}

func TestTwinWithoutBlocking(t *testing.T) {
	f := testFleet(t)
	f.agentTwin = "blocked"
	twoCentres(t, f, 1, withKey(coldConfig))
	// An entry that cannot hear goes on sending to the west.
	f.proc("entry-2").kill()
	accepted := takeOut(t, f)
	c := qt.New(t)
	time.Sleep(serviceBound)
	id := f.instance("bells-2")
	runs := func() int { return len(after(f, accepted, "bells-2")) }
	must(t, waitFor(func() bool { sendPast(f, id); return runs() > 0 }, "the checker notices"))
	c.Assert(runs() > 0, qt.IsTrue)
}

func TestProveLeaving(t *testing.T) {
	tests := []struct {
		name  string
		leave func(t *testing.T, f *fleet)
	}{
		{"by signal", func(_ *testing.T, f *fleet) { f.proc("bells-2").signal(syscall.SIGTERM) }},
		{"by the target itself", func(t *testing.T, f *fleet) {
			must(t, f.post("http://"+f.targets["bells-2"]+"/faults", targetFaults{Leaving: true}))
		}},
		{"by a late instance list", func(t *testing.T, f *fleet) {
			must(t, f.post("http://"+f.platform+"/faults", platformFaults{ListLagMs: 1000}))
			f.leave("bells-2")
			must(t, f.publish())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := testFleet(t)
			twoCentres(t, f, 1, withKey(coldConfig))
			p := press(f, 8, "GET", "/bells/tower", both)
			must(t, waitFor(func() bool { return len(f.runs("bells-2")) > 20 }, "work at the target"))
			tt.leave(t, f)
			left := time.Now()
			time.Sleep(serviceBound + time.Second)
			p.end()
			c := qt.New(t)
			c.Check(after(f, left, "bells-2"), qt.HasLen, 0)
			c.Check(p.broken.Load(), qt.Equals, int64(0))
			c.Check(p.unknown.Load(), qt.Equals, int64(0))
			t.Logf("%s", p)
		})
	}
}

// sendPast sends straight to an agent, as an entry with old knowledge would.
func sendPast(f *fleet, i target.Instance) {
	for _, r := range statuses(f) {
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

// Answers that say that the target failed prove nothing of what it bears.
func TestFailingTargetStaysCold(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	oneBell(t, f)
	must(t, f.post("http://"+f.targets["bells-1"]+"/faults", targetFaults{Failing: true}))
	for range 100 {
		got, err := f.send("entry-1", "GET", "/bells/tower", "", nil)
		c.Assert(err, qt.IsNil)
		c.Check(got.status, qt.Equals, 500)
	}
	c.Check(limitOf(f, "bells-1"), qt.Equals, 4)
	must(t, f.post("http://"+f.targets["bells-1"]+"/faults", targetFaults{}))
	for range 100 {
		_, _ = f.send("entry-1", "GET", "/bells/tower", "", nil)
	}
	c.Check(limitOf(f, "bells-1"), qt.Equals, 24)
}
