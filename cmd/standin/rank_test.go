package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	adapter "bluebellcrank/platform"
	"bluebellcrank/platform/standin"
)

const (
	rankAgentCount = 4
	// rankFaultPeriod is how long faults are injected.
	rankFaultPeriod = 12 * time.Second
	// maxStreamGap is the gap between events after which callers abandon a stream.
	maxStreamGap = 2 * time.Second
)

// rankEnvironment is a rank group of simulated engines, with one agent process for
// each rank.
type rankEnvironment struct {
	c      *qt.C
	dir    string
	group  *standin.EngineGroup
	agents []*exec.Cmd
}

func newRankEnvironment(t *testing.T) *rankEnvironment {
	const layers, experts = 2, 16
	w := &rankEnvironment{c: qt.New(t), dir: t.TempDir(), group: standin.NewEngineGroup("g", rankAgentCount, layers, experts, 30*time.Millisecond)}
	store := standin.NewStore()
	store.Put("config", "main", map[string]any{
		"version": 1,
		"services": []map[string]any{{"name": "drafts", "engineProfile": map[string]any{
			"slots": 12, "linkMbps": 92000, "layerGroups": layers, "experts": experts, "placements": 6, "isSpare": 2,
			"expertSizeMb": 300, "expertFraction": 0.85,
		}}},
	})
	address := httptest.NewServer(store)
	t.Cleanup(address.Close)
	enginePort, internal := freePort(), freePort()
	for n := range rankAgentCount {
		ip := fmt.Sprintf("127.0.0.%d", 20+n)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, enginePort))
		w.c.Assert(err, qt.IsNil)
		engine := httptest.NewUnstartedServer(w.group.Handler(n))
		w.c.Assert(engine.Listener.Close(), qt.IsNil)
		engine.Listener = l
		engine.Start()
		t.Cleanup(engine.Close)
		store.Put("servers", fmt.Sprintf("r-%d", n), map[string]any{
			"service": "drafts", "address": l.Addr().String(), "zone": "east", "slots": 12, "state": "serving",
			"group": map[string]any{"name": "g", "epoch": 1, "rank": n, "state": "open"},
		})
		content, err := json.Marshal(map[string]any{
			"nodeName": fmt.Sprintf("agent-%d", n), "ip": ip, "zone": "east", "app": l.Addr().String(), "service": "drafts",
			"internalPortRange": []json.Number{json.Number(internal), json.Number(internal)},
			"platform":          map[string]string{"address": strings.TrimPrefix(address.URL, "http://")},
		})
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(os.WriteFile(w.settingsPath(n), content, 0o644), qt.IsNil)
		w.agents = append(w.agents, nil)
		w.startAgent(n)
		t.Cleanup(func() { w.endAgent(n, syscall.SIGKILL) })
	}
	return w
}

func (w *rankEnvironment) settingsPath(n int) string {
	return filepath.Join(w.dir, fmt.Sprintf("agent-%d.json", n))
}

func (w *rankEnvironment) startAgent(n int) {
	log, err := os.OpenFile(filepath.Join(w.dir, fmt.Sprintf("agent-%d.log", n)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	w.c.Assert(err, qt.IsNil)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(binaries, "bluebellcrank"), "rank", "--operator-port=0")
	cmd.Env = append(os.Environ(), adapter.SettingsVariable+"="+w.settingsPath(n))
	cmd.Stdout, cmd.Stderr = log, log
	w.c.Assert(cmd.Start(), qt.IsNil)
	w.agents[n] = cmd
}

// endAgent sends a signal that ends an agent, and waits for its process.
func (w *rankEnvironment) endAgent(n int, sig syscall.Signal) {
	// Signal fails if the process has ended by itself; its log shows why.
	_ = w.agents[n].Process.Signal(sig)
	_ = w.agents[n].Wait()
}

// startPasses has the group make a pass every 10 ms until the test ends, and makes
// another expert popular every 0.7 s.
func (w *rankEnvironment) startPasses(t *testing.T) {
	stop := make(chan struct{})
	var passes sync.WaitGroup
	passes.Go(func() {
		const passInterval, passesPerExpert = 10 * time.Millisecond, 70
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(passInterval):
			}
			if n%passesPerExpert == 0 {
				w.group.SetHotExpert(n / passesPerExpert * 5)
			}
			w.group.StartStep(time.Now())
		}
	})
	t.Cleanup(func() {
		close(stop)
		passes.Wait()
	})
}

// waitForChanges reports whether the expert map changed a number of times within a
// period.
func (w *rankEnvironment) waitForChanges(count int, within time.Duration) bool {
	before := w.group.MapChanges()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.group.MapChanges() >= before+count {
			return true
		}
	}
	return false
}

// injectFault injects one random fault into an agent, or delays the engines'
// orders, and returns its description once it is over.
func (w *rankEnvironment) injectFault(r *rand.Rand) string {
	n := r.IntN(rankAgentCount)
	switch r.IntN(4) {
	case 0:
		_ = w.agents[n].Process.Signal(syscall.SIGSTOP)
		time.Sleep(randomDuration(r, 300*time.Millisecond, 2500*time.Millisecond))
		_ = w.agents[n].Process.Signal(syscall.SIGCONT)
		return fmt.Sprintf("agent %d paused", n)
	case 1:
		w.endAgent(n, syscall.SIGKILL)
		time.Sleep(randomDuration(r, 100*time.Millisecond, time.Second))
		w.startAgent(n)
		return fmt.Sprintf("agent %d killed", n)
	case 2:
		w.endAgent(n, syscall.SIGTERM)
		w.startAgent(n)
		return fmt.Sprintf("agent %d restarted", n)
	default:
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(r.Uint64(), 1))
		w.group.SetOrderDelay(func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if random.IntN(10) > 0 {
				return 0
			}
			return randomDuration(random, 50*time.Millisecond, 800*time.Millisecond)
		})
		time.Sleep(randomDuration(r, 500*time.Millisecond, 2*time.Second))
		w.group.SetOrderDelay(nil)
		return "orders delayed"
	}
}

// TestSoakRanks injects faults into the agents of a group one after the other: all
// ranks must use the same map in each pass, no gap between passes may reach
// maxStreamGap, and after the faults the map must still change with the popular
// experts. SEEDS=n runs n seeds, SEED=n only that seed.
func TestSoakRanks(t *testing.T) {
	for _, seed := range seeds(1) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newRankEnvironment(t)
			w.startPasses(t)
			w.c.Assert(w.waitForChanges(2, 10*time.Second), qt.IsTrue, qt.Commentf("the map did not follow the popular experts before the faults"))
			random := rand.New(rand.NewPCG(seed, 1))
			var faults []string
			for end := time.Now().Add(rankFaultPeriod); time.Now().Before(end); {
				faults = append(faults, w.injectFault(random))
				time.Sleep(randomDuration(random, 100*time.Millisecond, 800*time.Millisecond))
			}
			followsAfterwards := w.waitForChanges(2, 10*time.Second)
			t.Logf("seed %d: %d map changes, longest time between passes %s, faults: %s", seed, w.group.MapChanges(), w.group.LongestStepGap(), strings.Join(faults, ", "))
			w.c.Check(w.group.MapMismatches(), qt.HasLen, 0)
			w.c.Check(w.group.LongestStepGap() < maxStreamGap, qt.IsTrue, qt.Commentf("longest time between passes: %s", w.group.LongestStepGap()))
			w.c.Check(followsAfterwards, qt.IsTrue, qt.Commentf("the map does not follow the popular experts after the faults"))
		})
	}
}
