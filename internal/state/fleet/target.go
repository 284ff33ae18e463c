package fleet

import "time"

// Target is one running server of a service, as it registered itself with the
// platform, whose adapter sets the fields.
type Target struct {
	// ID identifies one run of the server.
	ID string
	// StartedAtMs is when this run started, in Unix milliseconds; 0 if not stated. A
	// server may start again under the same ID.
	StartedAtMs int64
	Service     string
	Address     string
	DataCentre  string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Leaving is set for a target that accepts no new requests.
	Leaving bool
	// ColdRemaining is how much longer the target is cold (accepts only a limited
	// rate of requests), as of its last heartbeat.
	ColdRemaining time.Duration
	// Group is the rank group of the target; empty for none.
	Group string
	// Rank is the index of the target in its group.
	Rank int
	// IsGroupBroken is set while the group is missing a rank.
	IsGroupBroken bool
}

// Change is one change to the list of targets.
type Change struct {
	ID string
	// Target is nil if the target was removed or its registration is invalid.
	Target *Target
}
