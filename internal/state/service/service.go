package service

import (
	"slices"
	"strings"
	"time"

	"bluebellcrank/internal/state/document"
)

// Kind is the kind of a service's targets.
type Kind string

const (
	// Engine services run on model engines that stream tokens.
	Engine Kind = "engine"
	// Plain services are all other HTTP services.
	Plain Kind = "plain"
)

const (
	maxTargets          = 100_000
	maxLimit            = 100_000
	maxWarmUpUnits      = 1_000_000
	maxQueue            = 100_000
	maxTokensPerUnit    = 1_000_000
	minTimeout          = 10 * time.Millisecond
	maxTimeout          = time.Hour
	bytesPerToken       = 4
	defaultOutputTokens = 256
	defaultTimeout      = 30 * time.Second
)

// Service is one service and the limits of each of its targets. The limits are in
// units of work: a unit is one request of a plain service, or tokensPerUnit tokens
// of an engine service. A Service is not modified after Read.
type Service struct {
	name            string
	kind            Kind
	expectedTargets int
	coldLimit       int
	warmLimit       int
	warmUpUnits     int
	queueLimit      int
	tokensPerUnit   int
	defaultTimeout  time.Duration
	firstTokenGoal  time.Duration
	tokenGapGoal    time.Duration
	isKeyRequired   bool
	isEchoRequired  bool
	nonIdempotent   []Rule
	rulesConfigured bool
}

// Defaults sets the values that apply unless configured.
func (s *Service) Defaults() {
	s.kind = Plain
	s.coldLimit = 2
	s.warmLimit = 16
	s.warmUpUnits = 64
	s.queueLimit = 32
	s.tokensPerUnit = 1024
	s.defaultTimeout = defaultTimeout
	s.firstTokenGoal = 400 * time.Millisecond
	s.tokenGapGoal = 71 * time.Millisecond
	s.isKeyRequired = true
}

// Read reads a service from a document and records its faults in the reader.
func Read(name string, r *document.Reader) *Service {
	s := &Service{name: name}
	s.Defaults()
	kind := string(s.kind)
	r.OneOf("kind", &kind, string(Engine), string(Plain))
	s.kind = Kind(kind)
	r.Int("targets", &s.expectedTargets, 0, maxTargets)
	r.Int("cold-limit", &s.coldLimit, 1, maxLimit)
	r.Int("warm-limit", &s.warmLimit, 1, maxLimit)
	r.Int("warm-up", &s.warmUpUnits, 1, maxWarmUpUnits)
	r.Int("queue-limit", &s.queueLimit, 0, maxQueue)
	r.Int("tokens-per-unit", &s.tokensPerUnit, 1, maxTokensPerUnit)
	r.Duration("timeout", &s.defaultTimeout, minTimeout, maxTimeout)
	r.Duration("first-token", &s.firstTokenGoal, time.Millisecond, time.Minute)
	r.Duration("between-tokens", &s.tokenGapGoal, time.Millisecond, time.Minute)
	r.Bool("key-required", &s.isKeyRequired)
	r.Bool("echo-required", &s.isEchoRequired)
	s.rulesConfigured = r.Has("non-idempotent")
	var rules []string
	r.TextList("non-idempotent", &rules)
	for _, t := range rules {
		s.addRule(t, r)
	}
	s.Validate(r)
	r.CheckUnknownKeys()
	return s
}

func (s *Service) addRule(text string, r *document.Reader) {
	method, path, found := strings.Cut(text, " ")
	if !found || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
		r.AddFault("non-idempotent", "non-idempotent: %q is not a method and a path, such as \"POST /ring\"", text)
		return
	}
	s.nonIdempotent = append(s.nonIdempotent, NewRule(method, path))
}

// Validate records a fault if the name has invalid characters or the cold limit
// exceeds the warm limit.
func (s *Service) Validate(r *document.Reader) {
	if strings.Trim(s.name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		r.AddFault("kind", "service %q: a name may contain only lower-case letters, digits and hyphens", s.name)
	}
	if s.coldLimit > s.warmLimit {
		r.AddFault("cold-limit", "cold-limit: %d exceeds warm-limit %d", s.coldLimit, s.warmLimit)
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Kind returns the kind of the service's targets.
func (s *Service) Kind() Kind { return s.kind }

// ExpectedTargets returns the configured number of targets, 0 for any number.
func (s *Service) ExpectedTargets() int { return s.expectedTargets }

// ColdLimit returns the units that a target can process concurrently just after
// its start.
func (s *Service) ColdLimit() int { return s.coldLimit }

// WarmLimit returns the units that a warm target can process concurrently.
func (s *Service) WarmLimit() int { return s.warmLimit }

// WarmUpUnits returns the number of completed units after which a target is warm.
func (s *Service) WarmUpUnits() int { return s.warmUpUnits }

// TokensPerUnit returns the tokens of one unit of an engine service.
func (s *Service) TokensPerUnit() int { return s.tokensPerUnit }

// QueueLimit returns how many requests may be queued for one target.
func (s *Service) QueueLimit() int { return s.queueLimit }

// DefaultTimeout returns the time limit of requests whose caller states no timeout. It
// is also the upper limit of a timeout that a caller states.
func (s *Service) DefaultTimeout() time.Duration { return s.defaultTimeout }

// FirstTokenGoal returns the latency goal for the first token.
func (s *Service) FirstTokenGoal() time.Duration { return s.firstTokenGoal }

// TokenGapGoal returns the latency goal for the gap between two tokens.
func (s *Service) TokenGapGoal() time.Duration { return s.tokenGapGoal }

// IsKeyRequired reports whether a non-idempotent request needs an Idempotency-Key.
func (s *Service) IsKeyRequired() bool { return s.isKeyRequired }

// IsEchoRequired reports whether a target must repeat the request ID in its answer.
func (s *Service) IsEchoRequired() bool { return s.isEchoRequired }

// NonIdempotentRules returns the rules that the operators configured, and whether they
// configured a list.
func (s *Service) NonIdempotentRules() ([]Rule, bool) {
	return slices.Clone(s.nonIdempotent), s.rulesConfigured
}

// IsNonIdempotent reports whether a request may run at most once. If the operators
// configure no list of rules, this holds for unsafe methods of plain services. An
// empty list means that it holds for no request.
func (s *Service) IsNonIdempotent(method, path string) bool {
	if !s.rulesConfigured {
		return s.kind == Plain && !isSafe(method)
	}
	for _, r := range s.nonIdempotent {
		if r.matches(method, path) {
			return true
		}
	}
	return false
}

// isSafe reports whether a method is safe, as defined in RFC 9110, section 9.2.1.
func isSafe(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	}
	return false
}

// Cost returns the units of one request, computed from the size of its body and
// the number of tokens it may generate (0 if the request does not state it). A
// request of a plain service costs one unit. The cost is limited to the cold limit,
// so that a cold target can accept any single request.
func (s *Service) Cost(bodyBytes, outputTokens int) int {
	if s.kind == Plain {
		return 1
	}
	if outputTokens <= 0 {
		outputTokens = defaultOutputTokens
	}
	tokens := bodyBytes/bytesPerToken + outputTokens
	units := (tokens + s.tokensPerUnit - 1) / s.tokensPerUnit
	return min(max(units, 1), s.coldLimit)
}
