package rankagent

import (
	"time"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/state/expert"
)

// Methods that the leader calls on the agents of its group.
const (
	methodSample  = "rank.sample"
	methodOrder   = "rank.order"
	methodForward = "rank.forward"
)

// sampleRequest requests the state of an agent's rank. It acquires or renews the
// leader's lock on the agent.
type sampleRequest struct {
	Leader string `json:"leader"`
	Rank   int    `json:"rank"`
	// HoldsStep is set if the leader's rank holds a step that another leader left.
	HoldsStep bool `json:"holds-step,omitempty"`
	// Counts requests how often each expert was chosen since the previous sample
	// with counts.
	Counts bool `json:"counts,omitempty"`
	// Experts requests the experts that the rank holds, by layer set.
	Experts bool `json:"experts,omitempty"`
	// Fresh requests a report that is not that of an earlier sample.
	Fresh bool `json:"fresh,omitempty"`
}

// sampleReply is an agent's reply to a sampleRequest.
type sampleReply struct {
	// Granted reports whether the leader holds the lock. Holder is the rank of
	// the agent that holds it.
	Granted bool `json:"granted"`
	Holder  int  `json:"holder"`
	// Acquisition identifies the leader's acquisition of the lock. Another value than
	// before means that another leader may have held it in between; 0 is that of an agent
	// whose build does not tell.
	Acquisition int64              `json:"acquisition,omitempty"`
	Report      *expert.RankReport `json:"report,omitempty"`
	// Counts is how often each expert was chosen, encoded as varints and
	// compressed because the links between agents have little bandwidth.
	Counts  []byte  `json:"counts,omitempty"`
	Experts [][]int `json:"experts,omitempty"`
}

// orderRequest tells an agent to send an order to its engine.
type orderRequest struct {
	Leader string          `json:"leader"`
	Rank   int             `json:"rank"`
	Epoch  int64           `json:"epoch"`
	Order  mapswitch.Order `json:"order"`
	// Layout is the layout that a Prepare or a Fence carries.
	Layout *layoutChanges `json:"layout-changes,omitempty"`
	// issuedAt is the boot time at which this process created the order; 0 for
	// an order from another process.
	issuedAt time.Duration
	// maxAge is the age above which this process discards an order of its own.
	maxAge time.Duration
}

// orderReply is an agent's reply to an orderRequest. Granted reports whether
// the leader holds the lock.
type orderReply struct {
	Granted bool `json:"granted"`
	// Answered reports whether the engine responded to the order, even if it
	// refused it.
	Answered bool `json:"answered"`
	// NeedsLayout reports that the agent did not send the order because it lacks
	// the layout to which the changes apply.
	NeedsLayout bool `json:"needs-layout,omitempty"`
	// Report is the rank's state after the order; nil if it could not be read.
	Report *expert.RankReport `json:"report,omitempty"`
}
