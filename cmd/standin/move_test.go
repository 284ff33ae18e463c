//go:build bench

package main

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// The measurement in this file takes a data centre out of service and brings it
// back while callers send requests, once planned and once by killing its
// processes.

const (
	moveCallers    = 24
	beforePeriod   = 4 * time.Second
	outPeriod      = 6 * time.Second
	backPeriod     = 6 * time.Second
	moveTimeoutMs  = 5000
	maxAnswerP95Ms = 400
)

const moveConfig = `
services:
  advisor: {kind: engine, cold-limit: 4, warm-limit: 24, warm-up: 24, timeout: 20s}
  bells: {kind: plain, cold-limit: 4, warm-limit: 24, warm-up: 24, timeout: 5s, non-idempotent: [POST /ring]}
data-centres: {finistere: {}, morbihan: {}, cotes-d-armor: {}}
accounts: {parish: {services: [advisor, bells], keys: ["DIGEST"]}}
`

// timedReply is the reply to one request, with the time at which the request was
// sent and its duration.
type timedReply struct {
	sentAt   time.Time
	duration time.Duration
	hasKey   bool
	got      reply
}

// replyLog collects the replies of all callers.
type replyLog struct {
	mu      sync.Mutex
	replies []timedReply
}

func (l *replyLog) add(x timedReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, x)
}

// logPhase logs the results of the requests that were sent in [from, to). Refusals
// are bounded only in a planned move.
func (l *replyLog) logPhase(t *testing.T, name string, from, to time.Time, planned bool) {
	var durations []float64
	lost, refused, unknown, keyedUnknown := 0, 0, 0, 0
	for _, x := range l.replies {
		if x.sentAt.Before(from) || !x.sentAt.Before(to) {
			continue
		}
		switch {
		case x.got.err != nil:
			lost++
		case x.got.effect == "not-run":
			refused++
		case x.got.effect == "unknown" && x.hasKey:
			keyedUnknown++
		case x.got.effect == "unknown":
			unknown++
		default:
			durations = append(durations, float64(x.duration.Microseconds())/1000)
		}
	}
	slices.Sort(durations)
	p95 := 0.0
	if len(durations) > 0 {
		p95 = durations[int(0.95*float64(len(durations)-1))]
	}
	verdict := func(s string, ok bool) (string, string) { return s, verdictOf(ok) }
	b, v := verdict("<= 400", p95 <= maxAnswerP95Ms)
	logRow(t, name+": answer p95", p95, "ms", b, v)
	logRow(t, name+": answered", float64(len(durations)), "requests", "-", "-")
	b, v = verdict("= 0", lost+unknown == 0)
	logRow(t, name+": lost, or idempotent and unknown", float64(lost+unknown), "requests", b, v)
	b, v = "-", "-"
	if planned {
		b, v = verdict("= 0", refused+keyedUnknown == 0)
	}
	logRow(t, name+": refused, or orders unknown", float64(refused+keyedUnknown), "requests", b, v)
}

// TestMeasureMove measures the latency and the failed requests before, while and
// after a data centre is out of service.
func TestMeasureMove(t *testing.T) {
	for _, planned := range []bool{true, false} {
		name := map[bool]string{true: "planned move", false: "loss of a data centre"}[planned]
		f := testFleet(t)
		centres := []string{"finistere", "morbihan", "cotes-d-armor"}
		for n, centre := range centres {
			must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", centre, "--token=20ms"))
			must(t, f.addTarget(fmt.Sprintf("bells-%d", n+4), "bells", centre, "--token=20ms"))
		}
		must(t, f.addEntry("entry-1", "finistere"), f.addEntry("entry-2", "cotes-d-armor"), f.publishInstances())
		push(t, f, map[string]string{"10.yaml": withKey(moveConfig)})
		must(t, f.waitReady("entry-1", "bells"), f.waitReady("entry-2", "bells"))
		replies := &replyLog{}
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for n := range moveCallers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				replies.sendUntilStopped(f, n, stop)
			}()
		}
		began := time.Now()
		time.Sleep(beforePeriod)
		out := time.Now()
		takeMorbihanOut(t, f, planned)
		time.Sleep(time.Until(out.Add(outPeriod)))
		back := time.Now()
		bringMorbihanBack(t, f, planned)
		time.Sleep(time.Until(back.Add(backPeriod)))
		end := time.Now()
		close(stop)
		wg.Wait()
		replies.logPhase(t, name+", before", began, out, planned)
		replies.logPhase(t, name+", while out", out, back, planned)
		replies.logPhase(t, name+", after", back, end, planned)
		if planned {
			runsWhileOut := len(runsAfter(f, out.Add(time.Second), "bells-2", "bells-5"))
			for _, id := range []string{"bells-2", "bells-5"} {
				for _, r := range f.readRunLog(id) {
					if !r.Time.Before(back) {
						runsWhileOut--
					}
				}
			}
			logRow(t, name+", new work there after 3 s", float64(max(runsWhileOut, 0)), "requests", "= 0", verdictOf(runsWhileOut <= 0))
		}
		f.killAll()
	}
}

// sendUntilStopped sends the requests of caller n, every fourth one non-idempotent,
// until stop is closed.
func (l *replyLog) sendUntilStopped(f *fleet, n int, stop chan struct{}) {
	for k := 0; k < maxRequestsPerCaller; k++ {
		select {
		case <-stop:
			return
		default:
		}
		method, path, headers := "GET", "/bells/tower", map[string]string{"Request-Timeout-Ms": fmt.Sprint(moveTimeoutMs)}
		keyed := k%4 == 0
		if keyed {
			method, path = "POST", "/bells/ring"
			headers["Idempotency-Key"] = fmt.Sprintf("%d-%d", n, k)
		}
		at := time.Now()
		got, _ := f.send(bothEntries()[n%2], method, path, fmt.Sprintf(`{"token":"%d-%d"}`, n, k), headers)
		l.add(timedReply{sentAt: at, duration: time.Since(at), hasKey: keyed, got: got})
	}
}

// takeMorbihanOut takes the data centre morbihan out of service by configuration if
// the move is planned, and kills its processes otherwise.
func takeMorbihanOut(t *testing.T, f *fleet, planned bool) {
	if planned {
		writeConfigFile(t, f, "20.yaml", "data-centres: {morbihan: {in-service: false}}\n")
		_, err := f.runOperatorCommand("push", f.dir+"/folder")
		must(t, err)
		return
	}
	for _, id := range []string{"bells-2", "bells-5"} {
		f.proc(id).kill()
		f.proc("target-" + id).kill()
	}
}

// bringMorbihanBack reverts takeMorbihanOut.
func bringMorbihanBack(t *testing.T, f *fleet, planned bool) {
	if planned {
		writeConfigFile(t, f, "20.yaml", "data-centres: {morbihan: {in-service: true}}\n")
		_, err := f.runOperatorCommand("push", f.dir+"/folder")
		must(t, err)
		return
	}
	for _, id := range []string{"bells-2", "bells-5"} {
		must(t, f.startTarget(id, "--token=20ms"), f.startAgent(f.instance(id)))
	}
}
