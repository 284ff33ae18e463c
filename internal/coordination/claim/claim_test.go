package claim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// event is a function that runs at a point of virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a heap of events by time, then by order of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// variant is a test variant with one safeguard disabled; none disables no
// safeguard.
type variant string

const (
	none                 variant = ""
	ignoreClaims         variant = "runs although another attempt holds the record"
	deadHolderNeverRan   variant = "a dead holder counts as never having run"
	noFinalDeadlineCheck variant = "the deadline is not checked after the claim"
	abandonRunning       variant = "an attempt that may run is marked as abandoned"
)

// world simulates a platform that loses answers and delays writes, agents that
// are paused or die, and several attempts with the same idempotency key.
type world struct {
	rnd              *rand.Rand
	variant          variant
	now              time.Duration
	seq              int
	queue            events
	record           Record
	version          int64
	down             bool
	dead             map[string]bool
	phase            map[string]string
	runs             []string
	ranAfterDeadline int
	notRun           map[string]bool
}

const (
	simAttempts    = 6
	simAgents      = 3
	simDeadline    = 400 * time.Millisecond
	simCallTimeout = 60 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(seed uint64, v variant) *world {
	w := &world{
		rnd:     rand.New(rand.NewPCG(seed, 7)),
		variant: v,
		dead:    map[string]bool{},
		phase:   map[string]string{},
		notRun:  map[string]bool{},
	}
	for n := range simAttempts {
		agent := fmt.Sprintf("agent-%d", w.rnd.IntN(simAgents))
		w.after(w.upTo(600), func() { w.arrive(fmt.Sprintf("attempt-%d", n), agent) })
	}
	for range w.rnd.IntN(3) {
		w.after(w.upTo(800), func() { w.down = !w.down })
	}
	if w.rnd.IntN(2) == 0 {
		agent := fmt.Sprintf("agent-%d", w.rnd.IntN(simAgents))
		w.after(w.upTo(800), func() { w.dead[agent] = true })
	}
	return w
}

func (w *world) upTo(ms int) time.Duration { return time.Duration(w.rnd.IntN(ms)) * time.Millisecond }

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.seq, do: do})
}

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// play runs events until none is left or 30 s of virtual time have passed: a
// claim that has to be abandoned is retried for as long as the platform is down.
func (w *world) play() {
	for w.queue.Len() > 0 && w.now < 30*time.Second {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

// at runs do on an agent after a delay, unless the agent has died by then. One
// time in eight the agent is paused first, which adds to the delay.
func (w *world) at(agent string, d time.Duration, do func()) {
	if w.rnd.IntN(8) == 0 {
		d += w.upTo(900)
	}
	w.after(d, func() {
		if !w.dead[agent] {
			do()
		}
	})
}

// put is a conditional write that may take effect with a delay, or without an
// answer to the agent.
func (w *world) put(agent string, r Record, expected int64, then func(Outcome)) {
	o := Unavailable
	delay := w.upTo(20)
	if w.rnd.IntN(10) == 0 {
		delay = w.upTo(200)
	}
	w.after(delay, func() {
		switch {
		case w.down:
		case expected != w.version:
			o = Conflict
		default:
			w.record, o = r, Done
			w.version++
		}
		if w.rnd.IntN(6) == 0 {
			o = Unavailable
		}
	})
	wait := min(delay+w.upTo(10)+time.Millisecond, simCallTimeout)
	w.at(agent, wait, func() { then(o) })
}

// get reads the record; the answer may be lost.
func (w *world) get(agent string, then func(Record, int64, Outcome)) {
	w.at(agent, w.upTo(20), func() {
		switch {
		case w.down || w.rnd.IntN(10) == 0:
			then(Record{}, 0, Unavailable)
		case w.version == 0:
			then(Record{}, 0, Missing)
		default:
			then(w.record, w.version, Done)
		}
	})
}

// arrive starts the claim of an attempt on an agent.
func (w *world) arrive(attempt, agent string) {
	if w.dead[agent] {
		return
	}
	own := Record{Attempt: attempt, Agent: agent, Digest: "same"}
	c := New(own, w.clock().Add(simDeadline))
	w.phase[attempt] = "claiming"
	w.act(c, agent, c.Start(w.clock()))
}

// act carries out an action of a claim and those that follow it.
func (w *world) act(c *Claim, agent string, a Action) {
	next := func(a Action) { w.act(c, agent, a) }
	switch a {
	case Create:
		w.put(agent, c.Own(), 0, func(o Outcome) { next(c.HandleWrite(o, w.clock())) })
	case TakeOver:
		w.put(agent, c.Own(), c.Version(), func(o Outcome) { next(c.HandleWrite(o, w.clock())) })
	case Read:
		w.get(agent, func(r Record, v int64, o Outcome) { next(c.HandleRead(r, v, o, w.clock())) })
	case AskHolder:
		w.at(agent, w.upTo(20), func() { next(c.HandleHolderState(w.holderState(c.Found()), w.clock())) })
	case Run:
		w.at(agent, 0, func() { w.begin(c, agent) })
	case RefuseUnknown, Attach:
		if w.variant == ignoreClaims && a == RefuseUnknown {
			w.run(c, agent)
			return
		}
		w.phase[c.Own().Attempt] = "refused-unknown"
	default:
		w.refuse(c, agent)
	}
}

// begin is the agent's last step before it sends the request to the target.
func (w *world) begin(c *Claim, agent string) {
	if w.variant == abandonRunning {
		w.abandon(NewAbandonment(c.Own()), agent)
	}
	if !c.MayRun(w.clock()) && w.variant != noFinalDeadlineCheck {
		w.refuse(c, agent)
		return
	}
	w.run(c, agent)
}

func (w *world) run(c *Claim, agent string) {
	if !c.MayRun(w.clock()) {
		w.ranAfterDeadline++
	}
	w.phase[c.Own().Attempt] = "ran"
	w.runs = append(w.runs, c.Own().Attempt+" at "+agent)
}

func (w *world) refuse(c *Claim, agent string) {
	w.phase[c.Own().Attempt] = "refused"
	w.notRun[c.Own().Attempt] = true
	if c.NeedsAbandon() {
		w.abandon(NewAbandonment(c.Own()), agent)
	}
}

// holderState returns the state that the holder reports for its attempt.
func (w *world) holderState(r Record) HolderState {
	if w.dead[r.Agent] {
		if w.variant == deadHolderNeverRan {
			return NeverRan
		}
		return Lost
	}
	switch w.phase[r.Attempt] {
	case "refused":
		return NeverRan
	case "claiming", "ran":
		return Answering
	}
	return Lost
}

// abandon marks a claim as abandoned.
func (w *world) abandon(b *Abandonment, agent string) {
	w.abandonStep(b, agent, b.Start())
}

func (w *world) abandonStep(b *Abandonment, agent string, a AbandonAction) {
	next := func(a AbandonAction) { w.abandonStep(b, agent, a) }
	switch a {
	case AbandonCreate:
		w.put(agent, b.Own(), 0, func(o Outcome) { next(b.HandleWrite(o)) })
	case AbandonRead:
		w.get(agent, func(r Record, v int64, o Outcome) { next(b.HandleRead(r, v, o)) })
	case AbandonWrite:
		w.put(agent, b.Own(), b.Version(), func(o Outcome) { next(b.HandleWrite(o)) })
	case AbandonWait:
		w.at(agent, 200*time.Millisecond, func() { next(b.Start()) })
	}
}

// violation describes how a finished run broke a guarantee: the request ran more
// than once, or ran after it was refused as not run, or ran after its deadline.
// It is empty if the guarantees held.
func (w *world) violation() string {
	if len(w.runs) > 1 {
		return fmt.Sprintf("ran %d times: %v", len(w.runs), w.runs)
	}
	for attempt := range w.notRun {
		if w.phase[attempt] == "ran" {
			return attempt + " was refused as not run, and ran"
		}
	}
	if w.ranAfterDeadline > 0 {
		return "ran after its deadline"
	}
	return ""
}

// simSeeds is the number of simulated runs, one for each seed.
const simSeeds = 20_000

// TestRunsAtMostOnce checks that at most one attempt with an idempotency key
// runs, whatever answers are lost and whichever agents are paused or die.
func TestRunsAtMostOnce(t *testing.T) {
	ran, refused := 0, 0
	for seed := range uint64(simSeeds) {
		w := newWorld(seed, none)
		w.play()
		if violation := w.violation(); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		ran += len(w.runs)
		refused += len(w.notRun)
	}
	// The test would prove nothing if no request ran.
	qt.New(t).Assert(ran > simSeeds/2, qt.IsTrue, qt.Commentf("ran in %d of %d worlds", ran, simSeeds))
	t.Logf("%d worlds: %d ran, %d attempts refused as not run", simSeeds, ran, refused)
}

// TestTwinsFail checks that the simulation finds a violation in each variant
// that has one safeguard disabled.
func TestTwinsFail(t *testing.T) {
	tests := []struct {
		variant   variant
		violation string
	}{
		{ignoreClaims, "ran [2-6] times.*"},
		{deadHolderNeverRan, "ran [2-6] times.*"},
		{abandonRunning, "ran [2-6] times.*"},
		{noFinalDeadlineCheck, "ran after its deadline"},
	}
	for _, tt := range tests {
		t.Run(string(tt.variant), func(t *testing.T) {
			for seed := range uint64(simSeeds) {
				w := newWorld(seed, tt.variant)
				w.play()
				if violation := w.violation(); violation != "" {
					qt.New(t).Assert(violation, qt.Matches, tt.violation)
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("no violation in %d seeds", simSeeds)
		})
	}
}

// TestKeyWithAnotherBody checks that an idempotency key that was used with a
// different request is refused.
func TestKeyWithAnotherBody(t *testing.T) {
	c := qt.New(t)
	own := Record{Attempt: "b", Digest: RequestDigest("POST", "/ring", []byte("b"))}
	cl := New(own, epoch.Add(time.Second))
	c.Assert(cl.Start(epoch), qt.Equals, Create)
	c.Assert(cl.HandleWrite(Conflict, epoch), qt.Equals, Read)
	held := Record{Attempt: "a", Digest: RequestDigest("POST", "/ring", []byte("a")), State: Held}
	c.Assert(cl.HandleRead(held, 4, Done, epoch), qt.Equals, RefuseReused)
	c.Assert(cl.NeedsAbandon(), qt.IsFalse)
}
