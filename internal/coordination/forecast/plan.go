package forecast

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bluebellcrank/internal/coordination/route"
)

const (
	histogramMaxMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// Policy picks a target from an entry's candidates, or nil if none is usable.
// The tried candidates have refused the request already.
type Policy func(s *route.Set, r route.Request, tried []*route.Candidate, random *rand.Rand) *route.Candidate

// DefaultPolicy picks a target as entries do in production.
func DefaultPolicy(s *route.Set, r route.Request, tried []*route.Candidate, random *rand.Rand) *route.Candidate {
	return s.Pick(r, tried, random)
}

// Plan holds the parameters of a simulation.
type Plan struct {
	model              Model
	entries            int
	engines            int
	accounts           int
	prefixesPerAccount int
	rate               float64 // requests per second
	duration           time.Duration
	reportAge          time.Duration // age of an agent's report when an entry receives it
	networkDelay       time.Duration // one way, between entry and agent
	queueTimeout       time.Duration
	stragglerSpeed     float64 // speed of the first engine; 1 is normal
	hasRestart         bool    // the last engine restarts after a third of the duration
	floodFactor        float64 // extra load from the first account, as a multiple of rate
	policy             Policy
	seed               uint64
}

// Defaults sets the parameters of the current drafting pool: 16 engines behind 3
// entries.
func (p *Plan) Defaults() {
	p.model.Defaults()
	p.entries = 3
	p.engines = 16
	p.accounts = 10
	p.prefixesPerAccount = 6
	p.rate = 40
	p.duration = 2 * time.Minute
	p.reportAge = 200 * time.Millisecond
	p.networkDelay = 3 * time.Millisecond
	p.queueTimeout = 10 * time.Second
	p.stragglerSpeed = 1
	p.policy = DefaultPolicy
	p.seed = 1
}

// WithModel returns the plan with the given engine model and number of engines.
func (p Plan) WithModel(m Model, engines int) Plan {
	p.model, p.engines = m, engines
	return p
}

// WithAccounts returns the plan with n client accounts, at least one.
func (p Plan) WithAccounts(n int) Plan {
	p.accounts = max(n, 1)
	return p
}

// WithDurationAndSeed returns the plan with the given duration and random seed.
func (p Plan) WithDurationAndSeed(d time.Duration, seed uint64) Plan {
	p.duration, p.seed = d, seed
	return p
}

// WithRate returns the plan with the given rate in requests per second.
func (p Plan) WithRate(rate float64) Plan {
	p.rate = rate
	return p
}

// WithPolicy returns the plan with the given policy.
func (p Plan) WithPolicy(policy Policy) Plan {
	p.policy = policy
	return p
}

// WithFaults returns the plan with one engine at stragglerSpeed, where 1 is
// normal, and optionally another engine that restarts after a third of the
// duration.
func (p Plan) WithFaults(stragglerSpeed float64, hasRestart bool) Plan {
	p.stragglerSpeed, p.hasRestart = stragglerSpeed, hasRestart
	return p
}

// WithFlood returns the plan with the first account sending, in the middle third
// of the duration, factor times the plan's rate on top of the normal load.
func (p Plan) WithFlood(factor float64) Plan {
	p.floodFactor = factor
	return p
}

// overloadRate is far above the capacity of any modelled engine, in requests per
// second and engine.
const overloadRate = 15

// Capacity returns the answers per second that a plan's warm targets complete
// under heavy overload, after the first quarter of the plan's duration.
func Capacity(p Plan) float64 {
	o := Simulate(p.WithRate(overloadRate * float64(p.engines)))
	return o.Goodput(p.duration/4, p.duration)
}

// Outcome holds the results of a simulation.
type Outcome struct {
	timesToFirstToken    *hdrhistogram.Histogram
	tokenGaps            *hdrhistogram.Histogram
	requests             int
	served               int
	refused              int
	hits                 int
	accepted             int
	smallAccountRefusals int
	maxToMeanLoad        float64
	attempts             int
	servedPerSecond      []int
}

// TimeToFirstToken returns quantile q, from 0 to 1, of the time to first token.
func (o *Outcome) TimeToFirstToken(q float64) time.Duration { return quantile(o.timesToFirstToken, q) }

// TokenGap returns quantile q, from 0 to 1, of the gap between two tokens.
func (o *Outcome) TokenGap(q float64) time.Duration { return quantile(o.tokenGaps, q) }

// Requests returns the number of requests that arrived.
func (o *Outcome) Requests() int { return o.requests }

// Served returns the number of requests that were answered completely.
func (o *Outcome) Served() int { return o.served }

// Refused returns the number of requests that were refused or expired in a queue.
func (o *Outcome) Refused() int { return o.refused }

// SmallAccountRefusals returns the number of refused requests of all accounts but
// the first, which is the largest and the one that floods.
func (o *Outcome) SmallAccountRefusals() int { return o.smallAccountRefusals }

// HitRate returns the fraction of accepted requests whose prefix was cached.
func (o *Outcome) HitRate() float64 { return float64(o.hits) / float64(max(o.accepted, 1)) }

// MaxToMeanLoad returns the ratio of the accepted requests of the busiest engine
// to the mean over all engines.
func (o *Outcome) MaxToMeanLoad() float64 { return o.maxToMeanLoad }

// AttemptsPerRequest returns the mean number of targets that a request was sent to.
func (o *Outcome) AttemptsPerRequest() float64 {
	return float64(o.attempts) / float64(max(o.requests, 1))
}

// Goodput returns the completed answers per second between two virtual times.
func (o *Outcome) Goodput(from, to time.Duration) float64 {
	sum := 0
	for s := int(from / time.Second); s < int(to/time.Second) && s < len(o.servedPerSecond); s++ {
		sum += o.servedPerSecond[s]
	}
	return float64(sum) / (to - from).Seconds()
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Microsecond
}
