package rankagent

import (
	"time"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/state/expert"
)

// The methods between the agents of a group.
const (
	methodSample = "rank.sample"
	methodOrder  = "rank.order"
)

// sampleRequest asks an agent for its rank's state and renews the leader's
// lock on it.
type sampleRequest struct {
	Leader string `json:"leader"`
	Rank   int    `json:"rank"`
	// Counts asks which experts were chosen since the last such sample.
	Counts bool `json:"counts,omitempty"`
	// Experts asks for the experts that the rank holds.
	Experts bool `json:"experts,omitempty"`
}

type sampleReply struct {
	// Granted says that the agent takes orders from the leader; else Holder
	// is the rank of the agent that it takes orders from.
	Granted bool               `json:"granted"`
	Holder  int                `json:"holder"`
	Report  *expert.RankReport `json:"report,omitempty"`
	// Counts are how often each expert was chosen, as varints: the links
	// between agents are narrow.
	Counts  []byte  `json:"counts,omitempty"`
	Experts [][]int `json:"experts,omitempty"`
}

// orderRequest has an agent give its engine an order.
type orderRequest struct {
	Leader string          `json:"leader"`
	Rank   int             `json:"rank"`
	Epoch  int64           `json:"epoch"`
	Order  mapswitch.Order `json:"order"`
	Layout []byte          `json:"layout,omitempty"`
	// issued is the boot time at which this process made the order; 0 where
	// another one did.
	issued time.Duration
}

type orderReply struct {
	Granted bool `json:"granted"`
	// Answered says that the engine answered the order.
	Answered bool `json:"answered"`
	// Report is the rank's state after the order; nil if it could not be read.
	Report *expert.RankReport `json:"report,omitempty"`
}
