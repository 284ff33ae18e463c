package target

// Role says which program an instance runs.
type Role string

const (
	// Entry stands between callers and targets.
	Entry Role = "entry"
	// Agent stands beside one target.
	Agent Role = "agent"
)

// Instance is one row of the platform's instance list.
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

// Report is what an agent says about its target.
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
