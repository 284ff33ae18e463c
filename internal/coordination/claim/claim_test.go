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

// variant names the safeguard that a test disables, by the effect of its absence.
type variant string

const (
	unmodified           variant = ""
	ignoreClaims         variant = "runs although another attempt holds the record"
	deadHolderNeverRan   variant = "a dead holder counts as never having run"
	noFinalDeadlineCheck variant = "the deadline is not checked after the claim"
	abandonRunning       variant = "an attempt that may run is marked as abandoned"
)

// simulation simulates a platform that loses answers and delays writes, agents
// that are paused or die, and several attempts with the same idempotency key.
type simulation struct {
	rnd              *rand.Rand
	variant          variant
	now              time.Duration
	seq              int
	queue            events
	record           Record
	version          int64
	isPlatformDown   bool
	dead             map[string]bool
	phase            map[string]string
	runs             []string
	ranAfterDeadline int
	refusedAsNotRun  map[string]bool
}

const (
	simAttempts    = 6
	simAgents      = 3
	simDeadline    = 400 * time.Millisecond
	simCallTimeout = 60 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, v variant) *simulation {
	s := &simulation{
		rnd:             rand.New(rand.NewPCG(seed, 7)),
		variant:         v,
		dead:            map[string]bool{},
		phase:           map[string]string{},
		refusedAsNotRun: map[string]bool{},
	}
	for n := range simAttempts {
		agent := fmt.Sprintf("agent-%d", s.rnd.IntN(simAgents))
		s.after(s.upTo(600), func() { s.arrive(fmt.Sprintf("attempt-%d", n), agent) })
	}
	for range s.rnd.IntN(3) {
		s.after(s.upTo(800), func() { s.isPlatformDown = !s.isPlatformDown })
	}
	if s.rnd.IntN(2) == 0 {
		agent := fmt.Sprintf("agent-%d", s.rnd.IntN(simAgents))
		s.after(s.upTo(800), func() { s.dead[agent] = true })
	}
	return s
}

func (s *simulation) upTo(ms int) time.Duration {
	return time.Duration(s.rnd.IntN(ms)) * time.Millisecond
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

// runEvents runs events until none is left or 30 s of virtual time have passed: a
// claim that has to be abandoned is retried for as long as the platform is down.
func (s *simulation) runEvents() {
	for s.queue.Len() > 0 && s.now < 30*time.Second {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// runOnAgent runs do on an agent after a delay, unless the agent has died by
// then. One time in eight the agent is paused first, which adds to the delay.
func (s *simulation) runOnAgent(agent string, d time.Duration, do func()) {
	if s.rnd.IntN(8) == 0 {
		d += s.upTo(900)
	}
	s.after(d, func() {
		if !s.dead[agent] {
			do()
		}
	})
}

// put writes the record if its version is still the expected one. The write may
// be delayed, and its outcome may not reach the agent.
func (s *simulation) put(agent string, r Record, expected int64, then func(Outcome)) {
	o := Unavailable
	delay := s.upTo(20)
	if s.rnd.IntN(10) == 0 {
		delay = s.upTo(200)
	}
	s.after(delay, func() {
		switch {
		case s.isPlatformDown:
		case expected != s.version:
			o = Conflict
		default:
			s.record, o = r, Done
			s.version++
		}
		if s.rnd.IntN(6) == 0 {
			o = Unavailable
		}
	})
	wait := min(delay+s.upTo(10)+time.Millisecond, simCallTimeout)
	s.runOnAgent(agent, wait, func() { then(o) })
}

// get reads the record; the answer may be lost.
func (s *simulation) get(agent string, then func(Record, int64, Outcome)) {
	s.runOnAgent(agent, s.upTo(20), func() {
		switch {
		case s.isPlatformDown || s.rnd.IntN(10) == 0:
			then(Record{}, 0, Unavailable)
		case s.version == 0:
			then(Record{}, 0, Missing)
		default:
			then(s.record, s.version, Done)
		}
	})
}

// arrive starts the claim of an attempt on an agent.
func (s *simulation) arrive(attempt, agent string) {
	if s.dead[agent] {
		return
	}
	own := Record{Attempt: attempt, Agent: agent, Digest: "same"}
	c := New(own, s.clock().Add(simDeadline))
	s.phase[attempt] = "claiming"
	s.perform(c, agent, c.Start(s.clock()))
}

// perform carries out an action of a claim and those that follow it.
func (s *simulation) perform(c *Claim, agent string, a Action) {
	next := func(a Action) { s.perform(c, agent, a) }
	switch a {
	case Create:
		s.put(agent, c.Own(), 0, func(o Outcome) { next(c.HandleWrite(o, s.clock())) })
	case TakeOver:
		s.put(agent, c.Own(), c.Version(), func(o Outcome) { next(c.HandleWrite(o, s.clock())) })
	case Read:
		s.get(agent, func(r Record, v int64, o Outcome) { next(c.HandleRead(r, v, o, s.clock())) })
	case AskHolder:
		s.runOnAgent(agent, s.upTo(20), func() { next(c.HandleHolderState(s.holderState(c.Found()), s.clock())) })
	case Run:
		s.runOnAgent(agent, 0, func() { s.begin(c, agent) })
	case RefuseUnknown, Attach:
		if s.variant == ignoreClaims && a == RefuseUnknown {
			s.run(c, agent)
			return
		}
		s.phase[c.Own().Attempt] = "refused-unknown"
	default:
		s.refuse(c, agent)
	}
}

// begin is the agent's last step before it sends the request to the target.
func (s *simulation) begin(c *Claim, agent string) {
	if s.variant == abandonRunning {
		s.abandon(NewAbandonment(c.Own()), agent)
	}
	if !c.MayRun(s.clock()) && s.variant != noFinalDeadlineCheck {
		s.refuse(c, agent)
		return
	}
	s.run(c, agent)
}

// run sends the request to the target.
func (s *simulation) run(c *Claim, agent string) {
	if !c.MayRun(s.clock()) {
		s.ranAfterDeadline++
	}
	s.phase[c.Own().Attempt] = "ran"
	s.runs = append(s.runs, c.Own().Attempt+" at "+agent)
}

// refuse refuses an attempt as not run, and abandons its record if there may be
// one.
func (s *simulation) refuse(c *Claim, agent string) {
	s.phase[c.Own().Attempt] = "refused"
	s.refusedAsNotRun[c.Own().Attempt] = true
	if c.NeedsAbandon() {
		s.abandon(NewAbandonment(c.Own()), agent)
	}
}

// holderState returns the state that the holder reports for its attempt.
func (s *simulation) holderState(r Record) HolderState {
	if s.dead[r.Agent] {
		if s.variant == deadHolderNeverRan {
			return NeverRan
		}
		return Lost
	}
	switch s.phase[r.Attempt] {
	case "refused":
		return NeverRan
	case "claiming", "ran":
		return Answering
	}
	return Lost
}

// abandon starts to mark a claim as abandoned.
func (s *simulation) abandon(b *Abandonment, agent string) {
	s.abandonStep(b, agent, b.Start())
}

// abandonStep carries out an action of an abandonment and those that follow it.
func (s *simulation) abandonStep(b *Abandonment, agent string, a AbandonAction) {
	next := func(a AbandonAction) { s.abandonStep(b, agent, a) }
	switch a {
	case AbandonCreate:
		s.put(agent, b.Own(), 0, func(o Outcome) { next(b.HandleWrite(o)) })
	case AbandonRead:
		s.get(agent, func(r Record, v int64, o Outcome) { next(b.HandleRead(r, v, o)) })
	case AbandonWrite:
		s.put(agent, b.Own(), b.Version(), func(o Outcome) { next(b.HandleWrite(o)) })
	case AbandonWait:
		s.runOnAgent(agent, 200*time.Millisecond, func() { next(b.Start()) })
	}
}

// violation describes how a finished run broke a guarantee: the request ran more
// than once, or ran after it was refused as not run, or ran after its deadline.
// It is empty if the guarantees held.
func (s *simulation) violation() string {
	if len(s.runs) > 1 {
		return fmt.Sprintf("ran %d times: %v", len(s.runs), s.runs)
	}
	for attempt := range s.refusedAsNotRun {
		if s.phase[attempt] == "ran" {
			return attempt + " was refused as not run, and ran"
		}
	}
	if s.ranAfterDeadline > 0 {
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
		s := newSimulation(seed, unmodified)
		s.runEvents()
		if violation := s.violation(); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		ran += len(s.runs)
		refused += len(s.refusedAsNotRun)
	}
	// The test would prove nothing if no request ran.
	qt.New(t).Assert(ran > simSeeds/2, qt.IsTrue, qt.Commentf("ran in %d of %d simulated runs", ran, simSeeds))
	t.Logf("%d simulated runs, the request ran in %d, %d attempts were refused as not run", simSeeds, ran, refused)
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
				s := newSimulation(seed, tt.variant)
				s.runEvents()
				if violation := s.violation(); violation != "" {
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
