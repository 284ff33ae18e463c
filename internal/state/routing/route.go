package routing

import "time"

// Kind tells whether a request may run more than once and how it is answered.
type Kind int

const (
	// AtMostOnce requests must not run twice, even if the answer is lost.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with a stream of events.
	Stream
)

// Share is the share of a route's requests that one service gets.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is the size of the share, relative to the route's other shares.
	Weight int
}

// Route is the configuration of the requests with one host and path prefix. The
// platform's adapter sets the fields; afterwards a route is not modified.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting. A request that has
	// not ended by then is refused, or its answer is cut off if it has begun.
	Timeout time.Duration
	// FirstByteGoal is the latency goal for the answer or for the first event.
	FirstByteGoal time.Duration
	// GapGoal is the latency goal for the gap between two events of a stream.
	GapGoal time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Shares are the services that answer the requests, with their weights.
	Shares []Share
	// MaxTargets is the maximum number of targets that one request of a client may
	// be sent to.
	MaxTargets int
	// Anonymous routes need no API key.
	Anonymous bool
	// Resumable streams may be continued at another target after their last event.
	Resumable bool
}

// IsRepeatable reports whether a request of the route may run more than once, as
// idempotent requests and resumable streams may.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns a service, chosen by weight, for a random number in [0, 1).
// It returns "" if the route has no services.
func (r *Route) PickService(random float64) string {
	totalWeight := 0
	for _, s := range r.Shares {
		totalWeight += s.Weight
	}
	remaining := random * float64(totalWeight)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is the configuration of the targets of a service.
type Service struct {
	Name string
	// HealthPath is the path of a target's health check.
	HealthPath string
	// MaxConnections limits the connections to one target from all instances.
	MaxConnections int
	// ColdPerSecond is the request rate limit of a cold target; 0 is no limit.
	ColdPerSecond float64
	// Engine describes the model engines of the service; nil for others.
	Engine *EngineProfile
}

// EngineProfile describes model engines that run in groups of ranks.
type EngineProfile struct {
	// Slots is the maximum number of requests that an engine processes concurrently.
	Slots int
	// LayerSets is the number of sets of expert layers; the layers of a set share
	// one assignment of experts to ranks.
	LayerSets int
	// Experts is the number of experts in each layer set.
	Experts int
	// ExpertSlots is the number of experts of a layer set that a rank can hold.
	ExpertSlots int
	// MaxLoadsPerSet is the maximum number of experts of a layer set that a rank may
	// load in one preparation of a map.
	MaxLoadsPerSet int
	// ExpertShare is the share of the step time that the experts use.
	ExpertShare float64
	// ExpertLoadTime is the time that a rank needs to load one expert.
	ExpertLoadTime time.Duration
}

// DefaultBodyBytes limits a request body where the configuration has no limit.
const DefaultBodyBytes = 8 << 20

// Limits are the limits on the requests and connections of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}
