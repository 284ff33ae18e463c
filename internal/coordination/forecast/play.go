package forecast

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bluebellcrank/internal/coordination/route"
	"bluebellcrank/internal/state/target"
)

const (
	prefixTokens = 1200
	promptTokens = 300
	meanTokens   = 120
	maxTries     = 4
)

// happening is something at a moment of virtual time.
type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type schedule []happening

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(happening)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// play is one run of a plan.
type play struct {
	plan    Plan
	random  *rand.Rand
	now     time.Duration
	seq     int
	queue   schedule
	engines []*engine
	sets    []*route.Set
	counts  []int
	serial  uint64
	out     *Outcome
}

// Simulate runs a plan to its end.
func Simulate(p Plan) *Outcome {
	y := &play{
		plan:   p,
		random: rand.New(rand.NewPCG(p.seed, 3)),
		counts: make([]int, p.engines),
		out: &Outcome{
			first:   hdrhistogram.New(1, histogramMost, histogramExact),
			between: hdrhistogram.New(1, histogramMost, histogramExact),
			perSec:  make([]int, int(p.duration/time.Second)+1),
		},
	}
	y.build()
	y.after(y.gap(), y.arrive)
	for y.queue.Len() > 0 {
		h := heap.Pop(&y.queue).(happening)
		if h.at > p.duration {
			break
		}
		y.now = h.at
		h.do()
	}
	y.out.mostMean = y.imbalance()
	return y.out
}

func (y *play) after(d time.Duration, do func()) {
	y.seq++
	heap.Push(&y.queue, happening{at: y.now + d, seq: y.seq, do: do})
}

func (y *play) build() {
	var list []target.Instance
	for n := range y.plan.engines {
		e := newEngine(y.plan.model)
		e.warmUp()
		y.engines = append(y.engines, e)
		list = append(list, target.Instance{ID: fmt.Sprintf("engine-%d", n), Role: target.Agent})
	}
	if y.plan.straggler != 1 {
		y.engines[0].speed = y.plan.straggler
	}
	if y.plan.restarts {
		y.after(y.plan.duration/3, y.engines[len(y.engines)-1].restart)
	}
	for range y.plan.entries {
		candidates := make([]*route.Candidate, len(list))
		for n, i := range list {
			candidates[n] = route.NewCandidate(i, true)
			y.report(candidates[n], n, y.snapshot(n))
		}
		y.sets = append(y.sets, route.NewSet(candidates))
	}
}

// snapshot is an agent's report as of now.
func (y *play) snapshot(n int) target.Report {
	e := y.engines[n]
	pace := max(e.warmth.MeanLatency(), e.paceOf())
	return target.Report{
		Limit:     e.warmth.Limit(),
		Running:   e.gate.RunningUnits(),
		Waiting:   e.gate.QueuedRequests(),
		LatencyMs: int(pace / time.Millisecond),
	}
}

// report delivers a report that is as old as the plan says, again and again.
func (y *play) report(c *route.Candidate, n int, was target.Report) {
	c.SetReport(was, at(y.now))
	next := y.snapshot(n)
	y.after(y.plan.reportAge, func() { y.report(c, n, next) })
}

// gap is the time to the next arrival, a Poisson process.
func (y *play) gap() time.Duration {
	return time.Duration(y.random.ExpFloat64() / y.rateNow() * float64(time.Second))
}

func (y *play) flooding() bool {
	third := y.plan.duration / 3
	return y.plan.flood > 0 && y.now >= third && y.now < 2*third
}

func (y *play) rateNow() float64 {
	if y.flooding() {
		return y.plan.rate * (1 + y.plan.flood)
	}
	return y.plan.rate
}

// arrive is one caller; large accounts send more.
func (y *play) arrive() {
	y.after(y.gap(), y.arrive)
	y.out.requests++
	y.serial++
	account := int(math.Floor(math.Pow(y.random.Float64(), 2) * float64(y.plan.accounts)))
	if y.flooding() && y.random.Float64() < y.plan.flood/(1+y.plan.flood) {
		account = 0
	}
	small := account != 0
	j := &job{
		id:      y.serial,
		account: fmt.Sprintf("account-%d", account),
		prefix:  account*y.plan.prefixes + y.random.IntN(y.plan.prefixes),
		prompt:  prefixTokens + promptTokens,
		tokens:  1 + int(y.random.ExpFloat64()*meanTokens),
	}
	set := y.sets[y.random.IntN(len(y.sets))]
	y.send(set, j, small, nil)
}

// send offers a job to one target after another.
func (y *play) send(set *route.Set, j *job, small bool, tried []*route.Candidate) {
	r := route.NewRequest(1, route.Hash(j.account, fmt.Sprint(j.prefix)))
	c := y.plan.policy(set, r, tried, y.random)
	if c == nil || len(tried) >= maxTries {
		y.refuse(small)
		return
	}
	y.out.tries++
	c.AddInFlight(1)
	n := y.index(set, c)
	y.after(y.plan.network, func() { y.reach(set, c, n, j, small, append(tried, c)) })
}

func (y *play) index(set *route.Set, c *route.Candidate) int {
	for n, o := range set.Candidates() {
		if o == c {
			return n
		}
	}
	panic("forecast: a candidate of another set")
}

func (y *play) refuse(small bool) {
	y.out.refused++
	if small {
		y.out.small++
	}
}

// reach is a job's arrival at an engine.
func (y *play) reach(set *route.Set, c *route.Candidate, n int, j *job, small bool, tried []*route.Candidate) {
	e := y.engines[n]
	if j.arrived == 0 {
		j.arrived = y.now
	}
	hit := e.cached(j.prefix)
	j.done = func() { y.finish(c, j, small) }
	j.evicted = func() { y.again(set, c, j, small, tried) }
	accepted, evicted := e.offer(j, 1, y.now, y.plan.patience)
	for _, o := range evicted {
		o.evicted()
	}
	if !accepted {
		y.again(set, c, j, small, tried)
		return
	}
	y.counts[n]++
	y.out.begun++
	if hit {
		y.out.hits++
	}
	y.run(e)
}

// again offers a job elsewhere that a target had no room for.
func (y *play) again(set *route.Set, c *route.Candidate, j *job, small bool, tried []*route.Candidate) {
	c.RemoveInFlight(1)
	c.RecordRefusal(true)
	y.after(y.plan.network, func() { y.send(set, j, small, tried) })
}

// finish ends a job that was accepted; one with tokens left has expired.
func (y *play) finish(c *route.Candidate, j *job, small bool) {
	c.RemoveInFlight(1)
	if j.tokens > 0 {
		y.refuse(small)
		return
	}
	y.out.served++
	y.out.perSec[int(y.now/time.Second)]++
}

// run lets an engine step for as long as it has work.
func (y *play) run(e *engine) {
	if e.busy || len(e.running) == 0 {
		return
	}
	e.busy = true
	d, prefill := e.stepTime()
	y.after(d, func() {
		e.busy = false
		for _, t := range e.step(y.now, prefill) {
			y.token(t)
		}
		y.run(e)
	})
}

func (y *play) token(t emitted) {
	h := y.out.between
	if t.first {
		h = y.out.first
	}
	_ = h.RecordValue(min(int64(t.gap/time.Microsecond), histogramMost))
}

func (y *play) imbalance() float64 {
	most, sum := 0, 0
	for _, n := range y.counts {
		most = max(most, n)
		sum += n
	}
	return float64(most*len(y.counts)) / float64(max(sum, 1))
}
