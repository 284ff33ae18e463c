package refusal

import (
	"maps"
	"slices"
)

// explanations say what each reason means, for operators.
var explanations = map[Reason]string{
	BadRequest:       "the request was malformed",
	NoIdempotencyKey:            "the request may run at most once and came without an Idempotency-Key",
	IdempotencyKeyReused:        "the Idempotency-Key came before with another request",
	Unauthorized:     "the API key was missing or unknown",
	Forbidden:        "the account may not use the service",
	UnknownService:        "no service has this name",
	TooLarge:         "the request was over a size limit",
	RateLimited:      "the account was over its requests per second",
	Full:             "the targets had no room, or the wait would have passed the deadline",
	TimedOut:         "the deadline passed",
	Leaving:          "the target was leaving",
	OutOfService:     "the data centre was out of service",
	Isolated:         "the process was cut off and could not hear whether its data centre was out",
	NotReady:         "the process had just started or held no configuration",
	NoTarget:         "no target of the service took requests",
	TargetDown:       "the target did not accept connections",
	PlatformDown:     "the platform did not record that the request runs at most once, or did not confirm the caller's key",
	Cancelled:        "the entry withdrew the request before it ran",
	Suspected:        "targets died while they ran this request",
	ConnectionLost:   "the connection was lost after the request may have been sent",
	AnswerLost:       "the target ran the request, but its answer is not whole or no longer kept",
	AlreadyAttempted: "an earlier attempt with this Idempotency-Key may have run and has no answer left",
}

// Explain returns what the reason means.
func (r Reason) Explain() string { return explanations[r] }

// Reasons returns every reason, sorted.
func Reasons() []Reason {
	return slices.Sorted(maps.Keys(explanations))
}

// Explain returns what the effect means.
func (e Effect) Explain() string {
	if e == NotRun {
		return "no target saw the request; it can be sent again"
	}
	return "the request may have run; send it again only with the same Idempotency-Key"
}
