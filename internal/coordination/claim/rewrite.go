package claim

// RewriteAction is the next step of the owner of a Rewrite.
type RewriteAction string

const (
	// RewriteCreate writes the record if there is no record.
	RewriteCreate RewriteAction = "create"
	// RewriteRead reads the existing record.
	RewriteRead RewriteAction = "read"
	// RewriteReplace replaces the record that was read.
	RewriteReplace RewriteAction = "replace"
	// RewriteAsk asks the agent named in the record for the state of its attempt.
	RewriteAsk RewriteAction = "ask"
	// RewriteWait waits and starts again.
	RewriteWait RewriteAction = "wait"
	// RewriteDone ends the rewrite: the platform has a record of this attempt.
	RewriteDone RewriteAction = "done"
	// RewriteLost ends the rewrite: another attempt holds the key and may run.
	RewriteLost RewriteAction = "lost"
)

// Rewrite is the state machine that writes a held record again which the platform may
// have lost. The owner carries out each action and passes its result to the method that
// returns the next one.
type Rewrite struct{ own Record }

// NewRewrite returns the state machine that writes a record again in state Held.
func NewRewrite(own Record) Rewrite {
	own.State = Held
	return Rewrite{own: own}
}

// Own returns the record to write.
func (w Rewrite) Own() Record { return w.own }

// Start returns the first action, initially and after each RewriteWait.
func (w Rewrite) Start() RewriteAction { return RewriteCreate }

// HandleWrite returns the action that follows the outcome of a RewriteCreate or a
// RewriteReplace.
func (w Rewrite) HandleWrite(o Outcome) RewriteAction {
	switch o {
	case Done:
		return RewriteDone
	case Unavailable:
		return RewriteWait
	}
	return RewriteRead
}

// HandleRead returns the action that follows the outcome of a RewriteRead. A record that
// is abandoned belongs to an attempt that never ran.
func (w Rewrite) HandleRead(r Record, o Outcome) RewriteAction {
	switch {
	case o == Unavailable:
		return RewriteWait
	case o == Missing:
		return RewriteCreate
	case r.Attempt == w.own.Attempt:
		return RewriteDone
	case r.State == Abandoned:
		return RewriteReplace
	}
	return RewriteAsk
}

// HandleHolderState returns the action that follows the answer of a RewriteAsk. The copy
// may hold a record that this attempt had taken over.
func (w Rewrite) HandleHolderState(s HolderState) RewriteAction {
	if s == NeverRan {
		return RewriteReplace
	}
	return RewriteLost
}
