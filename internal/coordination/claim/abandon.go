package claim

// AbandonAction is what the owner of a refused claim does next.
type AbandonAction string

const (
	// AbandonCreate writes the abandoned record where there is none, so that
	// a late write of the held one conflicts.
	AbandonCreate AbandonAction = "create"
	// AbandonRead reads the record that is there.
	AbandonRead AbandonAction = "read"
	// AbandonWrite writes the abandoned record over the version read.
	AbandonWrite AbandonAction = "write"
	// AbandonWait tries again later.
	AbandonWait AbandonAction = "wait"
	// AbandonDone says that no held record of this attempt stands.
	AbandonDone AbandonAction = "done"
)

// Abandonment is the way of a refused claim to a record that says so.
type Abandonment struct {
	own     Record
	version int64
}

// NewAbandonment starts to mark an attempt as never run.
func NewAbandonment(own Record) *Abandonment {
	own.State = Abandoned
	return &Abandonment{own: own}
}

// Own returns the record to write.
func (a *Abandonment) Own() Record { return a.own }

// Version returns the version to write over.
func (a *Abandonment) Version() int64 { return a.version }

// Start returns the first action, also after a wait.
func (a *Abandonment) Start() AbandonAction { return AbandonCreate }

// HandleWrite takes the outcome of a create or a write.
func (a *Abandonment) HandleWrite(o Outcome) AbandonAction {
	switch o {
	case Done:
		return AbandonDone
	case Unavailable:
		return AbandonWait
	}
	return AbandonRead
}

// HandleRead takes the outcome of a read.
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
