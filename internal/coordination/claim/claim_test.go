package claim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// event is one thing that happens at a moment of virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

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

// twin switches one protection off.
type twin string

const (
	none          twin = ""
	ignoreClaims  twin = "runs although the record is another's"
	forgetfulAsk  twin = "a holder that died counts as never having run"
	noLastLook    twin = "no look at the deadline after the claim"
	abandonTooFar twin = "an attempt that may run is marked as abandoned"
)

// world is a platform that loses answers and delays writes, agents that pause
// and die, and callers that send one key again and again.
type world struct {
	rnd     *rand.Rand
	twin    twin
	now     time.Duration
	seq     int
	queue   events
	record  Record
	version int64
	down    bool
	dead    map[string]bool
	phase   map[string]string
	runs    []string
	ranLate int
	notRun  map[string]bool
}

const (
	simAttempts = 6
	simAgents   = 3
	simDeadline = 400 * time.Millisecond
	simCall     = 60 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(seed uint64, t twin) *world {
	w := &world{
		rnd:    rand.New(rand.NewPCG(seed, 7)),
		twin:   t,
		dead:   map[string]bool{},
		phase:  map[string]string{},
		notRun: map[string]bool{},
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

// play runs events until none is left, or virtual time is up: marking a
// claim goes on for as long as the platform is down.
func (w *world) play() {
	for w.queue.Len() > 0 && w.now < 30*time.Second {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

// at runs do in an agent, unless it has died; now and then it was paused.
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

// put is a conditional write that may land late, or without an answer.
func (w *world) put(agent string, r Record, expected int64, then func(Outcome)) {
	o := Unavailable
	land := w.upTo(20)
	if w.rnd.IntN(10) == 0 {
		land = w.upTo(200)
	}
	w.after(land, func() {
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
	wait := min(land+w.upTo(10)+time.Millisecond, simCall)
	w.at(agent, wait, func() { then(o) })
}

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

func (w *world) arrive(attempt, agent string) {
	if w.dead[agent] {
		return
	}
	own := Record{Attempt: attempt, Agent: agent, Digest: "same"}
	c := New(own, w.clock().Add(simDeadline))
	w.phase[attempt] = "claiming"
	w.act(c, agent, c.Start(w.clock()))
}

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
		w.at(agent, w.upTo(20), func() { next(c.HandleHolderState(w.ask(c.Found()), w.clock())) })
	case Run:
		w.at(agent, 0, func() { w.begin(c, agent) })
	case RefuseUnknown, Attach:
		if w.twin == ignoreClaims && a == RefuseUnknown {
			w.run(c, agent)
			return
		}
		w.phase[c.Own().Attempt] = "refused-unknown"
	default:
		w.refuse(c, agent)
	}
}

// begin is the agent's last step before the target sees the request.
func (w *world) begin(c *Claim, agent string) {
	if w.twin == abandonTooFar {
		w.abandon(NewAbandonment(c.Own()), agent)
	}
	if !c.MayRun(w.clock()) && w.twin != noLastLook {
		w.refuse(c, agent)
		return
	}
	w.run(c, agent)
}

func (w *world) run(c *Claim, agent string) {
	if !c.MayRun(w.clock()) {
		w.ranLate++
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

// ask is the holder's word on its attempt.
func (w *world) ask(r Record) HolderState {
	if w.dead[r.Agent] {
		if w.twin == forgetfulAsk {
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

// check returns what the promises forbid in a world that has ended.
func (w *world) check() string {
	if len(w.runs) > 1 {
		return fmt.Sprintf("ran %d times: %v", len(w.runs), w.runs)
	}
	for attempt := range w.notRun {
		if w.phase[attempt] == "ran" {
			return attempt + " was refused as not run, and ran"
		}
	}
	if w.ranLate > 0 {
		return "ran after its deadline"
	}
	return ""
}

const simSeeds = 20_000

func TestRunsAtMostOnce(t *testing.T) {
	ran, refused := 0, 0
	for seed := range uint64(simSeeds) {
		w := newWorld(seed, none)
		w.play()
		if fault := w.check(); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
		ran += len(w.runs)
		refused += len(w.notRun)
	}
	// A check that holds because nothing ever runs would prove nothing.
	qt.New(t).Assert(ran > simSeeds/2, qt.IsTrue, qt.Commentf("ran in %d of %d worlds", ran, simSeeds))
	t.Logf("%d worlds: %d ran, %d attempts refused as not run", simSeeds, ran, refused)
}

func TestTwinsFail(t *testing.T) {
	tests := []struct {
		twin  twin
		fault string
	}{
		{ignoreClaims, "ran [2-6] times.*"},
		{forgetfulAsk, "ran [2-6] times.*"},
		{abandonTooFar, "ran [2-6] times.*"},
		{noLastLook, "ran after its deadline"},
	}
	for _, tt := range tests {
		t.Run(string(tt.twin), func(t *testing.T) {
			for seed := range uint64(simSeeds) {
				w := newWorld(seed, tt.twin)
				w.play()
				if fault := w.check(); fault != "" {
					qt.New(t).Assert(fault, qt.Matches, tt.fault)
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			t.Fatalf("the checker found nothing in %d seeds", simSeeds)
		})
	}
}

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
