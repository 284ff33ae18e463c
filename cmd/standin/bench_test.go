//go:build bench

package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// The measurements in this file take their time from the clock: they print
// rows and have no verdict in CI.

const (
	benchSettle  = 2 * time.Second
	benchWindow  = 8 * time.Second
	ticksPerSec  = 100.0
	benchSamples = 3000
	mallocs      = "go_memstats_mallocs_total"
)

func init() { raceFlag = "-race=false" }

func row(t *testing.T, name string, value float64, unit, bound, verdict string) {
	t.Logf("row | %s | %.4g | %s | %s | %s |", name, value, unit, bound, verdict)
}

func met(ok bool) string {
	if ok {
		return "met"
	}
	return "MISSED"
}

// cpuSeconds is the processor time of a process so far.
func cpuSeconds(p *proc) float64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	fields := strings.Fields(string(content[strings.LastIndex(string(content), ")")+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSec
}

// residentMB is the memory of a process.
func residentMB(p *proc) float64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	pages, _ := strconv.ParseFloat(strings.Fields(string(content))[1], 64)
	return pages * float64(os.Getpagesize()) / 1e6
}

// metric reads one value of a process's metrics.
func metric(f *fleet, id, name string) float64 {
	_, body, err := fasthttp.Get(nil, "http://"+f.operators[id]+"/metrics")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(body), "\n") {
		if value, found := strings.CutPrefix(line, name+" "); found {
			v, _ := strconv.ParseFloat(value, 64)
			return v
		}
	}
	return 0
}

// quietRate is what a process uses a second while nobody calls.
type quietRate struct {
	cpu, bytes, memory float64
}

func (f *fleet) quiet(ids ...string) []quietRate {
	time.Sleep(benchSettle)
	measure := func(id string) quietRate {
		return quietRate{cpu: cpuSeconds(f.proc(id)), bytes: metric(f, id, "bluebellcrank_peer_bytes_total")}
	}
	before := make([]quietRate, len(ids))
	for n, id := range ids {
		before[n] = measure(id)
	}
	time.Sleep(benchWindow)
	out := make([]quietRate, len(ids))
	for n, id := range ids {
		now := measure(id)
		out[n] = quietRate{
			cpu:    (now.cpu - before[n].cpu) / benchWindow.Seconds(),
			bytes:  (now.bytes - before[n].bytes) / benchWindow.Seconds(),
			memory: residentMB(f.proc(id)),
		}
	}
	return out
}

// fit is the least-squares line through points, and how well it fits.
func fit(x, y []float64) (slope, base, r2 float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy, syy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy, syy = sxx+x[i]*x[i], sxy+x[i]*y[i], syy+y[i]*y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base = (sy - slope*sx) / n
	r2 = 1
	if v := n*syy - sy*sy; v > 0 {
		r := (n*sxy - sx*sy)
		r2 = r * r / ((n*sxx - sx*sx) * v)
	}
	return slope, base, r2
}

// TestMeasureQuiet gives the slopes of control over the size of the subset.
func TestMeasureQuiet(t *testing.T) {
	var size, cpu, bytes, memory, agentCPU, agentBytes []float64
	for _, targets := range []int{4, 12, 24, 48} {
		f := testFleet(t)
		for n := range targets {
			must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", []string{"east", "west"}[n%2]))
		}
		must(t, f.addEntry("entry-1", "east"), f.publish())
		push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
		must(t, f.ready("entry-1", "bells"))
		q := f.quiet("entry-1", "bells-1")
		size = append(size, float64(targets))
		cpu, bytes, memory = append(cpu, q[0].cpu*100), append(bytes, q[0].bytes), append(memory, q[0].memory)
		agentCPU, agentBytes = append(agentCPU, q[1].cpu*100), append(agentBytes, q[1].bytes)
		name := fmt.Sprintf("control, %d targets: ", targets)
		row(t, name+"entry", q[0].cpu*100, "% of a core", "-", "-")
		row(t, name+"entry", q[0].bytes/1000, "KB/s", "-", "-")
		row(t, name+"entry", q[0].memory, "MB", "-", "-")
		row(t, name+"agent", q[1].cpu*100, "% of a core", "-", "-")
		row(t, name+"agent", q[1].bytes/1000, "KB/s", "-", "-")
		row(t, name+"agent", q[1].memory, "MB", "-", "-")
		f.close()
	}
	for _, s := range []struct {
		name string
		unit string
		y    []float64
	}{
		{"entry", "% of a core a target", cpu}, {"entry", "B/s a target", bytes}, {"entry", "MB a target", memory},
		{"agent", "% of a core a process", agentCPU}, {"agent", "B/s a process", agentBytes},
	} {
		slope, base, r2 := fit(size, s.y)
		row(t, "slope of control: "+s.name, slope, s.unit, "-", "-")
		row(t, fmt.Sprintf("slope of control: %s at none (r2 %.2f)", s.name, r2), base, strings.SplitN(s.unit, " a ", 2)[0], "-", "-")
	}
}

// TestMeasureOverhead compares a request through entry and agent with the
// same one sent straight to the target, in turn.
func TestMeasureOverhead(t *testing.T) {
	f := testFleet(t)
	must(t, f.addTarget("bells-1", "bells", "east", "--token=0s"), f.addEntry("entry-1", "east"), f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
	must(t, f.ready("entry-1", "bells"))
	var direct, through []float64
	beforeEntry, beforeAgent := cpuSeconds(f.proc("entry-1")), cpuSeconds(f.proc("bells-1"))
	beforeMallocs := metric(f, "entry-1", mallocs)
	for range benchSamples {
		direct = append(direct, timed(f, f.targets["bells-1"], "/tower"))
		through = append(through, timed(f, f.instance("entry-1").Traffic, "/bells/tower"))
	}
	entry, agent := cpuSeconds(f.proc("entry-1"))-beforeEntry, cpuSeconds(f.proc("bells-1"))-beforeAgent
	slices.Sort(direct)
	slices.Sort(through)
	for _, q := range []float64{0.5, 0.99} {
		n := int(q * benchSamples)
		row(t, fmt.Sprintf("added to a request, p%.0f", q*100), (through[n]-direct[n])*1000, "ms", "-", "-")
		row(t, fmt.Sprintf("through over direct, p%.0f", q*100), through[n]/direct[n], "ratio", "-", "-")
	}
	row(t, "entry, allocations of a request", (metric(f, "entry-1", mallocs)-beforeMallocs)/benchSamples, "allocations", "-", "-")
	row(t, "entry, processor time of a request", entry/benchSamples*1e6, "us", "-", "-")
	row(t, "agent, processor time of a request", agent/benchSamples*1e6, "us", "-", "-")
}

func timed(f *fleet, address, path string) float64 {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("X-Api-Key", demoKey)
	began := time.Now()
	_ = f.client.Do(req, resp)
	return time.Since(began).Seconds()
}

// TestMeasureStreams gives the memory of an open stream.
func TestMeasureStreams(t *testing.T) {
	f := testFleet(t)
	must(t, f.addTarget("advisor-1", "advisor", "east", "--engine", "--token=100ms"), f.addEntry("entry-1", "east"), f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(`
services: {advisor: {kind: engine, cold-limit: 4000, warm-limit: 4000, timeout: 60s}}
data-centres: {east: {}}
accounts: {parish: {services: [advisor], keys: ["DIGEST"]}}
`)})
	must(t, f.ready("entry-1", "advisor"))
	var count, entry, agent []float64
	var wg sync.WaitGroup
	opened := 0
	for _, streams := range []int{0, 200, 400, 800} {
		for ; opened < streams; opened++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, _ = f.send("entry-1", "POST", "/advisor/v1/completions", fmt.Sprintf(`{"token":"s%d","max_tokens":150}`, opened), nil)
			}()
		}
		time.Sleep(benchSettle)
		count = append(count, float64(streams))
		entry, agent = append(entry, residentMB(f.proc("entry-1"))), append(agent, residentMB(f.proc("advisor-1")))
	}
	wg.Wait()
	for _, s := range []struct {
		name string
		y    []float64
	}{{"entry", entry}, {"agent", agent}} {
		slope, _, r2 := fit(count, s.y)
		row(t, fmt.Sprintf("memory of an open stream, %s (r2 %.2f)", s.name, r2), slope*1000, "KB", "-", "-")
	}
}

// TestMeasurePlatform counts the platform's calls of fleets of three sizes.
func TestMeasurePlatform(t *testing.T) {
	var size, calls []float64
	for _, entries := range []int{4, 16, 32} {
		f := testFleet(t)
		for n := range entries {
			must(t, f.addEntry(fmt.Sprintf("entry-%d", n+1), []string{"east", "west"}[n%2]))
		}
		must(t, f.publish())
		push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
		time.Sleep(benchSettle)
		before := f.calls()
		time.Sleep(benchWindow)
		rate := (f.calls() - before) / benchWindow.Seconds()
		size, calls = append(size, float64(entries)), append(calls, rate)
		row(t, fmt.Sprintf("platform calls, %d processes in 2 data centres", entries), rate, "calls/s", "-", "-")
		f.close()
	}
	slope, base, r2 := fit(size, calls)
	row(t, "slope of platform calls", slope, "calls/s a process", "-", "-")
	row(t, fmt.Sprintf("slope of platform calls at none (r2 %.2f)", r2), base, "calls/s", "-", "-")
}

func (f *fleet) calls() float64 {
	_, body, err := fasthttp.Get(nil, "http://"+f.platform+"/calls")
	if err != nil {
		return 0
	}
	var reads, writes float64
	_, _ = fmt.Sscanf(string(body), `{"reads":%f,"writes":%f}`, &reads, &writes)
	return reads + writes
}

// TestMeasureClaims gives the orders a second that claims carry, one object
// each, on this machine, and the platform's writes for each.
func TestMeasureClaims(t *testing.T) {
	f := testFleet(t)
	for n := range 3 {
		must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", "east", "--token=0s"))
	}
	must(t, f.addEntry("entry-1", "east"), f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(strings.Replace(testConfig, "cold-limit: 4, warm-limit: 32, warm-up: 16, timeout: 5s", "cold-limit: 64, warm-limit: 64, timeout: 5s", 1))})
	must(t, f.ready("entry-1", "bells"))
	const callers, orders = 32, 100
	before := f.calls()
	began := time.Now()
	var wg sync.WaitGroup
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := range orders {
				id := fmt.Sprintf("%d-%d", n, k)
				_, _ = f.send("entry-1", "POST", "/bells/ring", fmt.Sprintf(`{"token":%q}`, id), map[string]string{"Idempotency-Key": id})
			}
		}()
	}
	wg.Wait()
	took := time.Since(began).Seconds()
	row(t, "orders with a claim each", callers*orders/took, "orders/s", "-", "-")
	row(t, "platform calls for an order", (f.calls()-before)/(callers*orders), "calls", "-", "-")
	runtime.KeepAlive(f)
}
