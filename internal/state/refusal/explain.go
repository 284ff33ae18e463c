package refusal

import (
	"maps"
	"slices"
)

// explanations describe each reason to operators.
var explanations = map[Reason]string{
	BadRequest:           "the request was malformed",
	NoIdempotencyKey:     "the request may run at most once and came without an Idempotency-Key",
	IdempotencyKeyReused: "the Idempotency-Key was already used for a different request",
	Unauthorized:         "the API key was missing or unknown",
	Forbidden:            "the account may not use the service",
	UnknownService:       "no service has this name",
	TooLarge:             "the request was over a size limit",
	HeaderTooLarge:       "the header was over the limit of the configuration",
	TooSlow:              "the body was not complete by the deadline",
	RateLimited:          "the account was over its requests per second",
	Full:                 "the targets had no free capacity, or the wait would have exceeded the deadline",
	TimedOut:             "the deadline passed",
	Leaving:              "the target was leaving",
	OutOfService:         "the data centre was out of service",
	Isolated:             "the process was isolated and could not learn whether its data centre was out of service",
	NotReady:             "the process had just started or had no configuration",
	NoTarget:             "no target of the service accepted requests",
	TargetDown:           "the target did not accept connections",
	PlatformDown:         "the platform did not record that the request runs at most once, or did not confirm the caller's key",
	Cancelled:            "the entry cancelled the request before it ran",
	Suspected:            "targets died while they ran this request",
	Quarantined:          "targets died as they began to answer this request or requests like it",
	ConnectionLost:       "the connection was lost after the request may have been sent",
	AnswerLost:           "the target ran the request, but its answer is incomplete or no longer stored",
	MemoryShort:          "the memory for requests of clients was short",
	AlreadyAttempted:     "an earlier attempt with this Idempotency-Key may have run, and its answer is no longer available",
}

// Explain describes the reason to an operator; it is empty for an unknown one.
func (r Reason) Explain() string { return explanations[r] }

// Reasons returns every reason, sorted.
func Reasons() []Reason {
	return slices.Sorted(maps.Keys(explanations))
}

// Explain describes the effect and whether the request can be sent again.
func (e Effect) Explain() string {
	if e == NotRun {
		return "no target received the request; it can be sent again"
	}
	return "the request may have run; send it again only with the same Idempotency-Key"
}
