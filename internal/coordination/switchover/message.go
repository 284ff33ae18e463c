package switchover

// Kind is what a message says.
type Kind string

const (
	// Query asks a rank for its state under a new fencing number.
	Query Kind = "query"
	// State is a rank's answer to a Query.
	State Kind = "state"
	// Prepare asks a rank to load a map for a step.
	Prepare Kind = "prepare"
	// Ack says that the rank has loaded the map and will not begin the step
	// before it knows the outcome.
	Ack Kind = "ack"
	// Nack says that the rank cannot, because it is past the step or under a
	// later fencing number.
	Nack Kind = "nack"
	// Commit says that every rank acknowledged.
	Commit Kind = "commit"
	// Committed says that the rank uses the map from its step on; it is not an
	// Ack, of which a late copy may still be on its way.
	Committed Kind = "committed"
	// Abort says that the map is not used.
	Abort Kind = "abort"
	// Refused says that a rank did not take a Commit, since another rank's
	// acknowledgement is no longer good.
	Refused Kind = "refused"
	// OutcomeQuery asks another rank whether it knows the outcome.
	OutcomeQuery Kind = "ask"
	// Rejoin tells another rank that the sender has started anew.
	Rejoin Kind = "rejoin"
	// PeerState answers a Rejoin with the rank's state.
	PeerState Kind = "welcome"
)

// CoordinatorID is the coordinator's place among the senders and receivers;
// ranks count from zero.
const CoordinatorID = -1

// Change is a map that is to be used from a step on.
type Change struct {
	Version int64 `json:"version"`
	Step    int64 `json:"step"`
}

// Message goes between a coordinator and the ranks of a group, or between two
// ranks.
type Message struct {
	Kind  Kind  `json:"kind"`
	From  int   `json:"from"`
	To    int   `json:"to"`
	Fence int64 `json:"fence"`
	// Starts is how often each rank had started, as the sender knows it: in
	// an Ack only the sender's own, in a Commit those that acknowledged.
	Starts   []int64 `json:"starts,omitempty"`
	Change   Change  `json:"change"`
	Current  Change  `json:"current"`
	Prepared Change  `json:"prepared"`
	Granted  int64   `json:"granted"`
}
