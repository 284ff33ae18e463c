package forecast

import (
	"slices"
	"time"

	"bluebellcrank/internal/coordination/admission"
)

// Model is how fast an engine is: continuous batching with chunked prefill,
// and a cache of so many prompt prefixes.
type Model struct {
	stepBase     time.Duration
	stepPerBatch time.Duration
	prefillRate  int // tokens a second
	prefillChunk int // tokens a step
	prefixes     int // prefixes kept
	bounds       admission.Bounds
	warmLimit    int
	queueLimit   int
}

// Defaults sets an engine that meets 71 ms between tokens at its warm limit.
func (m *Model) Defaults() {
	m.stepBase = 12 * time.Millisecond
	m.stepPerBatch = 900 * time.Microsecond
	m.prefillRate = 20_000
	m.prefillChunk = 512
	m.prefixes = 16
	m.SetLimits(4, 32, 100, 16)
}

// SetLimits takes the limits of a service's targets.
func (m *Model) SetLimits(cold, warm, warmUp, queue int) {
	m.bounds = admission.NewBounds(cold, warm, warmUp)
	m.warmLimit = warm
	m.queueLimit = queue
}

// job is one generation request at an engine.
type job struct {
	id      uint64
	account string
	prefix  int
	prompt  int
	tokens  int
	arrived time.Duration
	last    time.Duration
	done    func()
	evicted func()
}

// engine is one target with the gate of the agent beside it.
type engine struct {
	model   Model
	speed   float64
	gate    *admission.Gate
	warmth  *admission.Warmth
	running []*job
	waiting map[uint64]*job
	cache   []int
	busy    bool
}

func newEngine(m Model) *engine {
	return &engine{
		model:   m,
		speed:   1,
		gate:    admission.NewGate(0, m.queueLimit),
		warmth:  admission.NewWarmth(m.bounds),
		waiting: map[uint64]*job{},
	}
}

// warmUp makes the engine as warm as its limits allow.
func (e *engine) warmUp() {
	for !e.warmth.IsWarm() {
		e.warmth.RecordCompletion(1, 0)
	}
}

// restart makes the engine cold and empties its cache.
func (e *engine) restart() {
	e.warmth.Reset()
	e.cache = nil
}

// offer is an arrival at the gate.
func (e *engine) offer(j *job, weight int, now time.Duration, patience time.Duration) (accepted bool, evicted []*job) {
	e.gate.SetLimits(e.warmth.Limit(), e.model.queueLimit)
	t := admission.NewTicket(j.id, j.account, weight, 1, at(now+patience), false)
	d := e.gate.Offer(t, at(now))
	for _, id := range d.Evicted() {
		evicted = append(evicted, e.waiting[id])
		delete(e.waiting, id)
	}
	switch d.Verdict() {
	case admission.Granted:
		e.begin(j)
		return true, evicted
	case admission.Queued:
		e.waiting[j.id] = j
		return true, evicted
	}
	return false, evicted
}

// begin puts a job into the batch; a cached prefix need not be computed.
func (e *engine) begin(j *job) {
	if n := slices.Index(e.cache, j.prefix); n >= 0 {
		e.cache = slices.Delete(e.cache, n, n+1)
		j.prompt -= prefixTokens
	}
	e.cache = append(e.cache, j.prefix)
	if len(e.cache) > e.model.prefixes {
		e.cache = e.cache[1:]
	}
	e.running = append(e.running, j)
}

// cached reports whether a prefix is in the cache.
func (e *engine) cached(prefix int) bool { return slices.Contains(e.cache, prefix) }

// stepTime is how long the next step takes, and the tokens of prompt in it.
func (e *engine) stepTime() (d time.Duration, prefill int) {
	decoding := 0
	for _, j := range e.running {
		if j.prompt > 0 {
			prefill += min(j.prompt, e.model.prefillChunk-prefill)
			continue
		}
		decoding++
	}
	d = e.model.stepBase + time.Duration(decoding)*e.model.stepPerBatch
	d += time.Duration(prefill) * time.Second / time.Duration(e.model.prefillRate)
	return time.Duration(float64(d) / e.speed), prefill
}

// emitted is a token that a step made.
type emitted struct {
	job   *job
	first bool
	gap   time.Duration
}

// step ends a step of the whole batch, which had so much prefill in it.
func (e *engine) step(now time.Duration, prefill int) []emitted {
	var out []emitted
	kept := e.running[:0]
	for _, j := range e.running {
		switch {
		case j.prompt > 0 && prefill > 0:
			part := min(j.prompt, prefill)
			j.prompt -= part
			prefill -= part
			if j.prompt == 0 {
				out = append(out, emitted{job: j, first: true, gap: now - j.arrived})
				j.last = now
				j.tokens--
			}
		case j.prompt == 0:
			out = append(out, emitted{job: j, gap: now - j.last})
			j.last = now
			j.tokens--
		}
		if j.tokens > 0 {
			kept = append(kept, j)
			continue
		}
		e.finish(j, now)
	}
	e.running = kept
	e.admit(now)
	return out
}

func (e *engine) finish(j *job, now time.Duration) {
	e.gate.Done(j.id)
	e.gate.SetMeanServiceTime((now - j.arrived))
	e.warmth.RecordCompletion(1, e.paceOf())
	j.done()
}

// paceOf is the engine's present step time, its sign of speed.
func (e *engine) paceOf() time.Duration {
	d, _ := e.stepTime()
	return d
}

// admit lets queued jobs into the batch.
func (e *engine) admit(now time.Duration) {
	e.gate.SetLimits(e.warmth.Limit(), e.model.queueLimit)
	granted, expired := e.gate.Dispatch(at(now))
	for _, id := range granted {
		e.begin(e.waiting[id])
		delete(e.waiting, id)
	}
	for _, id := range expired {
		e.waiting[id].done()
		delete(e.waiting, id)
	}
}

// epoch is the zero of virtual time.
var epoch = time.Unix(0, 0).UTC()

func at(d time.Duration) time.Time { return epoch.Add(d) }
