package mapswitch

import (
	"slices"
	"time"

	"bluebellcrank/internal/state/expert"
)

// Kind is what an order has a rank do.
type Kind string

const (
	// Prepare loads the experts of the new map.
	Prepare Kind = "prepare"
	// Hold keeps the group from beginning the step.
	Hold Kind = "hold"
	// Arm uses the map from the step on.
	Arm Kind = "arm"
	// Disarm takes an Arm back.
	Disarm Kind = "disarm"
	// Fence prepares the map that is in force under a higher version, so that
	// a late Arm finds its own version no longer prepared.
	Fence Kind = "fence"
	// Release lets the group begin the step.
	Release Kind = "release"
	// Query only reads the rank's state.
	Query Kind = "look"
)

// Order is one order to one rank.
type Order struct {
	Rank    int
	Kind    Kind
	Version int64
	Step    int64
}

// Stage is how far a change is.
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
	// Aborting waits until no rank is armed, or can be by a late order.
	Aborting Stage = "aborting"
	// Yielding releases the step of a change that was given up.
	Yielding Stage = "yielding"
	// Committed is the end of a change that all ranks made.
	Committed Stage = "committed"
	// Failed is the end of a change that no rank made.
	Failed Stage = "failed"
)

// stepMargin is how many passes ahead the step is: enough for the hold and the
// arms to arrive before it, in two rounds of messages.
const stepMargin = 2

// lossyMargin is the same while orders go unanswered: the rounds in which they
// are sent again should not keep the group standing.
const lossyMargin = 7

// Limits are how long the stages may take before a change is given up.
type Limits struct {
	// PrepareTimeout is for loading the experts.
	PrepareTimeout time.Duration
	// ArmTimeout is for holding and arming; the group may stand still meanwhile.
	ArmTimeout time.Duration
}

// Roles are the ranks that have a part of their own in a change.
type Roles struct {
	// Coordinator is the rank of the agent that runs the change. It is armed
	// last and undone first: while any other rank is not armed, neither is the
	// coordinator's, even if its machine answers nobody.
	Coordinator int
	// Holder is the rank that holds the step. It should not be the
	// coordinator's, whose machine is the busiest of the group: a machine that
	// stands still keeps its engine from being told to release the step.
	Holder int
	// Absent is the rank of the last coordinator, whose machine answers nobody;
	// NoRank for none. It is not waited for.
	Absent int
}

// NoRank stands for no rank.
const NoRank = -1

// Switch is one change of a group's map. It is not safe for concurrent use.
type Switch struct {
	epoch   int64
	version int64
	roles   Roles
	limits  Limits
	stage   Stage
	since   time.Time
	step    int64
	// behind is a step that is not to be used again.
	behind  int64
	reports []*expert.RankReport
	// unsure are the ranks where an Arm may still be carried out.
	unsure []bool
	// lossy says that an order went unanswered.
	lossy bool
	// looking says that an aborted change was not looked at yet, and nothing
	// of it undone.
	looking bool
}

// New starts a change to a version that is higher than any that a rank of the
// group has had; the version after it is used as well. The change uses a step
// behind the given one: a late release of that one may still be carried out.
func New(epoch, version int64, r Roles, ranks int, behind int64, l Limits, now time.Time) *Switch {
	return &Switch{
		epoch:   epoch,
		version: version,
		roles:   r,
		limits:  l,
		behind:  behind,
		stage:   Preparing,
		since:   now,
		reports: make([]*expert.RankReport, ranks),
		unsure:  make([]bool, ranks),
	}
}

// Recover takes over from a coordinator that is gone while a rank holds a
// step. Where every rank is armed the change is committed, since the release
// may be on its way already; else it is undone, and every rank may be armed by
// a late order until it is fenced. Where a rank is absent and all others are
// armed, nothing can be done before its state is known, and the change fails.
func Recover(epoch, version, step int64, r Roles, ranks int, now time.Time) *Switch {
	s := New(epoch, version, r, ranks, 0, Limits{}, now)
	s.stage = Aborting
	s.step = step
	s.looking = true
	for r := range s.unsure {
		s.unsure[r] = true
	}
	return s
}

// Stage returns how far the change is.
func (s *Switch) Stage() Stage { return s.stage }

// Version returns the new map's version.
func (s *Switch) Version() int64 { return s.version }

// Step returns the step on which the ranks switch; 0 before it is chosen.
func (s *Switch) Step() int64 { return s.step }

// Ended reports whether nothing is left to do.
func (s *Switch) Ended() bool { return s.stage == Committed || s.stage == Failed }

// fence is the version under which the map in force is prepared again.
func (s *Switch) fence() int64 { return s.version + 1 }

// Orders returns what to send now; each is sent again until a report shows
// that it was carried out.
func (s *Switch) Orders(now time.Time) []Order {
	s.advance(now)
	var out []Order
	for r := range s.reports {
		if r == s.roles.Absent {
			continue
		}
		if o := s.order(r); o.Kind != "" {
			out = append(out, o)
		}
	}
	return out
}

func (s *Switch) order(rank int) Order {
	r := s.reports[rank]
	o := Order{Rank: rank, Version: s.version, Step: s.step}
	switch s.stage {
	case Preparing:
		o.Kind = Prepare
		if r != nil {
			o.Kind = Query
		}
		if r != nil && r.Prepared == s.version {
			o.Kind = ""
		}
	case Holding:
		if rank == s.roles.Holder {
			o.Kind = Hold
		}
	case Arming:
		if !s.isArmed(rank) && (rank != s.roles.Coordinator || s.othersArmed()) {
			o.Kind = Arm
		}
	case Aborting:
		o.Kind, o.Version = s.undo(rank)
	case Committing, Yielding:
		if rank == s.roles.Holder {
			o.Kind = Release
		}
	}
	return o
}

func (s *Switch) isArmed(rank int) bool {
	r := s.reports[rank]
	return r != nil && r.Armed == s.version
}

// othersArmed reports whether every rank but the coordinator's is armed.
func (s *Switch) othersArmed() bool {
	for r := range s.reports {
		if r != s.roles.Coordinator && !s.isArmed(r) {
			return false
		}
	}
	return true
}

// undo returns what a rank still needs before the held step may begin without
// the new map; it may have to wait for another rank. Ranks that are not armed
// are fenced before any other is disarmed: whoever takes over then never finds
// all ranks armed, and commits, while a late Disarm is on its way.
func (s *Switch) undo(rank int) (Kind, int64) {
	r := s.reports[rank]
	switch {
	case r == nil:
		return Query, 0
	case s.looking:
		return "", 0
	case r.Armed == 0 && s.needsFence(rank):
		return Fence, s.fence()
	case r.Armed != 0 && s.mayDisarm(rank):
		return Disarm, r.Armed
	}
	return "", 0
}

// needsFence reports whether a rank that is not armed could still be.
func (s *Switch) needsFence(rank int) bool {
	return s.reports[rank].Prepared != s.fence() && (s.unsure[rank] || s.someRank(func(r *expert.RankReport) bool { return r.Armed != 0 }))
}

// mayDisarm reports whether it is a rank's turn: some rank is fenced, and the
// coordinator's is undone.
func (s *Switch) mayDisarm(rank int) bool {
	if !s.someRank(func(r *expert.RankReport) bool { return r.Armed == 0 && r.Prepared == s.fence() }) {
		return false
	}
	return rank == s.roles.Coordinator || s.isUndone(s.roles.Coordinator)
}

// isUndone reports whether a rank is not armed, nor can be by a late order.
func (s *Switch) isUndone(rank int) bool {
	r := s.reports[rank]
	return r != nil && r.Armed == 0 && !s.needsFence(rank)
}

// someRank reports whether a condition holds for the last report of a rank.
func (s *Switch) someRank(is func(r *expert.RankReport) bool) bool {
	return slices.ContainsFunc(s.reports, func(r *expert.RankReport) bool { return r != nil && is(r) })
}

// RecordReport takes a rank's state as it was read after an order; answered says
// whether the engine answered that order.
func (s *Switch) RecordReport(o Order, r expert.RankReport, answered bool, now time.Time) {
	if s.Ended() {
		return
	}
	if r.Epoch != s.epoch || !r.Open {
		// A group that forms anew has forgotten what it held and armed, and
		// refuses orders of the epoch before.
		s.enter(Failed, now)
		return
	}
	if !answered {
		s.lossy = true
		s.unsure[o.Rank] = s.unsure[o.Rank] || o.Kind == Arm
	}
	s.reports[o.Rank] = &r
	if o.Kind == Prepare && !answered && r.Prepared != s.version {
		// The order is sent again; the engine refuses a second copy of it.
		s.reports[o.Rank] = nil
	}
	s.advance(now)
}

// RecordMissingReport notes that a rank's state could not be read after an order.
func (s *Switch) RecordMissingReport(o Order) {
	if o.Kind == Arm {
		s.unsure[o.Rank] = true
	}
	if s.stage == Aborting {
		s.reports[o.Rank] = nil
	}
}

func (s *Switch) enter(next Stage, now time.Time) {
	s.stage, s.since = next, now
}

// all reports whether a condition holds for the last report of every rank that
// is not absent.
func (s *Switch) all(is func(r *expert.RankReport) bool) bool {
	for n, r := range s.reports {
		if n == s.roles.Absent {
			continue
		}
		if r == nil || !is(r) {
			return false
		}
	}
	return true
}

func (s *Switch) advance(now time.Time) {
	spent := now.Sub(s.since)
	switch s.stage {
	case Preparing:
		switch {
		case s.all(func(r *expert.RankReport) bool { return r.Prepared == s.version }):
			s.choose()
			s.enter(Holding, now)
		case spent > s.limits.PrepareTimeout:
			s.enter(Failed, now)
		}
	case Holding:
		s.advanceHold(now, spent)
	case Arming:
		switch {
		case s.all(func(r *expert.RankReport) bool { return r.Armed == s.version }):
			s.enter(Committing, now)
		case spent > s.limits.ArmTimeout:
			s.abort(now)
		}
	case Aborting:
		s.advanceAbort(now)
	case Committing, Yielding:
		s.advanceRelease(now)
	}
}

// choose takes a step that no rank has begun.
func (s *Switch) choose() {
	margin := int64(stepMargin)
	if s.lossy {
		margin = lossyMargin
	}
	s.step = max(s.step, s.behind+1)
	for _, r := range s.reports {
		s.step = max(s.step, r.Step+margin)
	}
}

// advanceHold goes on once the step is held. A step that began before the hold
// arrived is given up for a later one: the late hold is refused then.
func (s *Switch) advanceHold(now time.Time, spent time.Duration) {
	h := s.reports[s.roles.Holder]
	switch {
	case h.Held == s.step:
		s.enter(Arming, now)
	case spent > s.limits.ArmTimeout:
		// Nothing is armed, but the hold may still come.
		s.abort(now)
	case h.Step >= s.step:
		s.choose()
	}
}

// advanceAbort ends once no rank is armed or can become so.
func (s *Switch) advanceAbort(now time.Time) {
	if !s.all(func(*expert.RankReport) bool { return true }) {
		return
	}
	if s.looking {
		// Nothing was undone yet, so that what is seen holds.
		s.looking = false
		armed := s.reports[s.roles.Holder].Armed
		if s.all(func(r *expert.RankReport) bool { return r.Armed != 0 && r.Armed == armed }) {
			if s.roles.Absent != NoRank {
				s.enter(Failed, now)
				return
			}
			s.enter(Committing, now)
			return
		}
	}
	for r := range s.reports {
		if r != s.roles.Absent && !s.isUndone(r) {
			return
		}
	}
	s.enter(Yielding, now)
}

// abort reads every rank anew before it undoes anything: all may be armed by
// now.
func (s *Switch) abort(now time.Time) {
	s.looking = true
	for r := range s.reports {
		s.reports[r] = nil
	}
	s.enter(Aborting, now)
}

// advanceRelease ends the change once the holder holds nothing.
func (s *Switch) advanceRelease(now time.Time) {
	if h := s.reports[s.roles.Holder]; h == nil || h.Held != 0 {
		return
	}
	if s.stage == Committing {
		s.enter(Committed, now)
		return
	}
	s.enter(Failed, now)
}
