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
	twoSeconds  = 100 // tokens
	sixSeconds  = 300
	streamToken = "--token=20ms"
	mostDrafts  = 100
)

// streams are drafts that go on while processes are restarted.
type streams struct {
	mu     sync.Mutex
	broken []string
	whole  int
	wg     sync.WaitGroup
	stop   atomic.Bool
}

func (s *streams) end() {
	s.stop.Store(true)
	s.wg.Wait()
}

// open starts callers whose drafts go through the entry that use names, until
// they are stopped.
func open(f *fleet, callers, tokens int, use func() string) *streams {
	s := &streams{}
	for n := range callers {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			for k := 0; k < mostDrafts && !s.stop.Load(); k++ {
				token := fmt.Sprintf("draft-%d-%d", n, k)
				entry := use()
				got, _ := f.send(entry, "POST", "/advisor/v1/completions", fmt.Sprintf(`{"token":%q,"max_tokens":%d}`, token, tokens), nil)
				s.take(token, entry, wholeStream(token, tokens), got)
			}
		}()
	}
	return s
}

func (s *streams) take(token, entry, want string, got reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case got.broken != nil || got.status != 200 || got.body != want:
		s.broken = append(s.broken, fmt.Sprintf("%s through %s: status %d %s, %d bytes, %v", token, entry, got.status, got.reason, len(got.body), got.broken))
	default:
		s.whole++
	}
}

// inUse is the entry that the platform's balancer sends callers to.
type inUse struct {
	mu    sync.Mutex
	entry string
}

func (u *inUse) get() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.entry
}

func (u *inUse) set(entry string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.entry = entry
}

// roll restarts agents and entries, one after another, under load.
func roll(t *testing.T, f *fleet, use *inUse, ids ...string) {
	other := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}
	for _, id := range ids {
		i := f.instance(id)
		if i.Role == target.Entry {
			use.set(other[id])
		}
		if !f.proc(id).stop() {
			t.Errorf("%s did not stop", id)
		}
		if i.Role == target.Entry {
			must(t, f.startEntry(i), f.ready(id, "advisor"))
			continue
		}
		must(t, f.startAgent(i), waitFor(func() bool { return limitOf(f, id) > 0 }, id+" is back"))
	}
}

func rollingFleet(t *testing.T, agentTwin, entryTwin string) *fleet {
	f := testFleet(t)
	f.agentTwin, f.entryTwin = agentTwin, entryTwin
	for n, centre := range []string{"east", "west", "east"} {
		must(t, f.addTarget(fmt.Sprintf("advisor-%d", n+1), "advisor", centre, "--engine", streamToken))
	}
	must(t, f.addEntry("entry-1", "east"), f.addEntry("entry-2", "west"), f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, f.ready("entry-1", "advisor"), f.ready("entry-2", "advisor"))
	return f
}

// busiest is the agent with most in work, or "".
func busiest(f *fleet) string {
	id, most := "", 0
	for _, r := range statuses(f) {
		if rep := r.Status().Report; r.Err() == nil && rep != nil && rep.Running > most {
			id, most = r.Instance().ID, rep.Running
		}
	}
	return id
}

func TestProvePlannedStop(t *testing.T) {
	f := rollingFleet(t, "", "")
	use := &inUse{entry: "entry-1"}
	s := open(f, 4, twoSeconds, use.get)
	roll(t, f, use, "advisor-1", "advisor-2", "advisor-3", "entry-1", "entry-2")
	s.end()
	qt.New(t).Check(s.broken, qt.HasLen, 0)
	t.Logf("%d drafts of about two seconds came whole through a rolling restart", s.whole)
}

func TestTwinThatDoesNotWait(t *testing.T) {
	for _, tt := range []struct{ agent, entry string }{{"idle", ""}, {"", "drains"}} {
		t.Run(tt.agent+tt.entry, func(t *testing.T) {
			f := rollingFleet(t, tt.agent, tt.entry)
			use := &inUse{entry: "entry-1"}
			s := open(f, 4, sixSeconds, use.get)
			stopped := "entry-1"
			must(t, waitFor(func() bool { return busiest(f) != "" }, "work at a target"))
			if tt.agent != "" {
				stopped = busiest(f)
			}
			roll(t, f, use, stopped)
			s.end()
			qt.New(t).Check(len(s.broken) > 0, qt.IsTrue, qt.Commentf("the checker noticed nothing"))
		})
	}
}

func TestProveAnswers(t *testing.T) {
	f := testFleet(t)
	f.viaRelay = true
	must(t, f.addTarget("advisor-1", "advisor", "east", "--engine", "--token=1ms"))
	must(t, f.addTarget("bells-1", "bells", "east"))
	must(t, f.addEntry("entry-1", "east"), f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, f.ready("entry-1", "advisor", "bells"))
	c := qt.New(t)

	t.Run("cut at every byte", func(t *testing.T) {
		c := qt.New(t)
		whole := plainAnswer("x")
		for at := 1; at < len(whole); at++ {
			must(t, f.post("http://"+f.targets["bells-1"]+"/faults", targetFaults{CutAt: at}))
			got, err := f.send("entry-1", "POST", "/bells/ring", `{"token":"x"}`, map[string]string{"Idempotency-Key": fmt.Sprintf("cut-%d", at)})
			c.Assert(err, qt.IsNil)
			c.Assert(got.effect, qt.Equals, "unknown", qt.Commentf("cut at %d: status %d, body %q", at, got.status, got.body))
		}
		must(t, f.post("http://"+f.targets["bells-1"]+"/faults", targetFaults{}))
	})
	t.Run("crossed", func(t *testing.T) {
		c := qt.New(t)
		for _, path := range []string{"/bells/tower", "/advisor/v1/completions"} {
			id := map[string]string{"/bells/tower": "bells-1", "/advisor/v1/completions": "advisor-1"}[path]
			must(t, f.post("http://"+f.targets[id]+"/faults", targetFaults{Crossed: 1}))
			got, _ := f.send("entry-1", "GET", path, `{"token":"mine"}`, nil)
			c.Check(got.status == 200 && got.body != plainAnswer("mine") && got.body != wholeStream("mine", 8), qt.IsFalse, qt.Commentf("got %q", got.body))
			must(t, f.post("http://"+f.targets[id]+"/faults", targetFaults{}))
		}
	})
	t.Run("stream cut by the engine", func(t *testing.T) {
		c := qt.New(t)
		must(t, f.post("http://"+f.targets["advisor-1"]+"/faults", targetFaults{CutAt: 200}))
		got, _ := f.send("entry-1", "POST", "/advisor/v1/completions", `{"token":"cut","max_tokens":40}`, nil)
		c.Check(got.broken, qt.IsNotNil)
		must(t, f.post("http://"+f.targets["advisor-1"]+"/faults", targetFaults{}))
	})
	for _, what := range []string{"cut", "silence"} {
		t.Run("a megabyte, the way to the agent "+what, func(t *testing.T) {
			const tokens = 36_000 // about a megabyte
			done := make(chan struct{})
			go func() {
				defer close(done)
				for range 4 {
					time.Sleep(300 * time.Millisecond)
					_ = f.post("http://"+f.controls["relay-traffic-advisor-1"]+"/"+what, nil)
				}
			}()
			must(t, f.post("http://"+f.targets["advisor-1"]+"/faults", targetFaults{Burst: 20}))
			got, err := f.send("entry-1", "POST", "/advisor/v1/completions", fmt.Sprintf(`{"token":"long","max_tokens":%d}`, tokens), nil)
			<-done
			c.Assert(err, qt.IsNil)
			c.Assert(got.body == wholeStream("long", tokens), qt.IsTrue, qt.Commentf("%d bytes", len(got.body)))
		})
	}
}

func TestTwinThatDeliversCrossed(t *testing.T) {
	f := testFleet(t)
	f.agentTwin = "own-answer"
	must(t, f.addTarget("bells-1", "bells", "east"), f.addEntry("entry-1", "east"), f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, f.ready("entry-1", "bells"))
	must(t, f.post("http://"+f.targets["bells-1"]+"/faults", targetFaults{Crossed: 1}))
	got, err := f.send("entry-1", "GET", "/bells/tower", `{"token":"mine"}`, nil)
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	c.Assert(got.status == 200 && got.body != plainAnswer("mine"), qt.IsTrue, qt.Commentf("the checker noticed nothing: %+v", got))
}

// garbled asks for plain answers over a path that changes them, and returns
// those that came as if they were whole.
func garbled(t *testing.T, entryTwin string) []string {
	f := testFleet(t)
	f.viaRelay, f.entryTwin = true, entryTwin
	must(t, f.addTarget("bells-1", "bells", "east"), f.addEntry("entry-1", "east"), f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, f.ready("entry-1", "bells"))
	must(t, f.post("http://"+f.controls["relay-traffic-bells-1"]+"/garble", nil))
	var out []string
	for n := range 5 {
		got, err := f.send("entry-1", "GET", "/bells/tower", fmt.Sprintf(`{"token":"%d"}`, n), nil)
		if err == nil && got.status == 200 && got.body != plainAnswer(fmt.Sprint(n)) {
			out = append(out, got.body)
		}
	}
	return out
}

func TestProveGarbledAnswers(t *testing.T) {
	qt.New(t).Check(garbled(t, ""), qt.HasLen, 0)
}

func TestTwinThatDeliversGarbled(t *testing.T) {
	qt.New(t).Check(len(garbled(t, "whole")) > 0, qt.IsTrue, qt.Commentf("the checker noticed nothing"))
}

// A request that crashes each target that runs it, sent again and again.
func TestProveCrashingRequest(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	for n := range 4 {
		must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", []string{"east", "west"}[n%2]))
	}
	must(t, f.addEntry("entry-1", "east"), f.addEntry("entry-2", "west"), f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
	must(t, f.ready("entry-1", "bells"), f.ready("entry-2", "bells"))
	for _, address := range f.targets {
		must(t, f.post("http://"+address+"/faults", targetFaults{CrashOn: "poison"}))
	}
	p := press(f, 4, "GET", "/bells/tower", both)
	for n := range 50 {
		got, _ := f.send(both()[n%2], "GET", "/bells/tower", `{"token":"poison"}`, nil)
		c.Check(got.status == 200, qt.IsFalse)
	}
	p.end()
	died := 0
	for n := range 4 {
		select {
		case <-f.proc(fmt.Sprintf("target-bells-%d", n+1)).done:
			died++
		default:
		}
	}
	c.Check(died <= 2, qt.IsTrue, qt.Commentf("%d targets died", died))
	c.Check(died >= 1, qt.IsTrue, qt.Commentf("the request crashed nothing"))
	c.Check(p.served.Load() > 0, qt.IsTrue)
	t.Logf("%d targets died; others: %s", died, p)
}
