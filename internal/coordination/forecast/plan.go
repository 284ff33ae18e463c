package forecast

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bluebellcrank/internal/coordination/route"
)

const (
	histogramMost  = int64(10 * time.Minute / time.Microsecond)
	histogramExact = 3
)

// Policy chooses a target out of an entry's set.
type Policy func(s *route.Set, r route.Request, tried []*route.Candidate, random *rand.Rand) *route.Candidate

// DefaultPolicy is the choice that entries make.
func DefaultPolicy(s *route.Set, r route.Request, tried []*route.Candidate, random *rand.Rand) *route.Candidate {
	return s.Pick(r, tried, random)
}

// Plan is what a forecast plays.
type Plan struct {
	model     Model
	entries   int
	engines   int
	accounts  int
	prefixes  int // of each account
	rate      float64
	duration  time.Duration
	reportAge time.Duration
	network   time.Duration
	patience  time.Duration
	straggler float64
	restarts  bool
	flood     float64
	policy    Policy
	seed      uint64
}

// Defaults sets today's drafting pool: 16 engines behind 3 entries.
func (p *Plan) Defaults() {
	p.model.Defaults()
	p.entries = 3
	p.engines = 16
	p.accounts = 10
	p.prefixes = 6
	p.rate = 40
	p.duration = 2 * time.Minute
	p.reportAge = 200 * time.Millisecond
	p.network = 3 * time.Millisecond
	p.patience = 10 * time.Second
	p.straggler = 1
	p.policy = DefaultPolicy
	p.seed = 1
}

// WithModel returns the plan with another engine.
func (p Plan) WithModel(m Model, engines int) Plan {
	p.model, p.engines = m, engines
	return p
}

// WithAccounts returns the plan with so many client accounts.
func (p Plan) WithAccounts(n int) Plan {
	p.accounts = max(n, 1)
	return p
}

// WithDurationAndSeed returns the plan with another length and seed.
func (p Plan) WithDurationAndSeed(d time.Duration, seed uint64) Plan {
	p.duration, p.seed = d, seed
	return p
}

// WithRate returns the plan with so many requests a second.
func (p Plan) WithRate(rate float64) Plan {
	p.rate = rate
	return p
}

// WithPolicy returns the plan with another choice of target.
func (p Plan) WithPolicy(policy Policy) Plan {
	p.policy = policy
	return p
}

// WithFaults returns the plan with one engine at a speed, 1 for sound, and
// another one that starts anew after a third of the time.
func (p Plan) WithFaults(straggler float64, restarts bool) Plan {
	p.straggler, p.restarts = straggler, restarts
	return p
}

// WithFlood returns the plan with the first account sending so many times the
// whole rate in the middle third.
func (p Plan) WithFlood(times float64) Plan {
	p.flood = times
	return p
}

// overload is far over what any engine of the model bears, a second.
const overload = 15

// Capacity returns the answers a second that a plan's targets give when they are
// warm and offered far too much.
func Capacity(p Plan) float64 {
	o := Simulate(p.WithRate(overload * float64(p.engines)))
	return o.Goodput(p.duration/4, p.duration)
}

// Outcome is what a forecast found.
type Outcome struct {
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	requests int
	served   int
	refused  int
	hits     int
	begun    int
	small    int
	mostMean float64
	tries    int
	perSec   []int
}

// TimeToFirstToken returns a quantile of the time to the first token.
func (o *Outcome) TimeToFirstToken(q float64) time.Duration { return quantile(o.first, q) }

// TokenGap returns a quantile of the time between two tokens.
func (o *Outcome) TokenGap(q float64) time.Duration { return quantile(o.between, q) }

// Requests returns how many requests arrived.
func (o *Outcome) Requests() int { return o.requests }

// Served returns how many requests were answered whole.
func (o *Outcome) Served() int { return o.served }

// Refused returns how many requests were turned away.
func (o *Outcome) Refused() int { return o.refused }

// SmallAccountRefusals returns how many of the refused were not the flood's.
func (o *Outcome) SmallAccountRefusals() int { return o.small }

// HitRate returns the part of the requests whose prefix was cached.
func (o *Outcome) HitRate() float64 { return float64(o.hits) / float64(max(o.begun, 1)) }

// MaxToMeanLoad returns the requests of the busiest engine over the mean.
func (o *Outcome) MaxToMeanLoad() float64 { return o.mostMean }

// AttemptsPerRequest returns how many targets a request was offered to.
func (o *Outcome) AttemptsPerRequest() float64 { return float64(o.tries) / float64(max(o.requests, 1)) }

// Goodput returns the answers a second between two moments.
func (o *Outcome) Goodput(from, to time.Duration) float64 {
	sum := 0
	for s := int(from / time.Second); s < int(to/time.Second) && s < len(o.perSec); s++ {
		sum += o.perSec[s]
	}
	return float64(sum) / (to - from).Seconds()
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Microsecond
}
