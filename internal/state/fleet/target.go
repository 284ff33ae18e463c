package fleet

import "time"

// Target is one running server of a service, as it registered itself. The
// fields are exported because the platform's adapter sets them.
type Target struct {
	// ID names one run of the server.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is how many requests the target works on at once.
	Slots int
	// Leaving targets take no new work.
	Leaving bool
	// ColdRemaining is how much longer the target bears only little load, as of its
	// last word.
	ColdRemaining time.Duration
	// Group is the rank group that the target belongs to; empty for none.
	Group string
	// Rank is the target's place in its group.
	Rank int
	// IsGroupBroken says that the group waits for a rank.
	IsGroupBroken bool
}

// Change is one change of the list of targets.
type Change struct {
	ID string
	// Target is nil where the target is gone or its entry names none.
	Target *Target
}
