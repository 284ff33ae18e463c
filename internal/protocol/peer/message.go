package peer

import (
	"bluebellcrank/internal/coordination/membership"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/target"
)

// The methods between processes.
const (
	MethodExchange = "revision.exchange"
	MethodHead     = "config.head"
	MethodFiles    = "config.files"
	MethodList     = "list.parts"
	MethodReport   = "target.report"
	MethodSettle   = "attempt.settle"
	MethodConfirm  = "attempt.confirm"
	MethodKeep     = "refusal.keep"
	MethodWritten  = "refusal.written"
	MethodSuspect  = "suspect.spread"
	MethodStatus   = "process.status"
	MethodDump     = "process.dump"
)

// Empty is the parameter or result of a method that has none.
type Empty struct{}

// Exchange tells a peer which revision the sender holds and where the sender
// answers; the reply is the receiver's own. HeardMs is how long ago the sender
// had word from the platform or from outside its data centre, ListMs how long
// ago the platform had the sender's instance list, negative for none.
type Exchange struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data-centre"`
	Address    string `json:"address"`
	Revision   int64  `json:"revision"`
	HeardMs    int64  `json:"heard-ms"`
	ListMs     int64  `json:"list-ms"`
	ListHash   uint64 `json:"list-hash"`
}

// ListRequest asks for the parts of the instance list that differ.
type ListRequest struct {
	Digest membership.Digest `json:"digest"`
}

// ListReply has those parts, and how long ago the platform had them.
type ListReply struct {
	AgeMs int64             `json:"age-ms"`
	Parts []membership.Part `json:"parts"`
}

// FileRequest names files by digest.
type FileRequest struct {
	Digests []string `json:"digests"`
}

// FileReply carries those of the requested files that the peer has.
type FileReply struct {
	Files []config.File `json:"files"`
}

// ReportRequest asks an agent about its target.
type ReportRequest struct {
	Revision int64 `json:"revision"`
}

// AttemptRef names an attempt at one incarnation of an agent; Cancel asks
// that it never runs if it has not yet begun to; Claimed says that the asker
// found the attempt's claim, so that the agent must have seen it.
type AttemptRef struct {
	Attempt     string `json:"attempt"`
	Incarnation string `json:"incarnation"`
	Cancel      bool   `json:"cancel,omitempty"`
	Claimed     bool   `json:"claimed,omitempty"`
}

// Progress is how far an attempt is.
type Progress string

const (
	// NeverSeen says that the agent has never seen the attempt and, from now
	// on, never runs it.
	NeverSeen Progress = "never-seen"
	// Refused says that the attempt was refused before it ran.
	Refused Progress = "refused"
	// Pending says that the attempt has not yet ended.
	Pending Progress = "pending"
	// Finished says that the whole answer is there.
	Finished Progress = "finished"
	// Lost says that the agent is another incarnation and does not know.
	Lost Progress = "lost"
	// Failed says that the attempt ended without a whole answer.
	Failed Progress = "failed"
)

// Settlement answers for an attempt; Bytes is the answer's length so
// far, Deaths how many targets died while they ran the request.
type Settlement struct {
	Progress Progress `json:"progress"`
	Bytes    int64    `json:"bytes"`
	Deaths   int      `json:"deaths,omitempty"`
}

// KeepRefusals asks a peer to keep refusals until they are written.
type KeepRefusals struct {
	Process  string            `json:"process"`
	Refusals []refusal.Refusal `json:"refusals"`
}

// WrittenRefusals names the refusals that a peer need keep no longer.
type WrittenRefusals struct {
	Process string   `json:"process"`
	IDs     []string `json:"ids"`
}

// Suspect is a request that was running when its target died.
type Suspect struct {
	Fingerprint uint64 `json:"fingerprint"`
	Deaths      int    `json:"deaths"`
	AgeMs       int64  `json:"age-ms"`
}

// Status is what an operator sees of a process at a glance.
type Status struct {
	Instance   string         `json:"instance"`
	Role       target.Role    `json:"role"`
	DataCentre string         `json:"data-centre"`
	Revision   int64          `json:"revision"`
	Ready      bool           `json:"ready"`
	Report     *target.Report `json:"report,omitempty"`
	Pending    int            `json:"refusals-pending"`
	Dropped    int            `json:"refusals-dropped"`
	Kept       int            `json:"refusals-kept-for-peers"`
}

// Dump is a process's state in YAML.
type Dump struct {
	YAML string `json:"yaml"`
}
