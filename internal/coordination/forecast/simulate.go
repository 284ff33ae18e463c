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
	prefixTokens     = 1200
	promptTokens     = 300
	meanAnswerTokens = 120
	maxAttempts      = 4 // per request
)

// timedEvent runs a function at a virtual time. Events at the same time run in
// the order in which they were scheduled.
type timedEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []timedEvent

func (s eventQueue) Len() int { return len(s) }
func (s eventQueue) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *eventQueue) Push(x any) { *s = append(*s, x.(timedEvent)) }

// Pop implements heap.Interface.
func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// simulation is the state of one simulation of a plan.
type simulation struct {
	plan              Plan
	random            *rand.Rand
	now               time.Duration
	seq               int
	events            eventQueue
	engines           []*engine
	sets              []*route.Set
	acceptedPerEngine []int
	lastID            uint64
	outcome           *Outcome
}

// Simulate runs a plan for its duration and returns the results.
func Simulate(p Plan) *Outcome {
	s := &simulation{
		plan:              p,
		random:            rand.New(rand.NewPCG(p.seed, 3)),
		acceptedPerEngine: make([]int, p.engines),
		outcome: &Outcome{
			timesToFirstToken: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
			tokenGaps:         hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
			servedPerSecond:   make([]int, int(p.duration/time.Second)+1),
		},
	}
	s.setUp()
	s.schedule(s.interarrivalTime(), s.arrive)
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(timedEvent)
		if next.at > p.duration {
			break
		}
		s.now = next.at
		next.run()
	}
	s.outcome.maxToMeanLoad = s.maxToMeanLoad()
	return s.outcome
}

// schedule runs a function after a delay of virtual time.
func (s *simulation) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, timedEvent{at: s.now + d, seq: s.seq, run: run})
}

// setUp creates warm engines and, for each entry, its candidates.
func (s *simulation) setUp() {
	var instances []target.Instance
	for n := range s.plan.engines {
		e := newEngine(s.plan.model)
		e.warmUp()
		s.engines = append(s.engines, e)
		instances = append(instances, target.Instance{ID: fmt.Sprintf("engine-%d", n), Role: target.Agent})
	}
	if s.plan.stragglerSpeed != 1 {
		s.engines[0].speed = s.plan.stragglerSpeed
	}
	if s.plan.hasRestart {
		s.schedule(s.plan.duration/3, s.engines[len(s.engines)-1].restart)
	}
	for range s.plan.entries {
		candidates := make([]*route.Candidate, len(instances))
		for n, i := range instances {
			candidates[n] = route.NewCandidate(i, true)
			s.deliverReport(candidates[n], n, s.snapshot(n))
		}
		s.sets = append(s.sets, route.NewSet(candidates))
	}
}

// snapshot returns the current report of an engine's agent.
func (s *simulation) snapshot(engineIndex int) target.Report {
	e := s.engines[engineIndex]
	latency := max(e.warmth.MeanLatency(), e.currentStepTime())
	return target.Report{
		Limit:     e.warmth.Limit(),
		Running:   e.gate.RunningUnits(),
		Waiting:   e.gate.QueuedRequests(),
		LatencyMs: int(latency / time.Millisecond),
	}
}

// deliverReport delivers a report to a candidate and schedules the next one: it
// is taken now and delivered when it has the age that the plan sets.
func (s *simulation) deliverReport(c *route.Candidate, engineIndex int, r target.Report) {
	c.SetReport(r, timeAt(s.now))
	next := s.snapshot(engineIndex)
	s.schedule(s.plan.reportAge, func() { s.deliverReport(c, engineIndex, next) })
}

// interarrivalTime returns a random time to the next arrival of a Poisson process.
func (s *simulation) interarrivalTime() time.Duration {
	return time.Duration(s.random.ExpFloat64() / s.currentRate() * float64(time.Second))
}

func (s *simulation) isFlooding() bool {
	third := s.plan.duration / 3
	return s.plan.floodFactor > 0 && s.now >= third && s.now < 2*third
}

func (s *simulation) currentRate() float64 {
	if s.isFlooding() {
		return s.plan.rate * (1 + s.plan.floodFactor)
	}
	return s.plan.rate
}

// arrive creates a request of a random account, sends it, and schedules the next
// arrival. The squared random number gives low-numbered accounts more requests.
func (s *simulation) arrive() {
	s.schedule(s.interarrivalTime(), s.arrive)
	s.outcome.requests++
	s.lastID++
	account := int(math.Floor(math.Pow(s.random.Float64(), 2) * float64(s.plan.accounts)))
	if s.isFlooding() && s.random.Float64() < s.plan.floodFactor/(1+s.plan.floodFactor) {
		account = 0
	}
	isSmallAccount := account != 0
	j := &job{
		id:         s.lastID,
		account:    fmt.Sprintf("account-%d", account),
		prefix:     account*s.plan.prefixesPerAccount + s.random.IntN(s.plan.prefixesPerAccount),
		promptLeft: prefixTokens + promptTokens,
		tokensLeft: 1 + int(s.random.ExpFloat64()*meanAnswerTokens),
	}
	set := s.sets[s.random.IntN(len(s.sets))]
	s.send(set, j, isSmallAccount, nil)
}

// send picks a target for a job and sends the job there, or refuses the job if no
// target or attempt is left.
func (s *simulation) send(set *route.Set, j *job, isSmallAccount bool, tried []*route.Candidate) {
	r := route.NewRequest(1, route.Hash(j.account, fmt.Sprint(j.prefix)))
	c := s.plan.policy(set, r, tried, s.random)
	if c == nil || len(tried) >= maxAttempts {
		s.refuse(isSmallAccount)
		return
	}
	s.outcome.attempts++
	c.AddInFlight(1)
	engineIndex := s.candidateIndex(set, c)
	s.schedule(s.plan.networkDelay, func() { s.deliver(set, c, engineIndex, j, isSmallAccount, append(tried, c)) })
}

func (s *simulation) candidateIndex(set *route.Set, c *route.Candidate) int {
	for n, other := range set.Candidates() {
		if other == c {
			return n
		}
	}
	panic("forecast: candidate is not in the entry's set")
}

func (s *simulation) refuse(isSmallAccount bool) {
	s.outcome.refused++
	if isSmallAccount {
		s.outcome.smallAccountRefusals++
	}
}

// deliver offers a job to the engine that it was sent to.
func (s *simulation) deliver(set *route.Set, c *route.Candidate, engineIndex int, j *job, isSmallAccount bool, tried []*route.Candidate) {
	e := s.engines[engineIndex]
	if j.arrivedAt == 0 {
		j.arrivedAt = s.now
	}
	isHit := e.isCached(j.prefix)
	j.onDone = func() { s.finish(c, j, isSmallAccount) }
	j.onEvicted = func() { s.retry(set, c, j, isSmallAccount, tried) }
	accepted, evicted := e.offer(j, 1, s.now, s.plan.queueTimeout)
	for _, o := range evicted {
		o.onEvicted()
	}
	if !accepted {
		s.retry(set, c, j, isSmallAccount, tried)
		return
	}
	s.acceptedPerEngine[engineIndex]++
	s.outcome.accepted++
	if isHit {
		s.outcome.hits++
	}
	s.startStep(e)
}

// retry sends a job that a target refused or evicted to another target.
func (s *simulation) retry(set *route.Set, c *route.Candidate, j *job, isSmallAccount bool, tried []*route.Candidate) {
	c.RemoveInFlight(1)
	c.RecordRefusal(true)
	s.schedule(s.plan.networkDelay, func() { s.send(set, j, isSmallAccount, tried) })
}

// finish records the end of an accepted job. A job with tokens left expired in
// the queue and counts as refused.
func (s *simulation) finish(c *route.Candidate, j *job, isSmallAccount bool) {
	c.RemoveInFlight(1)
	if j.tokensLeft > 0 {
		s.refuse(isSmallAccount)
		return
	}
	s.outcome.served++
	s.outcome.servedPerSecond[int(s.now/time.Second)]++
}

// startStep starts an engine's next step unless it is idle or already in a step.
// Each completed step starts the next one.
func (s *simulation) startStep(e *engine) {
	if e.isStepping || len(e.running) == 0 {
		return
	}
	e.isStepping = true
	d, prefill := e.nextStep()
	s.schedule(d, func() {
		e.isStepping = false
		for _, t := range e.step(s.now, prefill) {
			s.recordToken(t)
		}
		s.startStep(e)
	})
}

func (s *simulation) recordToken(t emittedToken) {
	h := s.outcome.tokenGaps
	if t.isFirst {
		h = s.outcome.timesToFirstToken
	}
	_ = h.RecordValue(min(int64(t.gap/time.Microsecond), histogramMaxMicros))
}

// maxToMeanLoad returns the ratio of the busiest engine's accepted jobs to the mean.
func (s *simulation) maxToMeanLoad() float64 {
	busiest, sum := 0, 0
	for _, n := range s.acceptedPerEngine {
		busiest = max(busiest, n)
		sum += n
	}
	return float64(busiest*len(s.acceptedPerEngine)) / float64(max(sum, 1))
}
