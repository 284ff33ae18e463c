package switchover

// Kind is the type of a message.
type Kind string

const (
	// Query asks a rank for its state under the coordinator's fencing number.
	Query Kind = "query"
	// State is a rank's answer to a Query.
	State Kind = "state"
	// Prepare asks a rank to load a map that is to be used from a step on.
	Prepare Kind = "prepare"
	// Ack reports that the rank has loaded the map and will not begin the step
	// before it knows the outcome.
	Ack Kind = "ack"
	// Nack reports that the rank cannot prepare the change, for example because
	// it may already run the step or is rejoining after a restart.
	Nack Kind = "nack"
	// Commit reports that every rank acknowledged the change.
	Commit Kind = "commit"
	// Committed confirms that the rank uses the map from its step on. It differs
	// from Ack because a delayed copy of an Ack may still be in transit.
	Committed Kind = "committed"
	// Abort reports that the change is dropped.
	Abort Kind = "abort"
	// Refused reports that the rank rejected a Commit, because some rank, possibly
	// the sender itself, has restarted since its acknowledgement.
	Refused Kind = "refused"
	// OutcomeQuery asks another rank for the outcome of a prepared change.
	OutcomeQuery Kind = "ask"
	// Rejoin tells another rank that the sender has restarted.
	Rejoin Kind = "rejoin"
	// PeerState answers a Rejoin or an OutcomeQuery with the rank's state.
	PeerState Kind = "welcome"
)

// CoordinatorID stands for the coordinator as the sender or receiver of a message.
// Ranks are numbered from zero.
const CoordinatorID = -1

// Change is a switch to a map version, which is used from a step on.
type Change struct {
	Version int64 `json:"version"`
	Step    int64 `json:"step"`
}

// Message is exchanged between a coordinator and the ranks of a group, or between
// two ranks.
type Message struct {
	Kind  Kind  `json:"kind"`
	From  int   `json:"from"`
	To    int   `json:"to"`
	Fence int64 `json:"fence"`
	// Starts holds each rank's start number, which rises whenever the rank's agent
	// restarts, as far as the sender knows it. In an Ack only the sender's own
	// number matters; a Commit has the number that each rank sent with its Ack.
	Starts   []int64 `json:"starts,omitempty"`
	Change   Change  `json:"change"`   // that the coordinator's message or its answer is about
	Current  Change  `json:"current"`  // in force at the sending rank
	Prepared Change  `json:"prepared"` // at the sending rank, outcome unknown
	Granted  int64   `json:"granted"`  // the sending rank's engine may run the steps before this one
}
