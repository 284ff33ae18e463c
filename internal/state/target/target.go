package target

// Role tells which program an instance runs.
type Role string

const (
	// Entry receives requests from callers and sends them to the agents of targets.
	Entry Role = "entry"
	// Agent runs next to one target and sends requests to it.
	Agent Role = "agent"
)

// Instance is one element of the platform's instance list. Peer and Traffic are
// host:port addresses, for calls between processes and for requests.
type Instance struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	Service    string `json:"service,omitempty"`
	DataCentre string `json:"data-centre"`
	Peer       string `json:"peer-address"`
	Traffic    string `json:"traffic-address"`
	Leaving    bool   `json:"leaving"`
	Group      string `json:"group,omitempty"`
	Rank       int    `json:"rank,omitempty"`
}

// Report is the load report of an agent about its target. Limit and Running are
// units of work, Waiting is the number of queued requests, LatencyMs the mean
// latency. Boot identifies one start of the target, Incarnation one start of the
// agent. Refusing is the reason why the agent accepts no requests; empty if it
// accepts them. Revision is that of the configuration in use.
type Report struct {
	Instance    string `json:"instance"`
	Service     string `json:"service"`
	DataCentre  string `json:"data-centre"`
	Incarnation string `json:"incarnation"`
	Boot        string `json:"boot"`
	Limit       int    `json:"limit"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	LatencyMs   int    `json:"latency-ms"`
	Refusing    string `json:"refusing,omitempty"`
	Revision    int64  `json:"revision"`
}
