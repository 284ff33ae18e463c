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

// The measurements in this file depend on wall-clock time. They print the rows of a
// table, and CI does not judge the values.

const (
	settleDelay         = 2 * time.Second
	measureWindow       = 8 * time.Second
	clockTicksPerSecond = 100.0
	sampleCount         = 3000
	mallocsMetric       = "go_memstats_mallocs_total"
)

func init() { raceFlag = "-race=false" }

// logRow logs one row of the table of measurements.
func logRow(t *testing.T, name string, value float64, unit, bound, verdict string) {
	t.Logf("row | %s | %.4g | %s | %s | %s |", name, value, unit, bound, verdict)
}

func verdictOf(ok bool) string {
	if ok {
		return "met"
	}
	return "MISSED"
}

// cpuSeconds returns the CPU time that a process has used so far.
func cpuSeconds(p *proc) float64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	fields := strings.Fields(string(content[strings.LastIndex(string(content), ")")+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond
}

// residentMB returns the resident memory of a process in megabytes.
func residentMB(p *proc) float64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	pages, _ := strconv.ParseFloat(strings.Fields(string(content))[1], 64)
	return pages * float64(os.Getpagesize()) / 1e6
}

// readMetric returns one value of a process's metrics, or 0 if it is missing.
func readMetric(f *fleet, id, name string) float64 {
	_, body, err := fasthttp.Get(nil, "http://"+f.operatorAddresses[id]+"/metrics")
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

// idleUsage is the resource usage of an instance that serves no requests: CPU
// seconds and bytes of peer messages, each per second, and resident memory in
// megabytes.
type idleUsage struct {
	cpu, bytes, memory float64
}

// measureIdle measures the idle usage of instances over measureWindow.
func (f *fleet) measureIdle(ids ...string) []idleUsage {
	time.Sleep(settleDelay)
	measure := func(id string) idleUsage {
		return idleUsage{cpu: cpuSeconds(f.proc(id)), bytes: readMetric(f, id, "bluebellcrank_peer_bytes_total")}
	}
	before := make([]idleUsage, len(ids))
	for n, id := range ids {
		before[n] = measure(id)
	}
	time.Sleep(measureWindow)
	out := make([]idleUsage, len(ids))
	for n, id := range ids {
		now := measure(id)
		out[n] = idleUsage{
			cpu:    (now.cpu - before[n].cpu) / measureWindow.Seconds(),
			bytes:  (now.bytes - before[n].bytes) / measureWindow.Seconds(),
			memory: residentMB(f.proc(id)),
		}
	}
	return out
}

// leastSquares fits a line to points; r2 is the coefficient of determination.
func leastSquares(x, y []float64) (slope, intercept, r2 float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy, syy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy, syy = sxx+x[i]*x[i], sxy+x[i]*y[i], syy+y[i]*y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	r2 = 1
	if v := n*syy - sy*sy; v > 0 {
		r := (n*sxy - sx*sy)
		r2 = r * r / ((n*sxx - sx*sx) * v)
	}
	return slope, intercept, r2
}

// TestMeasureQuiet measures how the cost of the control traffic of an idle fleet
// grows with the number of targets. An entry polls only its subset of them, by default
// 32 targets of a service.
func TestMeasureQuiet(t *testing.T) {
	var targetCounts, cpu, bytes, memory, agentCPU, agentBytes []float64
	for _, targets := range []int{4, 12, 24, 48} {
		f := testFleet(t)
		for n := range targets {
			must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", []string{"east", "west"}[n%2]))
		}
		must(t, f.addEntry("entry-1", "east"), f.publishInstances())
		push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
		must(t, f.waitReady("entry-1", "bells"))
		usage := f.measureIdle("entry-1", "bells-1")
		targetCounts = append(targetCounts, float64(targets))
		cpu, bytes, memory = append(cpu, usage[0].cpu*100), append(bytes, usage[0].bytes), append(memory, usage[0].memory)
		agentCPU, agentBytes = append(agentCPU, usage[1].cpu*100), append(agentBytes, usage[1].bytes)
		name := fmt.Sprintf("control, %d targets: ", targets)
		logRow(t, name+"entry", usage[0].cpu*100, "% of a core", "-", "-")
		logRow(t, name+"entry", usage[0].bytes/1000, "KB/s", "-", "-")
		logRow(t, name+"entry", usage[0].memory, "MB", "-", "-")
		logRow(t, name+"agent", usage[1].cpu*100, "% of a core", "-", "-")
		logRow(t, name+"agent", usage[1].bytes/1000, "KB/s", "-", "-")
		logRow(t, name+"agent", usage[1].memory, "MB", "-", "-")
		f.killAll()
	}
	for _, s := range []struct {
		name string
		unit string
		y    []float64
	}{
		{"entry", "% of a core a target", cpu}, {"entry", "B/s a target", bytes}, {"entry", "MB a target", memory},
		{"agent", "% of a core a process", agentCPU}, {"agent", "B/s a process", agentBytes},
	} {
		slope, intercept, r2 := leastSquares(targetCounts, s.y)
		logRow(t, "slope of control: "+s.name, slope, s.unit, "-", "-")
		logRow(t, fmt.Sprintf("slope of control: %s at none (r2 %.2f)", s.name, r2), intercept, strings.SplitN(s.unit, " a ", 2)[0], "-", "-")
	}
}

// TestMeasureOverhead compares requests through entry and agent with the same
// requests sent directly to the target, alternating between the two.
func TestMeasureOverhead(t *testing.T) {
	f := testFleet(t)
	must(t, f.addTarget("bells-1", "bells", "east", "--token=0s"), f.addEntry("entry-1", "east"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
	must(t, f.waitReady("entry-1", "bells"))
	var direct, through []float64
	beforeEntry, beforeAgent := cpuSeconds(f.proc("entry-1")), cpuSeconds(f.proc("bells-1"))
	beforeMallocs := readMetric(f, "entry-1", mallocsMetric)
	for range sampleCount {
		direct = append(direct, timeRequest(f, f.targetAddresses["bells-1"], "/tower"))
		through = append(through, timeRequest(f, f.instance("entry-1").Traffic, "/bells/tower"))
	}
	entry, agent := cpuSeconds(f.proc("entry-1"))-beforeEntry, cpuSeconds(f.proc("bells-1"))-beforeAgent
	slices.Sort(direct)
	slices.Sort(through)
	for _, q := range []float64{0.5, 0.99} {
		n := int(q * sampleCount)
		logRow(t, fmt.Sprintf("added to a request, p%.0f", q*100), (through[n]-direct[n])*1000, "ms", "-", "-")
		logRow(t, fmt.Sprintf("through over direct, p%.0f", q*100), through[n]/direct[n], "ratio", "-", "-")
	}
	logRow(t, "entry, allocations of a request", (readMetric(f, "entry-1", mallocsMetric)-beforeMallocs)/sampleCount, "allocations", "-", "-")
	logRow(t, "entry, processor time of a request", entry/sampleCount*1e6, "us", "-", "-")
	logRow(t, "agent, processor time of a request", agent/sampleCount*1e6, "us", "-", "-")
}

// timeRequest sends a request and returns the time until its response in seconds.
func timeRequest(f *fleet, address, path string) float64 {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("X-Api-Key", demoKey)
	began := time.Now()
	_ = f.client.Do(req, resp)
	return time.Since(began).Seconds()
}

// TestMeasureStreams measures the memory that an open stream needs in entry and
// agent.
func TestMeasureStreams(t *testing.T) {
	f := testFleet(t)
	must(t, f.addTarget("advisor-1", "advisor", "east", "--engine", "--token=100ms"), f.addEntry("entry-1", "east"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(`
services: {advisor: {kind: engine, cold-limit: 4000, warm-limit: 4000, timeout: 60s}}
data-centres: {east: {}}
accounts: {parish: {services: [advisor], keys: ["DIGEST"]}}
`)})
	must(t, f.waitReady("entry-1", "advisor"))
	var streamCounts, entry, agent []float64
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
		time.Sleep(settleDelay)
		streamCounts = append(streamCounts, float64(streams))
		entry, agent = append(entry, residentMB(f.proc("entry-1"))), append(agent, residentMB(f.proc("advisor-1")))
	}
	wg.Wait()
	for _, s := range []struct {
		name string
		y    []float64
	}{{"entry", entry}, {"agent", agent}} {
		slope, _, r2 := leastSquares(streamCounts, s.y)
		logRow(t, fmt.Sprintf("memory of an open stream, %s (r2 %.2f)", s.name, r2), slope*1000, "KB", "-", "-")
	}
}

// TestMeasurePlatform counts the calls to the platform by idle fleets of three
// sizes.
func TestMeasurePlatform(t *testing.T) {
	var processCounts, calls []float64
	for _, entries := range []int{4, 16, 32} {
		f := testFleet(t)
		for n := range entries {
			must(t, f.addEntry(fmt.Sprintf("entry-%d", n+1), []string{"east", "west"}[n%2]))
		}
		must(t, f.publishInstances())
		push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
		time.Sleep(settleDelay)
		before := f.platformCalls()
		time.Sleep(measureWindow)
		rate := (f.platformCalls() - before) / measureWindow.Seconds()
		processCounts, calls = append(processCounts, float64(entries)), append(calls, rate)
		logRow(t, fmt.Sprintf("platform calls, %d processes in 2 data centres", entries), rate, "calls/s", "-", "-")
		f.killAll()
	}
	slope, intercept, r2 := leastSquares(processCounts, calls)
	logRow(t, "slope of platform calls", slope, "calls/s a process", "-", "-")
	logRow(t, fmt.Sprintf("slope of platform calls at none (r2 %.2f)", r2), intercept, "calls/s", "-", "-")
}

// platformCalls returns the number of calls that the platform has served.
func (f *fleet) platformCalls() float64 {
	_, body, err := fasthttp.Get(nil, "http://"+f.platformAddress+"/calls")
	if err != nil {
		return 0
	}
	var reads, writes float64
	_, _ = fmt.Sscanf(string(body), `{"reads":%f,"writes":%f}`, &reads, &writes)
	return reads + writes
}

// TestMeasureClaims measures the rate of non-idempotent requests, each of which
// needs a claim stored as one object, and the platform calls for each request.
func TestMeasureClaims(t *testing.T) {
	f := testFleet(t)
	for n := range 3 {
		must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", "east", "--token=0s"))
	}
	must(t, f.addEntry("entry-1", "east"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(strings.Replace(testConfig, "cold-limit: 4, warm-limit: 32, warm-up: 16, timeout: 5s", "cold-limit: 64, warm-limit: 64, timeout: 5s", 1))})
	must(t, f.waitReady("entry-1", "bells"))
	const callers, requestsPerCaller = 32, 100
	before := f.platformCalls()
	began := time.Now()
	var wg sync.WaitGroup
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := range requestsPerCaller {
				id := fmt.Sprintf("%d-%d", n, k)
				_, _ = f.send("entry-1", "POST", "/bells/ring", fmt.Sprintf(`{"token":%q}`, id), map[string]string{"Idempotency-Key": id})
			}
		}()
	}
	wg.Wait()
	took := time.Since(began).Seconds()
	logRow(t, "orders with a claim each", callers*requestsPerCaller/took, "orders/s", "-", "-")
	logRow(t, "platform calls for an order", (f.platformCalls()-before)/(callers*requestsPerCaller), "calls", "-", "-")
	runtime.KeepAlive(f)
}
