package peer

import (
	"bluebellcrank/internal/coordination/claim"
	"bluebellcrank/internal/coordination/membership"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/target"
)

// Methods of the calls between processes. The comments name the parameter and the
// result of each; a notification has no result.
const (
	MethodExchange = "revision.exchange" // Exchange -> Exchange
	MethodHead     = "config.head"       // Empty -> config.Head
	MethodFiles    = "config.files"      // FileRequest -> FileReply
	MethodList     = "list.parts"        // ListRequest -> ListReply
	MethodReport   = "target.report"     // ReportRequest -> target.Report
	MethodSettle   = "attempt.settle"    // AttemptRef -> Settlement: the state of an attempt
	MethodConfirm  = "attempt.confirm"   // AttemptRef, a notification: the caller has the whole answer
	MethodKeep     = "refusal.keep"      // KeepRefusals, a notification
	MethodWritten  = "refusal.written"   // WrittenRefusals, a notification
	MethodClaims   = "claim.keep"        // KeepClaims, a notification
	MethodSuspect  = "suspect.spread"    // Suspect -> Empty
	MethodStatus   = "process.status"    // Empty -> Status
	MethodDump     = "process.dump"      // Empty -> Dump
)

// Empty is the parameter of a method without parameters, or the result of a method
// without a result.
type Empty struct{}

// Exchange contains the revision of the sender's configuration and the address at
// which the sender accepts calls. The receiver replies with its own Exchange.
// HeardMs is the time in milliseconds since the sender's last contact with the
// platform or with a peer outside its data centre. ListMs is the time in
// milliseconds since the platform is known to have had the sender's instance list,
// negative if the sender has no list.
type Exchange struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data-centre"`
	Address    string `json:"address"`
	Revision   int64  `json:"revision"`
	HeardMs    int64  `json:"heard-ms"`
	ListMs     int64  `json:"list-ms"`
	ListHash   uint64 `json:"list-hash"`
	// Generation is that of the platform's store, and GenerationMs how long a process has
	// known it; 0 if the store was never restored.
	Generation   int64 `json:"generation"`
	GenerationMs int64 `json:"generation-ms"`
}

// ListRequest requests the parts of the instance list that differ from a digest.
type ListRequest struct {
	Digest membership.Digest `json:"digest"`
}

// ListReply contains the parts that differ, and the time in milliseconds since the
// platform is known to have had the list.
type ListReply struct {
	AgeMs int64             `json:"age-ms"`
	Parts []membership.Part `json:"parts"`
}

// FileRequest requests configuration files by digest.
type FileRequest struct {
	Digests []string `json:"digests"`
}

// FileReply contains those of the requested files that the peer has.
type FileReply struct {
	Files []config.File `json:"files"`
}

// ReportRequest requests an agent's report about its target. Revision is the
// revision of the sender's configuration.
type ReportRequest struct {
	Revision int64 `json:"revision"`
}

// AttemptRef identifies an attempt at one incarnation of an agent. Cancel requests
// that the attempt is cancelled: one that is still queued then never runs, and a
// running one is stopped if it has no idempotency key.
// Claimed reports that the sender found the attempt's claim on its idempotency key,
// which means that the agent has received the attempt.
type AttemptRef struct {
	Attempt     string `json:"attempt"`
	Incarnation string `json:"incarnation"`
	Cancel      bool   `json:"cancel,omitempty"`
	Claimed     bool   `json:"claimed,omitempty"`
}

// Progress is the state of an attempt at an agent.
type Progress string

const (
	// NeverSeen means that the attempt has not run and that the agent, from now on,
	// never runs it. The agent has not received the attempt, or it refused the
	// attempt and no longer keeps its state.
	NeverSeen Progress = "never-seen"
	// Refused means that the attempt was refused before it ran.
	Refused Progress = "refused"
	// Pending means that the attempt has not ended.
	Pending Progress = "pending"
	// Finished means that the agent has the complete answer.
	Finished Progress = "finished"
	// Lost means that the agent does not know the result, because it has restarted
	// or no longer has the answer.
	Lost Progress = "lost"
	// Failed means that the attempt ended without a complete answer.
	Failed Progress = "failed"
)

// Settlement is an agent's reply about the state of an attempt. Bytes is the current
// length of the answer, Deaths the number of targets that died while they ran the
// request.
type Settlement struct {
	Progress Progress `json:"progress"`
	Bytes    int64    `json:"bytes"`
	Deaths   int      `json:"deaths,omitempty"`
}

// KeepRefusals asks a peer to keep copies of a process's refusals until the process
// has written them to the platform.
type KeepRefusals struct {
	Process  string            `json:"process"`
	Refusals []refusal.Refusal `json:"refusals"`
}

// KeepClaims asks an agent to keep copies of another agent's claims, to write them again
// if the platform loses them and that agent does not.
type KeepClaims struct {
	Claims []claim.Entry `json:"claims"`
}

// WrittenRefusals lists refusals that a process has written, so that the peer can
// delete its copies.
type WrittenRefusals struct {
	Process string   `json:"process"`
	IDs     []string `json:"ids"`
}

// Suspect describes a request that was running when a target died. Deaths is the
// number of targets that died, AgeMs the time in milliseconds since the last death.
type Suspect struct {
	Fingerprint uint64 `json:"fingerprint"`
	Deaths      int    `json:"deaths"`
	AgeMs       int64  `json:"age-ms"`
}

// Status is a summary of a process's state for operators. Report is set for an agent.
// Pending and Dropped are the numbers of the process's own refusals that are not yet
// written or were dropped, Kept is the number that it keeps for peers.
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

// Dump contains the detailed state of a process in YAML.
type Dump struct {
	YAML string `json:"yaml"`
}
