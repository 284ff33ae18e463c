package service

import (
	"strings"
	"time"

	"bluebellcrank/internal/state/document"
)

// Kind says what stands behind a service.
type Kind string

const (
	// Engine is a model engine that streams tokens.
	Engine Kind = "engine"
	// Plain is any other HTTP service.
	Plain Kind = "plain"
)

const (
	maxTargets     = 100_000
	maxLimit       = 100_000
	maxWarmUp      = 1_000_000
	maxQueue       = 100_000
	maxTokens      = 1_000_000
	minTimeout     = 10 * time.Millisecond
	maxTimeout     = time.Hour
	bytesPerToken  = 4
	defaultTokens  = 256
	defaultTimeout = 30 * time.Second
)

// Service is one service and the limits of each of its targets.
type Service struct {
	name          string
	kind          Kind
	targets       int
	coldLimit     int
	warmLimit     int
	warmUp        int
	queueLimit    int
	tokensPerUnit int
	timeout       time.Duration
	firstToken    time.Duration
	betweenTokens time.Duration
	keyRequired   bool
	echoRequired  bool
	nonIdempotent []rule
	rulesSet      bool
}

// rule matches requests by method and path; a path that ends in * matches
// whatever begins with the rest.
type rule struct {
	method string
	path   string
}

// Defaults sets the values of a service that says nothing.
func (s *Service) Defaults() {
	s.kind = Plain
	s.coldLimit = 2
	s.warmLimit = 16
	s.warmUp = 64
	s.queueLimit = 32
	s.tokensPerUnit = 1024
	s.timeout = defaultTimeout
	s.firstToken = 400 * time.Millisecond
	s.betweenTokens = 71 * time.Millisecond
	s.keyRequired = true
}

// Read takes a service out of a document and records each fault.
func Read(name string, r *document.Reader) *Service {
	s := &Service{name: name}
	s.Defaults()
	kind := string(s.kind)
	r.OneOf("kind", &kind, string(Engine), string(Plain))
	s.kind = Kind(kind)
	r.Int("targets", &s.targets, 0, maxTargets)
	r.Int("cold-limit", &s.coldLimit, 1, maxLimit)
	r.Int("warm-limit", &s.warmLimit, 1, maxLimit)
	r.Int("warm-up", &s.warmUp, 1, maxWarmUp)
	r.Int("queue-limit", &s.queueLimit, 0, maxQueue)
	r.Int("tokens-per-unit", &s.tokensPerUnit, 1, maxTokens)
	r.Duration("timeout", &s.timeout, minTimeout, maxTimeout)
	r.Duration("first-token", &s.firstToken, time.Millisecond, time.Minute)
	r.Duration("between-tokens", &s.betweenTokens, time.Millisecond, time.Minute)
	r.Bool("key-required", &s.keyRequired)
	r.Bool("echo-required", &s.echoRequired)
	s.rulesSet = r.Has("non-idempotent")
	var rules []string
	r.TextList("non-idempotent", &rules)
	for _, t := range rules {
		s.addRule(t, r)
	}
	s.Validate(r)
	r.CheckUnknownKeys()
	return s
}

func (s *Service) addRule(t string, r *document.Reader) {
	method, path, found := strings.Cut(t, " ")
	if !found || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
		r.AddFault("non-idempotent", "non-idempotent: %q is not a method and a path, such as \"POST /ring\"", t)
		return
	}
	s.nonIdempotent = append(s.nonIdempotent, rule{method: method, path: path})
}

// Validate records what is wrong with the service as a whole.
func (s *Service) Validate(r *document.Reader) {
	if strings.Trim(s.name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		r.AddFault("kind", "service %q: a name has lower-case letters, digits and hyphens", s.name)
	}
	if s.coldLimit > s.warmLimit {
		r.AddFault("cold-limit", "cold-limit: %d is over warm-limit %d", s.coldLimit, s.warmLimit)
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Kind returns what stands behind the service.
func (s *Service) Kind() Kind { return s.kind }

// ExpectedTargets returns how many targets the operators expect, 0 for any number.
func (s *Service) ExpectedTargets() int { return s.targets }

// ColdLimit returns the units a target bears just after its start.
func (s *Service) ColdLimit() int { return s.coldLimit }

// WarmLimit returns the units a warm target bears.
func (s *Service) WarmLimit() int { return s.warmLimit }

// WarmUpUnits returns the completed units after which a target counts as warm.
func (s *Service) WarmUpUnits() int { return s.warmUp }

// QueueLimit returns how many requests may wait for one target.
func (s *Service) QueueLimit() int { return s.queueLimit }

// DefaultTimeout returns how long a request may take that names no deadline.
func (s *Service) DefaultTimeout() time.Duration { return s.timeout }

// FirstTokenGoal returns the objective for the first token.
func (s *Service) FirstTokenGoal() time.Duration { return s.firstToken }

// TokenGapGoal returns the objective between two tokens.
func (s *Service) TokenGapGoal() time.Duration { return s.betweenTokens }

// IsKeyRequired reports whether a non-idempotent request needs a key.
func (s *Service) IsKeyRequired() bool { return s.keyRequired }

// IsEchoRequired reports whether targets repeat the request id in the answer.
func (s *Service) IsEchoRequired() bool { return s.echoRequired }

// IsNonIdempotent reports whether a request may run at most once; where the
// operators list no rules, a plain service's unsafe methods are meant.
func (s *Service) IsNonIdempotent(method, path string) bool {
	if !s.rulesSet {
		return s.kind == Plain && !safe(method)
	}
	for _, r := range s.nonIdempotent {
		if r.matches(method, path) {
			return true
		}
	}
	return false
}

func (r rule) matches(method, path string) bool {
	if r.method != method {
		return false
	}
	if prefix, found := strings.CutSuffix(r.path, "*"); found {
		return strings.HasPrefix(path, prefix)
	}
	return r.path == path
}

// safe is RFC 9110, section 9.2.1.
func safe(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	}
	return false
}

// Cost returns the units of one request, from the bytes of its body and the
// tokens it may generate (0 where it does not say).
func (s *Service) Cost(bodyBytes, outputTokens int) int {
	if s.kind == Plain {
		return 1
	}
	if outputTokens <= 0 {
		outputTokens = defaultTokens
	}
	tokens := bodyBytes/bytesPerToken + outputTokens
	units := (tokens + s.tokensPerUnit - 1) / s.tokensPerUnit
	return min(max(units, 1), s.coldLimit)
}
