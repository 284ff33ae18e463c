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
	rankAgents = 4
	// rankFaults is how long the agents are disturbed.
	rankFaults = 12 * time.Second
	// silentStream is the pause at which callers give up on a stream.
	silentStream = 2 * time.Second
)

// rankWorld is the processes of a group's agents beside stand-in engines.
type rankWorld struct {
	c      *qt.C
	dir    string
	group  *standin.EngineGroup
	agents []*exec.Cmd
}

func newRankWorld(t *testing.T) *rankWorld {
	const layers, experts = 2, 16
	w := &rankWorld{c: qt.New(t), dir: t.TempDir(), group: standin.NewEngineGroup("g", rankAgents, layers, experts, 30*time.Millisecond)}
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
	for n := range rankAgents {
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
		w.c.Assert(os.WriteFile(w.settings(n), content, 0o644), qt.IsNil)
		w.agents = append(w.agents, nil)
		w.start(n)
		t.Cleanup(func() { w.end(n, syscall.SIGKILL) })
	}
	return w
}

func (w *rankWorld) settings(n int) string {
	return filepath.Join(w.dir, fmt.Sprintf("agent-%d.json", n))
}

func (w *rankWorld) start(n int) {
	log, err := os.OpenFile(filepath.Join(w.dir, fmt.Sprintf("agent-%d.log", n)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	w.c.Assert(err, qt.IsNil)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(binaries, "bluebellcrank"), "rank", "--operator-port=0")
	cmd.Env = append(os.Environ(), adapter.SettingsVariable+"="+w.settings(n))
	cmd.Stdout, cmd.Stderr = log, log
	w.c.Assert(cmd.Start(), qt.IsNil)
	w.agents[n] = cmd
}

// end sends a signal that ends an agent, and waits for it.
func (w *rankWorld) end(n int, sig syscall.Signal) {
	// The process may have ended by itself, which its log would show.
	_ = w.agents[n].Process.Signal(sig)
	_ = w.agents[n].Wait()
}

// run makes passes, with another favourite every 0.7 s, until the end.
func (w *rankWorld) run(t *testing.T) {
	stop := make(chan struct{})
	var passes sync.WaitGroup
	passes.Go(func() {
		const pass, favours = 10 * time.Millisecond, 70
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(pass):
			}
			if n%favours == 0 {
				w.group.SetHotExpert(n / favours * 5)
			}
			w.group.StartStep(time.Now())
		}
	})
	t.Cleanup(func() {
		close(stop)
		passes.Wait()
	})
}

func (w *rankWorld) changes(more int, within time.Duration) bool {
	from := w.group.MapChanges()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.group.MapChanges() >= from+more {
			return true
		}
	}
	return false
}

// fault disturbs one agent, or the engines' orders, for a while.
func (w *rankWorld) fault(r *rand.Rand) string {
	n := r.IntN(rankAgents)
	switch r.IntN(4) {
	case 0:
		_ = w.agents[n].Process.Signal(syscall.SIGSTOP)
		time.Sleep(span(r, 300*time.Millisecond, 2500*time.Millisecond))
		_ = w.agents[n].Process.Signal(syscall.SIGCONT)
		return fmt.Sprintf("agent %d stands still", n)
	case 1:
		w.end(n, syscall.SIGKILL)
		time.Sleep(span(r, 100*time.Millisecond, time.Second))
		w.start(n)
		return fmt.Sprintf("agent %d is killed", n)
	case 2:
		w.end(n, syscall.SIGTERM)
		w.start(n)
		return fmt.Sprintf("agent %d is restarted", n)
	default:
		var mu sync.Mutex
		late := rand.New(rand.NewPCG(r.Uint64(), 1))
		w.group.SetOrderDelay(func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if late.IntN(10) > 0 {
				return 0
			}
			return span(late, 50*time.Millisecond, 800*time.Millisecond)
		})
		time.Sleep(span(r, 500*time.Millisecond, 2*time.Second))
		w.group.SetOrderDelay(nil)
		return "orders are carried out late"
	}
}

// TestSoakRanks disturbs the agents of a group one after the other: all ranks
// use one map in each pass, no pass waits until callers give up, and the map goes
// on following the favourites. SEEDS=n plays n, SEED=n just that one.
func TestSoakRanks(t *testing.T) {
	for _, seed := range seeds(1) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newRankWorld(t)
			w.run(t)
			w.c.Assert(w.changes(2, 10*time.Second), qt.IsTrue, qt.Commentf("the map never followed the favourites"))
			random := rand.New(rand.NewPCG(seed, 1))
			var faults []string
			for end := time.Now().Add(rankFaults); time.Now().Before(end); {
				faults = append(faults, w.fault(random))
				time.Sleep(span(random, 100*time.Millisecond, 800*time.Millisecond))
			}
			calm := w.changes(2, 10*time.Second)
			t.Logf("seed %d: %d changes, longest standstill %s: %s", seed, w.group.MapChanges(), w.group.LongestStepGap(), strings.Join(faults, ", "))
			w.c.Check(w.group.MapMismatches(), qt.HasLen, 0)
			w.c.Check(w.group.LongestStepGap() < silentStream, qt.IsTrue, qt.Commentf("%s", w.group.LongestStepGap()))
			w.c.Check(calm, qt.IsTrue, qt.Commentf("the map no longer follows the favourites"))
		})
	}
}
