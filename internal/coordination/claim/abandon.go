package claim

// AbandonAction is the next step of the owner of an Abandonment.
type AbandonAction string

const (
	// AbandonCreate writes the abandoned record if there is no record, so that
	// a delayed write of the held record conflicts.
	AbandonCreate AbandonAction = "create"
	// AbandonRead reads the existing record.
	AbandonRead AbandonAction = "read"
	// AbandonWrite replaces the version of the record that was read by the
	// abandoned record.
	AbandonWrite AbandonAction = "write"
	// AbandonWait waits and starts again.
	AbandonWait AbandonAction = "wait"
	// AbandonDone ends the abandonment: the platform has no held record of
	// this attempt.
	AbandonDone AbandonAction = "done"
)

// Abandonment is the state machine that marks a refused claim as abandoned in
// the platform. The owner carries out each action and passes its result to the
// method that returns the next one.
type Abandonment struct {
	own     Record
	version int64
}

// NewAbandonment returns the state machine that marks an attempt as never run.
func NewAbandonment(own Record) *Abandonment {
	own.State = Abandoned
	return &Abandonment{own: own}
}

// Own returns the record to write.
func (a *Abandonment) Own() Record { return a.own }

// Version returns the version that AbandonWrite replaces.
func (a *Abandonment) Version() int64 { return a.version }

// Start returns the first action, initially and after each AbandonWait.
func (a *Abandonment) Start() AbandonAction { return AbandonCreate }

// HandleWrite returns the action that follows the outcome of an AbandonCreate
// or AbandonWrite.
func (a *Abandonment) HandleWrite(o Outcome) AbandonAction {
	switch o {
	case Done:
		return AbandonDone
	case Unavailable:
		return AbandonWait
	}
	return AbandonRead
}

// HandleRead returns the action that follows the outcome of an AbandonRead.
func (a *Abandonment) HandleRead(r Record, version int64, o Outcome) AbandonAction {
	switch {
	case o == Unavailable:
		return AbandonWait
	case o == Missing:
		return AbandonCreate
	case r.Attempt != a.own.Attempt || r.State == Abandoned:
		return AbandonDone
	}
	a.version = version
	return AbandonWrite
}
