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
	chaosCallers         = 8
	chaosRoundsPerCaller = 5
	maxTries             = 4
	chaosFaults          = 7
	// maxFaultGap is the longest time from the end of a fault to the next fault.
	maxFaultGap = 500 * time.Millisecond
	// faultPeriod is how long a pause or an outage lasts.
	faultPeriod         = 1500 * time.Millisecond
	bellsAnswerTimeFlag = "--token=120ms"
)

// seeds returns the seeds of the fault schedules to run: SEED selects one, SEEDS
// sets their number, which is defaultCount otherwise.
func seeds(defaultCount int) []uint64 {
	if one, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return []uint64{one}
	}
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		defaultCount = n
	}
	out := make([]uint64, defaultCount)
	for n := range out {
		out[n] = uint64(n + 1)
	}
	return out
}

// outcome is one request of a caller with its reply; want is the body that a
// successful reply must have.
type outcome struct {
	path  string
	label string
	want  string
	got   reply
}

// outcomes collects the outcomes of all callers.
type outcomes struct {
	mu   sync.Mutex
	list []outcome
}

func (o *outcomes) add(x outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, x)
}

// chaosFleet starts three targets of the plain service bells, two engines of the
// service advisor and two entries in two data centres, with relays in front of the
// agents. The named guards are disabled.
func chaosFleet(t *testing.T, agentGuard, entryGuard string) *fleet {
	f := testFleet(t)
	f.useRelays, f.disabledAgentGuard, f.disabledEntryGuard = true, agentGuard, entryGuard
	for n, centre := range []string{"east", "west", "east"} {
		must(t, f.addTarget(fmt.Sprintf("bells-%d", n+1), "bells", centre, bellsAnswerTimeFlag))
	}
	for n, centre := range []string{"east", "west"} {
		must(t, f.addTarget(fmt.Sprintf("advisor-%d", n+1), "advisor", centre, "--engine"))
		must(t, f.addEntry(fmt.Sprintf("entry-%d", n+1), centre))
	}
	must(t, f.publishInstances())
	push(t, f, map[string]string{"10.yaml": testConfig})
	must(t, f.waitReady("entry-1", "advisor", "bells"), f.waitReady("entry-2", "advisor", "bells"))
	return f
}

// sendKeyedRequest sends one non-idempotent request repeatedly under one
// idempotency key: one time in four to both entries concurrently, then up to
// maxTries times until it succeeds, and once more after that.
func sendKeyedRequest(f *fleet, o *outcomes, label string, rnd *rand.Rand) {
	send := func(entry int) bool {
		key := map[string]string{"Idempotency-Key": label, "Request-Timeout-Ms": "1500"}
		got, _ := f.send(fmt.Sprintf("entry-%d", entry), "POST", "/bells/ring", fmt.Sprintf(`{"token":%q}`, label), key)
		o.add(outcome{path: "/ring", label: label, want: plainAnswer(label), got: got})
		return got.err == nil && got.status == 200
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
	for n := range maxTries {
		if send(1 + n%2) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	send(1 + rnd.IntN(2))
}

// sendCompletion sends one streamed completion.
func sendCompletion(f *fleet, o *outcomes, label string, rnd *rand.Rand) {
	const tokens = 60
	entry := fmt.Sprintf("entry-%d", 1+rnd.IntN(2))
	got, _ := f.send(entry, "POST", "/advisor/v1/completions", fmt.Sprintf(`{"token":%q,"max_tokens":%d}`, label, tokens), nil)
	o.add(outcome{path: "/v1/completions", label: label, want: wantStream(label, tokens), got: got})
}

// runCallers runs callers until each has sent its non-idempotent requests and its
// completions, and returns the outcomes.
func runCallers(f *fleet, seed uint64) *outcomes {
	o := &outcomes{}
	var wg sync.WaitGroup
	for n := range chaosCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(seed, uint64(n)))
			for k := range chaosRoundsPerCaller {
				sendKeyedRequest(f, o, fmt.Sprintf("order-%d-%d", n, k), rnd)
				sendCompletion(f, o, fmt.Sprintf("draft-%d-%d", n, k), rnd)
			}
		}()
	}
	wg.Wait()
	return o
}

// chaosFault is one kind of fault.
type chaosFault int

const (
	agentKilled chaosFault = iota
	targetKilled
	entryKilled
	agentPaused
	platformIsDown
	platformAnswersLost
	connectionsCut
	connectionsSilenced
	streamsCut
	platformRestored
)

var allChaosFaults = []chaosFault{
	agentKilled, targetKilled, entryKilled, agentPaused, platformIsDown, platformAnswersLost,
	connectionsCut, connectionsSilenced, streamsCut,
}

// injectFault injects one random fault of the given kinds. A fault of an agent's
// connections hits the traffic and the peer connections together. The lost answers and
// the slowness of the platform last until its next fault or the end of the run.
func injectFault(t *testing.T, f *fleet, rnd *rand.Rand, kinds []chaosFault) {
	bells := fmt.Sprintf("bells-%d", 1+rnd.IntN(3))
	entry := fmt.Sprintf("entry-%d", 1+rnd.IntN(2))
	switch kind := kinds[rnd.IntN(len(kinds))]; kind {
	case agentKilled:
		t.Logf("kill agent %s", bells)
		f.proc(bells).kill()
		must(t, f.startAgent(f.instance(bells)))
	case targetKilled:
		t.Logf("kill target %s", bells)
		f.proc("target-" + bells).kill()
		must(t, f.startTarget(bells, bellsAnswerTimeFlag))
	case entryKilled:
		t.Logf("kill %s", entry)
		f.proc(entry).kill()
		must(t, f.startEntry(f.instance(entry)))
	case agentPaused:
		t.Logf("pause agent %s", bells)
		f.proc(bells).signal(syscall.SIGSTOP)
		time.Sleep(faultPeriod)
		f.proc(bells).signal(syscall.SIGCONT)
	case platformIsDown:
		t.Log("platform down")
		must(t, f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{Down: true}))
		time.Sleep(faultPeriod)
		must(t, f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{}))
	case platformAnswersLost:
		t.Log("platform loses answers to claims and is slow")
		must(t, f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{LoseAnswers: 3, LosePrefix: "claims/", SlowMs: 30}))
	case connectionsCut, connectionsSilenced:
		action := map[chaosFault]string{connectionsCut: "cut", connectionsSilenced: "silence"}[kind]
		for _, p := range []string{"traffic", "peer"} {
			t.Logf("%s the open connections to %s (%s)", action, bells, p)
			must(t, f.postJSON("http://"+f.relayControls["relay-"+p+"-"+bells]+"/"+action, nil))
		}
	case platformRestored:
		t.Log("platform restored from a copy")
		must(t, copyStore(f))
		time.Sleep(time.Duration(rnd.Int64N(int64(faultPeriod))))
		must(t, restoreStore(f, restoreOptions{EndWatches: rnd.IntN(2) == 0}))
	case streamsCut:
		t.Log("cut the streams of both advisors")
		for _, a := range []string{"advisor-1", "advisor-2"} {
			must(t, f.postJSON("http://"+f.relayControls["relay-traffic-"+a]+"/cut", nil))
		}
	}
}

// runChaos runs callers under the fault schedule of a seed, with faults of the given
// kinds, and returns the outcomes of their requests.
func runChaos(t *testing.T, f *fleet, seed uint64, kinds []chaosFault) *outcomes {
	rnd := rand.New(rand.NewPCG(seed, 99))
	done := make(chan *outcomes, 1)
	go func() { done <- runCallers(f, seed) }()
	for range chaosFaults {
		time.Sleep(time.Duration(rnd.Int64N(int64(maxFaultGap))))
		injectFault(t, f, rnd, kinds)
	}
	o := <-done
	must(t, f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{}))
	return o
}

// violations describes the broken guarantees of a run: non-idempotent requests that
// ran repeatedly, replies that are wrong about whether a request ran, and wrong
// answers. It also counts the replies by result.
type violations struct {
	repeatedRuns []string
	wrongEffects []string
	wrongAnswers []string
	served       int
	refused      int
	failed       int
}

// findViolations compares the outcomes of callers with the run logs of targets.
func findViolations(f *fleet, o *outcomes) violations {
	var v violations
	ringCounts, ranLabels := map[string]int{}, map[string]bool{}
	ranAttempts := map[string]bool{}
	for _, id := range []string{"bells-1", "bells-2", "bells-3", "advisor-1", "advisor-2"} {
		for _, r := range f.readRunLog(id) {
			ranAttempts[r.ID] = true
			ranLabels[r.Label] = true
			if r.Path == "/ring" {
				ringCounts[r.Label]++
			}
		}
	}
	for label, n := range ringCounts {
		if n > 1 {
			v.repeatedRuns = append(v.repeatedRuns, fmt.Sprintf("%s ran %d times", label, n))
		}
	}
	mayHaveRun := map[string]bool{}
	for _, x := range o.list {
		v.add(x, ranAttempts)
		if x.got.effect != "not-run" {
			mayHaveRun[x.label] = true
		}
	}
	for label := range ranLabels {
		if !mayHaveRun[label] && label != "" {
			v.wrongEffects = append(v.wrongEffects, label+": every reply said not-run, but it ran")
		}
	}
	return v
}

// add counts one outcome and checks it against the attempts that ran.
func (v *violations) add(x outcome, ranAttempts map[string]bool) {
	switch {
	case x.got.err != nil:
		v.failed++
	case x.got.status == 200:
		v.served++
		if x.got.body != x.want {
			v.wrongAnswers = append(v.wrongAnswers, fmt.Sprintf("%s: wrong answer %q", x.label, x.got.body))
		}
	default:
		v.refused++
		if x.got.effect != "not-run" && x.got.effect != "unknown" {
			v.wrongEffects = append(v.wrongEffects, fmt.Sprintf("%s: status %d without a valid Request-Effect", x.label, x.got.status))
		}
		if x.got.effect == "not-run" && x.got.attemptID != "" && ranAttempts[x.got.attemptID] {
			v.wrongEffects = append(v.wrongEffects, x.label+": attempt "+x.got.attemptID+" was refused as not-run, but ran")
		}
	}
}

// TestProveOnceTrueWhole checks under faults that a non-idempotent request runs at
// most once, that a request refused as not-run did not run, and that answers are
// complete.
func TestProveOnceTrueWhole(t *testing.T) {
	for _, seed := range seeds(2) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			f := chaosFleet(t, "", "")
			v := findViolations(f, runChaos(t, f, seed, allChaosFaults))
			c.Check(v.repeatedRuns, qt.HasLen, 0)
			c.Check(v.wrongEffects, qt.HasLen, 0)
			c.Check(v.wrongAnswers, qt.HasLen, 0)
			must(t, f.waitReady("entry-1", "advisor", "bells"), f.waitReady("entry-2", "advisor", "bells"))
			t.Logf("seed %d: served %d, refused %d, failed %d", seed, v.served, v.refused, v.failed)
		})
	}
}

// expectViolation runs fleets with a guard disabled under one schedule of faults after
// another, and fails unless findViolations finds a violation.
func expectViolation(t *testing.T, agentGuard, entryGuard string, faults []chaosFault, violationsOf func(violations) []string) {
	const maxSeeds = 8
	for seed := uint64(1); seed <= maxSeeds; seed++ {
		f := chaosFleet(t, agentGuard, entryGuard)
		found := violationsOf(findViolations(f, runChaos(t, f, seed, faults)))
		f.killAll()
		if len(found) > 0 {
			t.Logf("the checker noticed, seed %d: %s", seed, found[0])
			return
		}
	}
	t.Fatalf("the checker noticed nothing in %d seeds", maxSeeds)
}

// TestTwinWithoutClaims shows that the checker detects agents that run
// non-idempotent requests without a claim.
func TestTwinWithoutClaims(t *testing.T) {
	expectViolation(t, "claims", "", allChaosFaults, func(v violations) []string { return v.repeatedRuns })
}

// TestTwinThatSaysNotRun shows that the checker detects entries that report every
// failed request as not run. Most other faults let the entry recover the answer.
func TestTwinThatSaysNotRun(t *testing.T) {
	expectViolation(t, "", "effect", []chaosFault{agentKilled, targetKilled}, func(v violations) []string { return v.wrongEffects })
}
