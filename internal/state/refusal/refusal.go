package refusal

import "time"

// Effect tells whether a refused request may have run.
type Effect string

const (
	// NotRun guarantees that no target received any byte of the request.
	NotRun Effect = "not-run"
	// Unknown means that the request may have run.
	Unknown Effect = "unknown"
)

// Reason tells why a request was refused; its values are a closed set.
type Reason string

// The reasons for refusals. docs/OPERATIONS.md lists what an operator does about
// each of them.
const (
	BadRequest           Reason = "bad-request"
	NoIdempotencyKey     Reason = "idempotency-key-missing"
	IdempotencyKeyReused Reason = "idempotency-key-reused"
	Unauthorized         Reason = "unauthorized"
	Forbidden            Reason = "forbidden"
	UnknownService       Reason = "unknown-service"
	TooLarge             Reason = "too-large"
	HeaderTooLarge       Reason = "header-too-large"
	TooSlow              Reason = "too-slow"
	RateLimited          Reason = "rate-limited"
	Full                 Reason = "full"
	TimedOut             Reason = "timed-out"
	Leaving              Reason = "leaving"
	OutOfService         Reason = "data-centre-out"
	Isolated             Reason = "isolated"
	NotReady             Reason = "not-ready"
	NoTarget             Reason = "no-target"
	TargetDown           Reason = "target-down"
	PlatformDown         Reason = "platform-down"
	Cancelled            Reason = "cancelled"
	Suspected            Reason = "suspected"
	Quarantined          Reason = "quarantined"
	ConnectionLost       Reason = "connection-lost"
	AnswerLost           Reason = "answer-lost"
	AlreadyAttempted     Reason = "already-attempted"
	MemoryShort          Reason = "memory-short"
)

// Refusal records one refused request. RetryAfter is in seconds, 0 for none.
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

// Status returns the HTTP status code of an answer with this reason.
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
	case TooSlow:
		return 408
	case TooLarge:
		return 413
	case IdempotencyKeyReused, Suspected:
		return 422
	case RateLimited:
		return 429
	case HeaderTooLarge:
		return 431
	case ConnectionLost, AnswerLost:
		return 502
	case TimedOut:
		return 504
	}
	return 503
}

// IsRetryableElsewhere reports whether the request may be sent to another target
// after an agent refused it, before it ran, for this reason.
func (r Reason) IsRetryableElsewhere() bool {
	switch r {
	case Full, Leaving, OutOfService, Isolated, NotReady, TargetDown:
		return true
	}
	return false
}
