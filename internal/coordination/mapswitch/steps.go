package mapswitch

// maxStepsAhead is how many passes a step may lie ahead of the ranks when a change
// chooses it.
const maxStepsAhead = lossyStepMargin

// UsedSteps bounds the steps that the changes of a rank group have used, as far as one
// leader knows. A Release names only its step, so a delayed one of an earlier change,
// also of another process, would release a later change that holds the same step. The
// zero value knows no group. It is not safe for concurrent use.
type UsedSteps struct {
	epoch int64
	last  int64
}

// Assume records what the leader has to assume if another agent, or an earlier process
// of its own, may have led the group until the ranks reported a step: no change chooses
// a step more than maxStepsAhead after it, so all up to there may have been used. Steps
// of earlier epochs are forgotten, since ranks refuse their orders.
func (u *UsedSteps) Assume(epoch, step int64) {
	if epoch != u.epoch {
		*u = UsedSteps{epoch: epoch}
	}
	u.Record(step + maxStepsAhead)
}

// Record records a step that a change or a recovery of this leader used.
func (u *UsedSteps) Record(step int64) { u.last = max(u.last, step) }

// Epoch returns the epoch whose steps are bounded, or 0 for none.
func (u *UsedSteps) Epoch() int64 { return u.epoch }

// Last returns the last step that may have been used.
func (u *UsedSteps) Last() int64 { return u.last }

// AllowsChange reports whether a change can choose a step that no earlier one may have
// used, while the ranks are at the given step. An idle group makes no passes, so it
// soon allows none.
func (u *UsedSteps) AllowsChange(step int64) bool { return u.last < step+maxStepsAhead }
