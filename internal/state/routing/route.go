package routing

import "time"

// Kind says how often a request may run.
type Kind int

const (
	// AtMostOnce requests may run once, even if the answer is lost.
	AtMostOnce Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Stream requests are answered by a series of events.
	Stream
)

// Share is a service's part of a route's requests.
type Share struct {
	// Service is the service's name.
	Service string
	// Weight is the part, relative to the route's other shares.
	Weight int
}

// Route is what the operator wants for the requests of one host and path
// prefix. The fields are exported because the platform's adapter sets them; a
// route does not change afterwards.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// FirstByteGoal is the time to the answer or the first event.
	FirstByteGoal time.Duration
	// GapGoal is the longest pause between two events of a stream.
	GapGoal time.Duration
	// Priority ranks routes, 0 first.
	Priority int
	// Shares are the services that answer.
	Shares []Share
	// MaxTargets is how many targets one attempt of a client may be sent to.
	MaxTargets int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another target behind their last event.
	Resumable bool
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a random number from 0 to 1.
func (r *Route) PickService(random float64) string {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	at := random * float64(sum)
	for _, s := range r.Shares {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is what the operator says about the targets of a service.
type Service struct {
	Name string
	// HealthPath answers whether a target considers itself healthy.
	HealthPath string
	// MaxConnections bounds the connections to one target from all instances.
	MaxConnections int
	// ColdPerSecond is the rate that a cold target bears; 0 is no limit.
	ColdPerSecond float64
	// Engine describes the model engines of the service; nil for others.
	Engine *EngineProfile
}

// EngineProfile describes engines that run in groups of ranks.
type EngineProfile struct {
	// Slots is how many requests an engine works on at the most.
	Slots int
	// LayerSets is the number of sets of expert layers.
	LayerSets int
	// Experts is the number of experts of each layer set.
	Experts int
	// ExpertSlots is how many experts of a layer set a rank can hold.
	ExpertSlots int
	// MaxLoadsPerSet is how many experts of a layer set one preparation may load.
	MaxLoadsPerSet int
	// ExpertShare is the part of the work that the experts do.
	ExpertShare float64
	// ExpertLoadTime is how long a rank takes to load one expert.
	ExpertLoadTime time.Duration
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before the route's where Ranked is set.
	Priority int
	HasPriority   bool
}
