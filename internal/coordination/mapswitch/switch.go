package mapswitch

import (
	"slices"
	"time"

	"bluebellcrank/internal/state/expert"
)

// Kind is the action that an order requests from a rank.
type Kind string

const (
	// Prepare loads the experts of the new map.
	Prepare Kind = "prepare"
	// Hold keeps the group from beginning the step.
	Hold Kind = "hold"
	// Arm makes the rank use the map from the step on.
	Arm Kind = "arm"
	// Disarm reverts an Arm.
	Disarm Kind = "disarm"
	// Fence prepares the map in force under a higher version, so that a delayed
	// Arm is refused because its version is no longer prepared.
	Fence Kind = "fence"
	// Release lets the group begin the held step.
	Release Kind = "release"
	// Query only reads the rank's state.
	Query Kind = "look"
)

// Order is an order to one rank.
type Order struct {
	Rank    int
	Kind    Kind
	Version int64
	Step    int64
}

// Stage is the progress of a change.
type Stage string

const (
	// Preparing waits until every rank has loaded its experts.
	Preparing Stage = "preparing"
	// Holding waits until the step is held.
	Holding Stage = "holding"
	// Arming waits until every rank is armed.
	Arming Stage = "arming"
	// Committing releases the step on which all ranks switch.
	Committing Stage = "committing"
	// Aborting waits until no rank is armed or can be armed by a delayed order.
	Aborting Stage = "aborting"
	// Yielding releases the step of an aborted change.
	Yielding Stage = "yielding"
	// Committed is the final stage of a change that all ranks made.
	Committed Stage = "committed"
	// Failed is the final stage of a change that no rank made, or whose outcome
	// cannot be known because a rank is absent or the group formed anew.
	Failed Stage = "failed"
)

// stepMargin is how many passes the chosen step lies ahead: enough for the Hold
// and the Arms to arrive before it, in two rounds of messages.
const stepMargin = 2

// lossyStepMargin replaces stepMargin once an order went unanswered, so that
// the group does not have to wait while orders are sent again.
const lossyStepMargin = 7

// Limits are the longest durations of the stages; a change that exceeds them is
// given up.
type Limits struct {
	// PrepareTimeout applies to loading the experts.
	PrepareTimeout time.Duration
	// ArmTimeout applies to holding and to arming; the group may be stalled
	// meanwhile.
	ArmTimeout time.Duration
}

// Roles are the ranks that have a special role in a change.
type Roles struct {
	// Coordinator is the rank of the agent that runs the change. It is armed
	// last and undone first. As long as any other rank is not armed, the
	// coordinator's rank is not armed either, even if its machine does not
	// respond.
	Coordinator int
	// Holder is the rank that holds the step. It should differ from the
	// coordinator, whose machine is the busiest of the group: while the
	// holder's machine is paused, its engine cannot be told to release the
	// step.
	Holder int
	// Absent is the rank of the previous coordinator if its machine does not
	// respond, else NoRank. The change does not wait for the absent rank.
	Absent int
}

// NoRank stands for the absence of a rank.
const NoRank = -1

// Switch is a single change of a group's map. It is not safe for concurrent
// use.
type Switch struct {
	epoch      int64
	version    int64
	roles      Roles
	limits     Limits
	stage      Stage
	stageStart time.Time
	step       int64
	// lastUsedStep is the last step that an earlier change may have used.
	lastUsedStep int64
	reports      []*expert.RankReport
	// lateArmPossible marks the ranks where an Arm may still be carried out.
	lateArmPossible []bool
	// ordersLost is set once an order went unanswered.
	ordersLost bool
	// awaitingReports is set while an aborted change reads the state of all
	// ranks; nothing is undone before that is complete.
	awaitingReports bool
	// holdLost is set once the holder no longer holds the step although some rank
	// is not armed.
	holdLost bool
}

// New starts a change to a version that must be higher than any version that a
// rank of the group has had; version+1 is used for fences. The change chooses a
// step after lastUsedStep, because a delayed Release of that step may still be
// carried out. The caller has checked UsedSteps.AllowsChange.
func New(epoch, version int64, roles Roles, rankCount int, lastUsedStep int64, limits Limits, now time.Time) *Switch {
	return &Switch{
		epoch:           epoch,
		version:         version,
		roles:           roles,
		limits:          limits,
		lastUsedStep:    lastUsedStep,
		stage:           Preparing,
		stageStart:      now,
		reports:         make([]*expert.RankReport, rankCount),
		lateArmPossible: make([]bool, rankCount),
	}
}

// Recover takes over a change from a coordinator that no longer runs it, while a
// rank holds a step. If every rank is armed, the change is committed, since the
// Release may already be on its way. Otherwise the change is undone; until a rank
// is fenced, a delayed order may still arm it. If a rank is absent and all others
// are armed, nothing can be done before the absent rank's state is known, and the
// change fails.
func Recover(epoch, version, step int64, roles Roles, rankCount int, now time.Time) *Switch {
	s := New(epoch, version, roles, rankCount, 0, Limits{}, now)
	s.stage = Aborting
	s.step = step
	s.awaitingReports = true
	for r := range s.lateArmPossible {
		s.lateArmPossible[r] = true
	}
	return s
}

// Stage returns the current stage of the change.
func (s *Switch) Stage() Stage { return s.stage }

// Version returns the version of the new map.
func (s *Switch) Version() int64 { return s.version }

// Step returns the step on which the ranks switch, or 0 before it is chosen.
func (s *Switch) Step() int64 { return s.step }

// Holder returns the rank that holds the step.
func (s *Switch) Holder() int { return s.roles.Holder }

// HoldLost reports whether the step was released while some rank was not armed, by
// an order that this change did not send.
func (s *Switch) HoldLost() bool { return s.holdLost }

// Ended reports whether the change is committed or failed.
func (s *Switch) Ended() bool { return s.stage == Committed || s.stage == Failed }

// fenceVersion returns the version under which a fence prepares the map in
// force.
func (s *Switch) fenceVersion() int64 { return s.version + 1 }

// Orders returns the orders to send now. Each order is repeated until a report
// shows that it was carried out.
func (s *Switch) Orders(now time.Time) []Order {
	s.advance(now)
	var orders []Order
	for r := range s.reports {
		if r == s.roles.Absent {
			continue
		}
		if o := s.nextOrder(r); o.Kind != "" {
			orders = append(orders, o)
		}
	}
	return orders
}

// nextOrder returns the order to send to a rank now; its kind is empty if there is
// none.
func (s *Switch) nextOrder(rank int) Order {
	report := s.reports[rank]
	order := Order{Rank: rank, Version: s.version, Step: s.step}
	switch s.stage {
	case Preparing:
		order.Kind = Prepare
		if report != nil {
			order.Kind = Query
		}
		if report != nil && report.Prepared == s.version {
			order.Kind = ""
		}
	case Holding:
		if rank == s.roles.Holder {
			order.Kind = Hold
			if s.heldStep() != 0 {
				// A delayed Hold of an earlier change: a rank holds one step at a time.
				order.Kind, order.Step = Release, s.heldStep()
			}
		}
	case Arming:
		if !s.isArmed(rank) && (rank != s.roles.Coordinator || s.othersArmed()) {
			order.Kind = Arm
		}
	case Aborting:
		order.Kind, order.Version = s.undoOrder(rank)
	case Committing, Yielding:
		if rank == s.roles.Holder {
			order.Kind = Release
			if s.heldStep() != 0 {
				order.Step = s.heldStep()
			}
		}
	}
	return order
}

// heldStep returns the step that the holder reported as held, or 0. It may be another
// one than that of this change. It may be released while all ranks have prepared the new
// map and none is armed, while all are armed, and while none can be armed.
func (s *Switch) heldStep() int64 {
	if r := s.reports[s.roles.Holder]; r != nil {
		return r.Held
	}
	return 0
}

func (s *Switch) isArmed(rank int) bool {
	r := s.reports[rank]
	return r != nil && r.Armed == s.version
}

// othersArmed reports whether every rank except the coordinator's is armed.
func (s *Switch) othersArmed() bool {
	for r := range s.reports {
		if r != s.roles.Coordinator && !s.isArmed(r) {
			return false
		}
	}
	return true
}

// undoOrder returns the order that a rank needs before the held step may begin
// without the new map, or an empty kind if the rank needs none or has to wait for
// another rank. A rank that is not armed is fenced before any armed rank is
// disarmed. Otherwise a coordinator that takes over could find all ranks armed
// and commit the change while a delayed Disarm is still on its way.
func (s *Switch) undoOrder(rank int) (Kind, int64) {
	r := s.reports[rank]
	switch {
	case r == nil:
		return Query, 0
	case s.awaitingReports:
		return "", 0
	case r.Armed == 0 && s.needsFence(rank):
		return Fence, s.fenceVersion()
	case r.Armed != 0 && s.mayDisarm(rank):
		return Disarm, r.Armed
	}
	return "", 0
}

// needsFence reports whether a rank that is not armed still has to be fenced:
// because a delayed order may arm it, or because another rank is armed, which may
// be disarmed only once some rank is fenced.
func (s *Switch) needsFence(rank int) bool {
	return s.reports[rank].Prepared != s.fenceVersion() && (s.lateArmPossible[rank] || s.anyReport(func(r *expert.RankReport) bool { return r.Armed != 0 }))
}

// mayDisarm reports whether a rank may be disarmed: some rank is fenced, and
// the coordinator's rank is undone or is the rank itself.
func (s *Switch) mayDisarm(rank int) bool {
	if !s.anyReport(func(r *expert.RankReport) bool { return r.Armed == 0 && r.Prepared == s.fenceVersion() }) {
		return false
	}
	return rank == s.roles.Coordinator || s.isUndone(s.roles.Coordinator)
}

// isUndone reports whether a rank is neither armed nor can be armed by a
// delayed order.
func (s *Switch) isUndone(rank int) bool {
	r := s.reports[rank]
	return r != nil && r.Armed == 0 && !s.needsFence(rank)
}

// anyReport reports whether the last report of at least one rank matches.
func (s *Switch) anyReport(matches func(r *expert.RankReport) bool) bool {
	return slices.ContainsFunc(s.reports, func(r *expert.RankReport) bool { return r != nil && matches(r) })
}

// RecordReport records a rank's state as read after an order. answered tells
// whether the engine answered that order.
func (s *Switch) RecordReport(o Order, r expert.RankReport, answered bool, now time.Time) {
	if s.Ended() {
		return
	}
	if r.Epoch != s.epoch || !r.Open {
		// A group that formed anew has lost its held and armed state, and
		// refuses orders of the previous epoch.
		s.enterStage(Failed, now)
		return
	}
	if !answered {
		s.ordersLost = true
		s.lateArmPossible[o.Rank] = s.lateArmPossible[o.Rank] || o.Kind == Arm
	}
	s.reports[o.Rank] = &r
	if o.Kind == Prepare && !answered && r.Prepared != s.version {
		// The report is discarded so that the order is sent again; the engine
		// refuses a duplicate.
		s.reports[o.Rank] = nil
	}
	s.advance(now)
}

// RecordMissingReport records that a rank's state could not be read after an
// order.
func (s *Switch) RecordMissingReport(o Order) {
	if o.Kind == Arm {
		s.lateArmPossible[o.Rank] = true
	}
	if s.stage == Aborting {
		s.reports[o.Rank] = nil
	}
}

// CancelPreparation ends a change that has not yet chosen a step.
func (s *Switch) CancelPreparation(now time.Time) {
	if s.stage == Preparing {
		s.enterStage(Failed, now)
	}
}

func (s *Switch) enterStage(next Stage, now time.Time) {
	s.stage, s.stageStart = next, now
}

// everyReport reports whether the last report of every rank that is not absent
// exists and matches.
func (s *Switch) everyReport(matches func(r *expert.RankReport) bool) bool {
	for n, r := range s.reports {
		if n == s.roles.Absent {
			continue
		}
		if r == nil || !matches(r) {
			return false
		}
	}
	return true
}

// advance enters the next stage if the reports allow it or the stage has timed
// out.
func (s *Switch) advance(now time.Time) {
	elapsed := now.Sub(s.stageStart)
	switch s.stage {
	case Preparing:
		switch {
		case s.everyReport(func(r *expert.RankReport) bool { return r.Prepared == s.version }):
			next := Holding
			if !s.chooseStep() {
				next = Failed
			}
			s.enterStage(next, now)
		case elapsed > s.limits.PrepareTimeout:
			s.enterStage(Failed, now)
		}
	case Holding:
		s.advanceHold(now, elapsed)
	case Arming:
		switch {
		case s.everyReport(func(r *expert.RankReport) bool { return r.Armed == s.version }):
			s.enterStage(Committing, now)
		case elapsed > s.limits.ArmTimeout:
			s.startAbort(now)
		default:
			s.holdLost = s.holdLost || s.reports[s.roles.Holder].Held != s.step
		}
	case Aborting:
		s.advanceAbort(now)
	case Committing, Yielding:
		s.advanceRelease(now)
	}
}

// chooseStep chooses the step to hold: one that no rank has begun and no earlier change
// may have used. It reports false if the ranks are too far from such a step.
func (s *Switch) chooseStep() bool {
	margin := int64(stepMargin)
	if s.ordersLost {
		margin = lossyStepMargin
	}
	current := int64(0)
	for _, r := range s.reports {
		current = max(current, r.Step)
	}
	step := max(s.lastUsedStep+1, current+margin)
	if step > current+maxStepsAhead {
		return false
	}
	s.step = step
	return true
}

// advanceHold proceeds once the step is held. If the step began before the Hold
// arrived, a later step is chosen; the engine then refuses the delayed Hold.
func (s *Switch) advanceHold(now time.Time, elapsed time.Duration) {
	holder := s.reports[s.roles.Holder]
	switch {
	case holder.Held == s.step:
		s.enterStage(Arming, now)
	case elapsed > s.limits.ArmTimeout:
		// No rank is armed, but the Hold may still be carried out.
		s.startAbort(now)
	case holder.Step >= s.step && !s.chooseStep():
		s.enterStage(Failed, now)
	}
}

// advanceAbort ends the stage once no rank is armed or can be armed.
func (s *Switch) advanceAbort(now time.Time) {
	if !s.everyReport(func(*expert.RankReport) bool { return true }) {
		return
	}
	if s.awaitingReports {
		// Nothing has been undone yet, so the reports are still valid.
		s.awaitingReports = false
		armedVersion := s.reports[s.roles.Holder].Armed
		if s.everyReport(func(r *expert.RankReport) bool { return r.Armed != 0 && r.Armed == armedVersion }) {
			if s.roles.Absent != NoRank {
				s.enterStage(Failed, now)
				return
			}
			s.enterStage(Committing, now)
			return
		}
	}
	for r := range s.reports {
		if r != s.roles.Absent && !s.isUndone(r) {
			return
		}
	}
	s.enterStage(Yielding, now)
}

// startAbort discards all reports, so that every rank is read again before
// anything is undone: all ranks may be armed by now.
func (s *Switch) startAbort(now time.Time) {
	s.awaitingReports = true
	for r := range s.reports {
		s.reports[r] = nil
	}
	s.enterStage(Aborting, now)
}

// advanceRelease ends the change once the holder no longer holds a step.
func (s *Switch) advanceRelease(now time.Time) {
	if holder := s.reports[s.roles.Holder]; holder == nil || holder.Held != 0 {
		return
	}
	if s.stage == Committing {
		s.enterStage(Committed, now)
		return
	}
	s.enterStage(Failed, now)
}
