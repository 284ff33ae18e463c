package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	chaosCallers = 8
	chaosOrders  = 5
	chaosSends   = 4
	chaosFaults  = 7
	faultGap     = 500 * time.Millisecond
	freeze       = 1500 * time.Millisecond
	orderTime    = "--token=120ms"
)

// seeds are the fault schedules of one run: SEED names one, SEEDS how many.
func seeds(few int) []uint64 {
	if one, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return []uint64{one}
	}
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		few = n
	}
	out := make([]uint64, few)
	for n := range out {
		out[n] = uint64(n + 1)
	}
	return out
}

// outcome is one send and what its caller got.
type outcome struct {
	path  string
	token string
	want  string
	got   reply
}

// log collects what callers got.
type outcomes struct {
	mu   sync.Mutex
	list []outcome
}

func (o *outcomes) add(x outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, x)
}

// chaosFleet has three bell controls, two advisors and two entries over two
// data centres, with failing paths before the agents.
func chaosFleet(t *testing.T, agentTwin, entryTwin string) *fleet {
	f := testFleet(t)
	f.viaRelay, f.agentTwin, f.entryTwin = true, agentTwin, entryTwin
	for n, centre := range []string{"east", "west", "east"} {
		must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", centre, orderTime))
	}
	for n, centre := range []string{"east", "west"} {
		must(t, f.addTarget(fmt.Sprintf("advisor-%d", n+1), "advisor", centre, "--engine"))
		must(t, f.addEntry(fmt.Sprintf("entry-%d", n+1), centre))
	}
	must(t, f.publish())
	push(t, f, map[string]string{"10.yaml": testConfig})
	must(t, f.ready("entry-1", "advisor", "bells"), f.ready("entry-2", "advisor", "bells"))
	return f
}

// order is a caller who sends one ringing order again and again: to both
// entries at once now and then, until it is answered, and once more.
func order(f *fleet, o *outcomes, token string, rnd *rand.Rand) {
	send := func(entry int) bool {
		key := map[string]string{"Idempotency-Key": token, "Request-Timeout-Ms": "1500"}
		got, _ := f.send(fmt.Sprintf("entry-%d", entry), "POST", "/bells/ring", fmt.Sprintf(`{"token":%q}`, token), key)
		o.add(outcome{path: "/ring", token: token, want: plainAnswer(token), got: got})
		return got.broken == nil && got.status == 200
	}
	if rnd.IntN(4) == 0 {
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(1)
		}()
		send(2)
		wg.Wait()
	}
	for n := range chaosSends {
		if send(1 + n%2) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	send(1 + rnd.IntN(2))
}

func draft(f *fleet, o *outcomes, token string, rnd *rand.Rand) {
	const tokens = 60
	entry := fmt.Sprintf("entry-%d", 1+rnd.IntN(2))
	got, _ := f.send(entry, "POST", "/advisor/v1/completions", fmt.Sprintf(`{"token":%q,"max_tokens":%d}`, token, tokens), nil)
	o.add(outcome{path: "/v1/completions", token: token, want: wholeStream(token, tokens), got: got})
}

// load runs callers until each has sent its orders and drafts.
func load(f *fleet, seed uint64) *outcomes {
	o := &outcomes{}
	var wg sync.WaitGroup
	for n := range chaosCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(seed, uint64(n)))
			for k := range chaosOrders {
				order(f, o, fmt.Sprintf("order-%d-%d", n, k), rnd)
				draft(f, o, fmt.Sprintf("draft-%d-%d", n, k), rnd)
			}
		}()
	}
	wg.Wait()
	return o
}

// fault does one thing of the brief's list; some come two at once.
func fault(t *testing.T, f *fleet, rnd *rand.Rand) {
	bells := fmt.Sprintf("bells-%d", 1+rnd.IntN(3))
	entry := fmt.Sprintf("entry-%d", 1+rnd.IntN(2))
	switch n := rnd.IntN(9); n {
	case 0:
		t.Logf("kill agent %s", bells)
		f.proc(bells).kill()
		must(t, f.startAgent(f.instance(bells)))
	case 1:
		t.Logf("kill target %s", bells)
		f.proc("target-" + bells).kill()
		must(t, f.startTarget(bells, orderTime))
	case 2:
		t.Logf("kill %s", entry)
		f.proc(entry).kill()
		must(t, f.startEntry(f.instance(entry)))
	case 3:
		t.Logf("freeze agent %s", bells)
		f.proc(bells).signal(syscall.SIGSTOP)
		time.Sleep(freeze)
		f.proc(bells).signal(syscall.SIGCONT)
	case 4:
		t.Log("platform down")
		must(t, f.post("http://"+f.platform+"/faults", platformFaults{Down: true}))
		time.Sleep(freeze)
		must(t, f.post("http://"+f.platform+"/faults", platformFaults{}))
	case 5:
		t.Log("platform loses answers to claims, and is slow")
		must(t, f.post("http://"+f.platform+"/faults", platformFaults{LoseAnswers: 3, LosePrefix: "claims/", SlowMs: 30}))
	case 6, 7:
		what := map[int]string{6: "cut", 7: "silence"}[n]
		for _, p := range []string{"traffic", "peer"} {
			t.Logf("%s the open connections to %s (%s)", what, bells, p)
			must(t, f.post("http://"+f.controls["relay-"+p+"-"+bells]+"/"+what, nil))
		}
	case 8:
		t.Log("cut the streams of both advisors")
		for _, a := range []string{"advisor-1", "advisor-2"} {
			must(t, f.post("http://"+f.controls["relay-traffic-"+a]+"/cut", nil))
		}
	}
}

// chaos runs load under a seed's faults and returns what callers got.
func chaos(t *testing.T, f *fleet, seed uint64) *outcomes {
	rnd := rand.New(rand.NewPCG(seed, 99))
	done := make(chan *outcomes, 1)
	go func() { done <- load(f, seed) }()
	for range chaosFaults {
		time.Sleep(time.Duration(rnd.Int64N(int64(faultGap))))
		fault(t, f, rnd)
	}
	o := <-done
	must(t, f.post("http://"+f.platform+"/faults", platformFaults{}))
	return o
}

// violations are the promises that a run broke, in words.
type violations struct {
	twice   []string
	untrue  []string
	answers []string
	served  int
	refused int
	broken  int
}

func judge(f *fleet, o *outcomes) violations {
	var v violations
	rings, ran := map[string]int{}, map[string]bool{}
	byID := map[string]bool{}
	for _, id := range []string{"bells-1", "bells-2", "bells-3", "advisor-1", "advisor-2"} {
		for _, r := range f.runs(id) {
			byID[r.ID] = true
			ran[r.Token] = true
			if r.Path == "/ring" {
				rings[r.Token]++
			}
		}
	}
	for token, n := range rings {
		if n > 1 {
			v.twice = append(v.twice, fmt.Sprintf("%s rang %d times", token, n))
		}
	}
	mayHaveRun := map[string]bool{}
	for _, x := range o.list {
		v.count(x, byID)
		if x.got.effect != "not-run" {
			mayHaveRun[x.token] = true
		}
	}
	for token := range ran {
		if !mayHaveRun[token] && token != "" {
			v.untrue = append(v.untrue, token+": every answer said not-run, and it ran")
		}
	}
	return v
}

func (v *violations) count(x outcome, byID map[string]bool) {
	switch {
	case x.got.broken != nil:
		v.broken++
	case x.got.status == 200:
		v.served++
		if x.got.body != x.want {
			v.answers = append(v.answers, fmt.Sprintf("%s got %q", x.token, x.got.body))
		}
	default:
		v.refused++
		if x.got.effect != "not-run" && x.got.effect != "unknown" {
			v.untrue = append(v.untrue, fmt.Sprintf("%s: status %d without an effect", x.token, x.got.status))
		}
		if x.got.effect == "not-run" && x.got.attempt != "" && byID[x.got.attempt] {
			v.untrue = append(v.untrue, x.token+": attempt "+x.got.attempt+" was refused as not run, and ran")
		}
	}
}

func TestProveOnceTrueWhole(t *testing.T) {
	for _, seed := range seeds(2) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			f := chaosFleet(t, "", "")
			v := judge(f, chaos(t, f, seed))
			c.Check(v.twice, qt.HasLen, 0)
			c.Check(v.untrue, qt.HasLen, 0)
			c.Check(v.answers, qt.HasLen, 0)
			must(t, f.ready("entry-1", "advisor", "bells"), f.ready("entry-2", "advisor", "bells"))
			t.Logf("seed %d: served %d, refused %d, broken off %d", seed, v.served, v.refused, v.broken)
		})
	}
}

// twinFails runs a daemon without its guard under one schedule after another,
// and wants the checker to notice.
func twinFails(t *testing.T, agentTwin, entryTwin string, fault func(violations) []string) {
	const most = 8
	for seed := uint64(1); seed <= most; seed++ {
		f := chaosFleet(t, agentTwin, entryTwin)
		found := fault(judge(f, chaos(t, f, seed)))
		f.close()
		if len(found) > 0 {
			t.Logf("the checker noticed, seed %d: %s", seed, found[0])
			return
		}
	}
	t.Fatalf("the checker noticed nothing in %d seeds", most)
}

func TestTwinWithoutClaims(t *testing.T) {
	twinFails(t, "claims", "", func(v violations) []string { return v.twice })
}

func TestTwinThatSaysNotRun(t *testing.T) {
	twinFails(t, "", "effect", func(v violations) []string { return v.untrue })
}
