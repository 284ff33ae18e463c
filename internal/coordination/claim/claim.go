package claim

import "time"

// Action is the next step of the owner of a Claim, or its final verdict.
type Action string

const (
	// Create writes this attempt's record if there is no record.
	Create Action = "create"
	// Read reads the existing record.
	Read Action = "read"
	// TakeOver replaces the version of the record that was read by this
	// attempt's record.
	TakeOver Action = "take-over"
	// AskHolder asks the agent named in the record for the state of its
	// attempt.
	AskHolder Action = "ask-holder"
	// Run sends the request to the target.
	Run Action = "run"
	// Attach delivers the answer of the attempt that holds the record.
	Attach Action = "attach"
	// RefusePlatform refuses the attempt, which did not run: the platform did
	// not answer.
	RefusePlatform Action = "refuse-platform"
	// RefuseLate refuses the attempt, which did not run: its deadline has
	// passed.
	RefuseLate Action = "refuse-late"
	// RefuseReused refuses the attempt, which did not run: its idempotency key
	// was used with a different request before.
	RefuseReused Action = "refuse-reused"
	// RefuseUnknown refuses the attempt: another one may have run.
	RefuseUnknown Action = "refuse-unknown"
)

// Outcome is the result of a call to the platform.
type Outcome string

const (
	// Done means that the call succeeded.
	Done Outcome = "done"
	// Conflict means that the record did not have the expected version.
	Conflict Outcome = "conflict"
	// Missing means that there is no record.
	Missing Outcome = "missing"
	// Unavailable means that the platform did not answer; a write may have
	// taken effect.
	Unavailable Outcome = "unavailable"
)

// HolderState is the state that the holder of a record reports for its
// attempt.
type HolderState string

const (
	// NeverRan means that the attempt did not run and never will.
	NeverRan HolderState = "never-ran"
	// Answering means that the answer is complete or in progress.
	Answering HolderState = "answering"
	// Lost means that the holder cannot be reached or has no answer.
	Lost HolderState = "lost"
)

// platformFailuresToRefuse is the number of calls without an answer from the
// platform after which a claim is refused.
const platformFailuresToRefuse = 3

// Claim is the state machine that claims an idempotency key for one attempt,
// from the first write of the record to the verdict. Its owner carries out each
// action and passes the result to the method that returns the next one. It is
// not safe for concurrent use.
type Claim struct {
	own          Record
	deadline     time.Time
	found        Record
	version      int64
	failures     int
	mayBeWritten bool
}

// New returns a claim that writes the given record in state Held.
func New(own Record, deadline time.Time) *Claim {
	own.State = Held
	return &Claim{own: own, deadline: deadline}
}

// Own returns the record to write.
func (c *Claim) Own() Record { return c.own }

// Found returns the record of the last successful read.
func (c *Claim) Found() Record { return c.found }

// Version returns the version that TakeOver replaces.
func (c *Claim) Version() int64 { return c.version }

// Start returns the first action.
func (c *Claim) Start(now time.Time) Action {
	return c.unlessExpired(Create, now)
}

// HandleWrite returns the action that follows the outcome of a Create or a
// TakeOver.
func (c *Claim) HandleWrite(o Outcome, now time.Time) Action {
	switch o {
	case Done:
		c.mayBeWritten = true
		return c.unlessExpired(Run, now)
	case Unavailable:
		c.mayBeWritten = true
		return c.retryUnlessExhausted(Read, now)
	default:
		return c.unlessExpired(Read, now)
	}
}

// HandleRead returns the action that follows the outcome of a Read.
func (c *Claim) HandleRead(r Record, version int64, o Outcome, now time.Time) Action {
	switch o {
	case Missing:
		return c.unlessExpired(Create, now)
	case Unavailable:
		return c.retryUnlessExhausted(Read, now)
	}
	c.found, c.version = r, version
	switch {
	case r.Attempt == c.own.Attempt && r.State == Held:
		c.mayBeWritten = true
		return c.unlessExpired(Run, now)
	case r.State == Abandoned:
		return c.unlessExpired(TakeOver, now)
	case r.Digest != c.own.Digest:
		return RefuseReused
	}
	return AskHolder
}

// HandleHolderState returns the action that follows the answer of an AskHolder.
func (c *Claim) HandleHolderState(s HolderState, now time.Time) Action {
	switch s {
	case NeverRan:
		return c.unlessExpired(TakeOver, now)
	case Answering:
		return Attach
	}
	return RefuseUnknown
}

// MayRun reports whether the deadline has not passed. The owner checks it again
// just before it sends the request to the target, because its process may have
// been paused since the platform answered.
func (c *Claim) MayRun(now time.Time) bool {
	return now.Before(c.deadline)
}

// NeedsAbandon reports whether the platform may have a held record of this
// attempt, which has to be marked as abandoned if the claim is refused.
func (c *Claim) NeedsAbandon() bool { return c.mayBeWritten }

// unlessExpired returns the action, or RefuseLate if the deadline has passed.
func (c *Claim) unlessExpired(a Action, now time.Time) Action {
	if c.MayRun(now) {
		return a
	}
	return RefuseLate
}

// retryUnlessExhausted counts a call without an answer and returns the action
// to continue with, or RefusePlatform after too many of them.
func (c *Claim) retryUnlessExhausted(a Action, now time.Time) Action {
	c.failures++
	if c.failures >= platformFailuresToRefuse {
		return RefusePlatform
	}
	return c.unlessExpired(a, now)
}
