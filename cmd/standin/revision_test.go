package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/target"
)

const (
	inForce     = 5 * time.Second
	spreadSize  = 16 // entries, besides two agents
	operators   = 3
	changesEach = 3
)

// sample is what one process held at a moment.
type sample struct {
	at       time.Time
	id       string
	pid      int
	revision int64
}

// recorder asks all processes again and again which revision they hold.
type recorder struct {
	mu      sync.Mutex
	samples []sample
	stop    chan struct{}
	done    chan struct{}
}

func record(f *fleet) *recorder {
	r := &recorder{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, s := range f.asked() {
				r.mu.Lock()
				r.samples = append(r.samples, s)
				r.mu.Unlock()
			}
		}
	}()
	return r
}

func (r *recorder) end() []sample {
	close(r.stop)
	<-r.done
	return r.samples
}

// wentBack are the processes whose revision once went down.
func wentBack(samples []sample) []string {
	type life struct {
		id  string
		pid int
	}
	last := map[life]int64{}
	var out []string
	for _, s := range samples {
		l := life{s.id, s.pid}
		if s.revision < last[l] {
			out = append(out, fmt.Sprintf("%s went from %d to %d", s.id, last[l], s.revision))
		}
		last[l] = max(last[l], s.revision)
	}
	return out
}

func spreadFleet(t *testing.T, entryTwin string) *fleet {
	f := testFleet(t)
	f.entryTwin = entryTwin
	must(t, f.addTarget("bells-1", "bells", "east"), f.addTarget("bells-2", "bells", "west"))
	for n := range spreadSize {
		must(t, f.addEntry(fmt.Sprintf("entry-%d", n+1), []string{"east", "west"}[n%2]))
	}
	must(t, f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
	return f
}

// copyFolder gives an operator a folder of their own, as pushed first.
func copyFolder(t *testing.T, f *fleet, name string) string {
	to := filepath.Join(f.dir, name)
	if _, err := os.Stat(to); err == nil {
		return to
	}
	must(t, os.CopyFS(to, os.DirFS(filepath.Join(f.dir, "folder"))))
	return to
}

// race lets operators push changes of their own files, side by side; it
// returns when the last was accepted.
func race(t *testing.T, f *fleet, round int) time.Time {
	var wg sync.WaitGroup
	for n := range operators {
		folder := copyFolder(t, f, fmt.Sprintf("operator-%d", n))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := range changesEach {
				content := fmt.Sprintf("accounts: {club-%d: {share: %d, services: [bells], keys: [\"sha256:%064d\"]}}\n", n, round*changesEach+k+1, n)
				_ = os.WriteFile(filepath.Join(folder, fmt.Sprintf("5%d.yaml", n)), []byte(content), 0o644)
				if out, err := f.operator("push", folder); err != nil {
					t.Errorf("operator %d, change %d: %v\n%s", n, k, err, out)
				}
			}
		}()
	}
	wg.Wait()
	return time.Now()
}

// behind are the processes that do not hold a revision.
func behind(f *fleet, revision int64) []string {
	var out []string
	for _, s := range f.asked() {
		if s.revision < revision {
			out = append(out, fmt.Sprintf("%s holds %d", s.id, s.revision))
		}
	}
	return out
}

func TestProveConfiguration(t *testing.T) {
	c := qt.New(t)
	f := spreadFleet(t, "")
	r := record(f)
	must(t, f.post("http://"+f.platform+"/faults", platformFaults{LoseAnswers: 2, LosePrefix: "config/head", StaleReads: 6}))
	f.proc("entry-3").kill()
	accepted := race(t, f, 0)
	revision := int64(1 + operators*changesEach)
	// The platform goes right after the last acceptance, and a process is
	// born while it is down.
	must(t, f.post("http://"+f.platform+"/faults", platformFaults{Down: true}))
	must(t, f.startEntry(f.instance("entry-3")))
	for len(behind(f, revision)) > 0 && time.Since(accepted) < inForce {
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(accepted)
	c.Check(behind(f, revision), qt.HasLen, 0, qt.Commentf("%s after acceptance", took))
	c.Check(wentBack(r.end()), qt.HasLen, 0)
	t.Logf("revision %d held by %d processes %s after acceptance", revision, len(f.instances), took.Round(time.Millisecond))
}

func TestTwinThatGoesBack(t *testing.T) {
	f := spreadFleet(t, "newer")
	r := record(f)
	for round := range 3 {
		must(t, f.post("http://"+f.platform+"/faults", platformFaults{StaleReads: 40}))
		race(t, f, round)
		time.Sleep(300 * time.Millisecond)
	}
	qt.New(t).Check(len(wentBack(r.end())) > 0, qt.IsTrue, qt.Commentf("the checker noticed nothing"))
}

// asked returns what each process that answers holds.
func (f *fleet) asked() []sample {
	var out []sample
	now := time.Now()
	for _, i := range f.instances {
		s, err := ask(f, i)
		if err == nil {
			out = append(out, sample{at: now, id: i.ID, pid: f.pid(i.ID), revision: s.Revision})
		} else if f.alive(i.ID) {
			out = append(out, sample{at: now, id: i.ID, pid: -1})
		}
	}
	return out
}

func (f *fleet) pid(id string) int { return f.proc(id).cmd.Process.Pid }

func (f *fleet) alive(id string) bool {
	select {
	case <-f.proc(id).done:
		return false
	default:
		return true
	}
}

// ask asks one process for its status.
func ask(f *fleet, i target.Instance) (peer.Status, error) {
	return peer.Call[peer.Empty, peer.Status](f.pool, i.Peer, peer.MethodStatus, peer.Empty{})
}
