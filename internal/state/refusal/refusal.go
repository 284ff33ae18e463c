package refusal

import "time"

// Effect says what is known about a refused request.
type Effect string

const (
	// NotRun promises that no target saw a byte of the request.
	NotRun Effect = "not-run"
	// Unknown says that the request may have run.
	Unknown Effect = "unknown"
)

// Reason is why a request was refused, out of a closed set.
type Reason string

// The reasons; docs/OPERATIONS.md says what an operator does about each.
const (
	BadRequest       Reason = "bad-request"
	NoIdempotencyKey            Reason = "idempotency-key-missing"
	IdempotencyKeyReused        Reason = "idempotency-key-reused"
	Unauthorized     Reason = "unauthorized"
	Forbidden        Reason = "forbidden"
	UnknownService        Reason = "unknown-service"
	TooLarge         Reason = "too-large"
	RateLimited      Reason = "rate-limited"
	Full             Reason = "full"
	TimedOut         Reason = "timed-out"
	Leaving          Reason = "leaving"
	OutOfService     Reason = "data-centre-out"
	Isolated         Reason = "isolated"
	NotReady         Reason = "not-ready"
	NoTarget         Reason = "no-target"
	TargetDown       Reason = "target-down"
	PlatformDown     Reason = "platform-down"
	Cancelled        Reason = "cancelled"
	Suspected        Reason = "suspected"
	ConnectionLost   Reason = "connection-lost"
	AnswerLost       Reason = "answer-lost"
	AlreadyAttempted Reason = "already-attempted"
)

// Refusal is one request that was turned away.
type Refusal struct {
	ID         string    `json:"id"`
	Reason     Reason    `json:"reason"`
	Effect     Effect    `json:"effect"`
	Account    string    `json:"account,omitempty"`
	Service    string    `json:"service,omitempty"`
	Attempt    string    `json:"attempt,omitempty"`
	Process    string    `json:"process"`
	Time       time.Time `json:"time"`
	Detail     string    `json:"detail,omitempty"`
	RetryAfter int       `json:"retry-after,omitempty"`
}

// Status returns the HTTP status that goes with the reason.
func (r Reason) Status() int {
	switch r {
	case BadRequest, NoIdempotencyKey:
		return 400
	case Unauthorized:
		return 401
	case Forbidden:
		return 403
	case UnknownService:
		return 404
	case AlreadyAttempted:
		return 409
	case TooLarge:
		return 413
	case IdempotencyKeyReused, Suspected:
		return 422
	case RateLimited:
		return 429
	case ConnectionLost, AnswerLost:
		return 502
	case TimedOut:
		return 504
	}
	return 503
}

// IsRetryableElsewhere reports whether another target may take the request.
func (r Reason) IsRetryableElsewhere() bool {
	switch r {
	case Full, Leaving, OutOfService, Isolated, NotReady, TargetDown:
		return true
	}
	return false
}
