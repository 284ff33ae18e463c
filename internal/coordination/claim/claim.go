package claim

import "time"

// Action is what the owner of a claim does next.
type Action string

const (
	// Create writes the own record where there is none.
	Create Action = "create"
	// Read reads the record that is there.
	Read Action = "read"
	// TakeOver writes the own record over the version that was read.
	TakeOver Action = "take-over"
	// AskHolder asks the agent in the record how far its attempt is.
	AskHolder Action = "ask-holder"
	// Run lets the target see the request.
	Run Action = "run"
	// Attach delivers the holder's answer.
	Attach Action = "attach"
	// RefusePlatform refuses: the platform gave no answer; not run.
	RefusePlatform Action = "refuse-platform"
	// RefuseLate refuses: the deadline has passed; not run.
	RefuseLate Action = "refuse-late"
	// RefuseReused refuses: the key came with another request before; not run.
	RefuseReused Action = "refuse-reused"
	// RefuseUnknown refuses: another attempt may have run.
	RefuseUnknown Action = "refuse-unknown"
)

// Outcome is how a call to the platform ended.
type Outcome string

const (
	// Done says that the call succeeded.
	Done Outcome = "done"
	// Conflict says that the version was not the expected one.
	Conflict Outcome = "conflict"
	// Missing says that there is no record.
	Missing Outcome = "missing"
	// Unavailable says that no answer came; a write may have taken effect.
	Unavailable Outcome = "unavailable"
)

// HolderState is what the holder of a record says about its attempt.
type HolderState string

const (
	// NeverRan says that the attempt did not run and never will.
	NeverRan HolderState = "never-ran"
	// Answering says that the answer is there or still comes.
	Answering HolderState = "answering"
	// Lost says that the holder cannot be asked or has no answer.
	Lost HolderState = "lost"
)

// platformTries is how often a claim asks a platform that does not answer.
const platformTries = 3

// Claim is the way of one attempt from its first write to its verdict. It is
// driven by one owner: each method takes a result and returns what is next.
type Claim struct {
	own      Record
	deadline time.Time
	found    Record
	version  int64
	failures int
	written  bool
}

// New starts a claim; the own record is in state Held.
func New(own Record, deadline time.Time) *Claim {
	own.State = Held
	return &Claim{own: own, deadline: deadline}
}

// Own returns the record to write.
func (c *Claim) Own() Record { return c.own }

// Found returns the record that was read last.
func (c *Claim) Found() Record { return c.found }

// Version returns the version to write over in a TakeOver.
func (c *Claim) Version() int64 { return c.version }

// Start returns the first action.
func (c *Claim) Start(now time.Time) Action {
	return c.unlessLate(Create, now)
}

// HandleWrite takes the outcome of a Create or a TakeOver.
func (c *Claim) HandleWrite(o Outcome, now time.Time) Action {
	switch o {
	case Done:
		c.written = true
		return c.unlessLate(Run, now)
	case Unavailable:
		c.written = true
		return c.tryAgain(Read, now)
	default:
		return c.unlessLate(Read, now)
	}
}

// HandleRead takes the outcome of a HandleRead.
func (c *Claim) HandleRead(r Record, version int64, o Outcome, now time.Time) Action {
	switch o {
	case Missing:
		return c.unlessLate(Create, now)
	case Unavailable:
		return c.tryAgain(Read, now)
	}
	c.found, c.version = r, version
	switch {
	case r.Attempt == c.own.Attempt && r.State == Held:
		c.written = true
		return c.unlessLate(Run, now)
	case r.State == Abandoned:
		return c.unlessLate(TakeOver, now)
	case r.Digest != c.own.Digest:
		return RefuseReused
	}
	return AskHolder
}

// HandleHolderState takes what the holder says.
func (c *Claim) HandleHolderState(s HolderState, now time.Time) Action {
	switch s {
	case NeverRan:
		return c.unlessLate(TakeOver, now)
	case Answering:
		return Attach
	}
	return RefuseUnknown
}

// MayRun is the last look before the target sees the request: the owner may
// have been paused since the platform answered.
func (c *Claim) MayRun(now time.Time) bool {
	return now.Before(c.deadline)
}

// NeedsAbandon reports whether a refused claim may stand in the platform as
// held and has to be marked as abandoned.
func (c *Claim) NeedsAbandon() bool { return c.written }

func (c *Claim) unlessLate(a Action, now time.Time) Action {
	if c.MayRun(now) {
		return a
	}
	return RefuseLate
}

func (c *Claim) tryAgain(a Action, now time.Time) Action {
	c.failures++
	if c.failures >= platformTries {
		return RefusePlatform
	}
	return c.unlessLate(a, now)
}
