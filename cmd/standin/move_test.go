//go:build bench

package main

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// A data centre leaves and returns while callers go on, planned and by loss:
// the service that the users measure.

const (
	moveCallers  = 24
	moveBefore   = 4 * time.Second
	moveOut      = 6 * time.Second
	moveBack     = 6 * time.Second
	moveTimeout  = 5000
	firstTokenMs = 400
)

const moveConfig = `
services:
  advisor: {kind: engine, cold-limit: 4, warm-limit: 24, warm-up: 24, timeout: 20s}
  bells: {kind: plain, cold-limit: 4, warm-limit: 24, warm-up: 24, timeout: 5s, non-idempotent: [POST /ring]}
data-centres: {finistere: {}, morbihan: {}, cotes-d-armor: {}}
accounts: {parish: {services: [advisor, bells], keys: ["DIGEST"]}}
`

// moved is one request of the run.
type moved struct {
	at    time.Time
	took  time.Duration
	keyed bool
	got   reply
}

type moves struct {
	mu   sync.Mutex
	list []moved
}

func (m *moves) add(x moved) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, x)
}

// phase sums up the requests that began between two moments.
func (m *moves) phase(t *testing.T, name string, from, to time.Time, planned bool) {
	var took []float64
	lost, refused, unknown, keyedUnknown := 0, 0, 0, 0
	for _, x := range m.list {
		if x.at.Before(from) || !x.at.Before(to) {
			continue
		}
		switch {
		case x.got.broken != nil:
			lost++
		case x.got.effect == "not-run":
			refused++
		case x.got.effect == "unknown" && x.keyed:
			keyedUnknown++
		case x.got.effect == "unknown":
			unknown++
		default:
			took = append(took, float64(x.took.Microseconds())/1000)
		}
	}
	slices.Sort(took)
	p95 := 0.0
	if len(took) > 0 {
		p95 = took[int(0.95*float64(len(took)-1))]
	}
	bound := func(s string, ok bool) (string, string) { return s, met(ok) }
	b, v := bound("<= 400", p95 <= firstTokenMs)
	row(t, name+": answer p95", p95, "ms", b, v)
	row(t, name+": answered", float64(len(took)), "requests", "-", "-")
	b, v = bound("= 0", lost+unknown == 0)
	row(t, name+": lost, or idempotent and unknown", float64(lost+unknown), "requests", b, v)
	b, v = "-", "-"
	if planned {
		b, v = bound("= 0", refused+keyedUnknown == 0)
	}
	row(t, name+": refused, or orders unknown", float64(refused+keyedUnknown), "requests", b, v)
}

func TestMeasureMove(t *testing.T) {
	for _, planned := range []bool{true, false} {
		name := map[bool]string{true: "planned move", false: "loss of a data centre"}[planned]
		f := testFleet(t)
		centres := []string{"finistere", "morbihan", "cotes-d-armor"}
		for n, centre := range centres {
			must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", centre, "--token=20ms"))
			must(t, f.addTarget(fmt.Sprintf("bells-%d", n+4), "bells", centre, "--token=20ms"))
		}
		must(t, f.addEntry("entry-1", "finistere"), f.addEntry("entry-2", "cotes-d-armor"), f.publish())
		push(t, f, map[string]string{"10.yaml": withKey(moveConfig)})
		must(t, f.ready("entry-1", "bells"), f.ready("entry-2", "bells"))
		m := &moves{}
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for n := range moveCallers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				m.call(f, n, stop)
			}()
		}
		began := time.Now()
		time.Sleep(moveBefore)
		out := time.Now()
		leave(t, f, planned)
		time.Sleep(time.Until(out.Add(moveOut)))
		back := time.Now()
		comeBack(t, f, planned)
		time.Sleep(time.Until(back.Add(moveBack)))
		end := time.Now()
		close(stop)
		wg.Wait()
		m.phase(t, name+", before", began, out, planned)
		m.phase(t, name+", while out", out, back, planned)
		m.phase(t, name+", after", back, end, planned)
		if planned {
			late := len(after(f, out.Add(time.Second), "bells-2", "bells-5"))
			for _, id := range []string{"bells-2", "bells-5"} {
				for _, r := range f.runs(id) {
					if !r.Time.Before(back) {
						late--
					}
				}
			}
			row(t, name+", new work there after 3 s", float64(max(late, 0)), "requests", "= 0", met(late <= 0))
		}
		f.close()
	}
}

// call sends requests, one in four an order, until it is stopped.
func (m *moves) call(f *fleet, n int, stop chan struct{}) {
	for k := 0; k < pressureMost; k++ {
		select {
		case <-stop:
			return
		default:
		}
		method, path, headers := "GET", "/bells/tower", map[string]string{"Request-Timeout-Ms": fmt.Sprint(moveTimeout)}
		keyed := k%4 == 0
		if keyed {
			method, path = "POST", "/bells/ring"
			headers["Idempotency-Key"] = fmt.Sprintf("%d-%d", n, k)
		}
		at := time.Now()
		got, _ := f.send(both()[n%2], method, path, fmt.Sprintf(`{"token":"%d-%d"}`, n, k), headers)
		m.add(moved{at: at, took: time.Since(at), keyed: keyed, got: got})
	}
}

func leave(t *testing.T, f *fleet, planned bool) {
	if planned {
		write(t, f, "20.yaml", "data-centres: {morbihan: {in-service: false}}\n")
		_, err := f.operator("push", f.dir+"/folder")
		must(t, err)
		return
	}
	for _, id := range []string{"bells-2", "bells-5"} {
		f.proc(id).kill()
		f.proc("target-" + id).kill()
	}
}

func comeBack(t *testing.T, f *fleet, planned bool) {
	if planned {
		write(t, f, "20.yaml", "data-centres: {morbihan: {in-service: true}}\n")
		_, err := f.operator("push", f.dir+"/folder")
		must(t, err)
		return
	}
	for _, id := range []string{"bells-2", "bells-5"} {
		must(t, f.startTarget(id, "--token=20ms"), f.startAgent(f.instance(id)))
	}
}
