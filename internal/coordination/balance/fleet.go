package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bluebellcrank/internal/state/fleet"
)

// Verdict is the result of choosing a target for a request.
type Verdict string

const (
	// Granted means that the request has a target.
	Granted Verdict = "granted"
	// Full means that there are usable targets, but none has capacity.
	Full Verdict = "full"
	// NoTarget means that no target is usable now: each one is gone, leaving,
	// suspended, in a closed group or out of service, or was already tried.
	NoTarget Verdict = "absent"
)

// Request describes what a request requires of its target.
type Request struct {
	Service string
	// Stream is set for requests that are answered by a stream of events. They
	// occupy their target for a long time.
	Stream bool
	// GapGoal is the latency goal for the gap between two events of a stream; 0
	// means no goal.
	GapGoal time.Duration
	// Priority orders queued requests; 0 is the highest.
	Priority int
	// PastGoal is set for requests past their latency goal. They are queued
	// behind requests of the same priority that can still meet theirs.
	PastGoal bool
	// MaxPerSecond limits the attempts per second from all entries to one target,
	// since a target that has just started serves requests slowly; 0 means no
	// limit.
	MaxPerSecond float64
	// Resumed is set for streams that have begun at another target. They are
	// admitted whatever the step time of the group.
	Resumed bool
	// Account is the client account; accounts share the queue fairly.
	Account string
	// Key is a hash of the request. It selects the requests that leave no reserve to
	// more urgent ones.
	Key uint64
	// Tried holds the IDs of the targets that must not be chosen.
	Tried []string
	// AvoidedGroup is a rank group whose targets must not be chosen; empty for none.
	AvoidedGroup string
	// SoundOnly excludes targets that are slow, recover from a failure or name a limit,
	// and those of suspect groups.
	SoundOnly bool
}

// Lease reserves a slot of a target for a request until Done is called.
type Lease struct {
	fleet  *Fleet
	member *member
	// target is a copy made at the grant; member.target may change later.
	target    fleet.Target
	stream    bool
	grantedAt time.Time
	// lastEventAt is the time of the last event of the stream; zero before the first.
	lastEventAt time.Time
	done        bool
}

// Target returns the target as it was when the lease was granted.
func (l *Lease) Target() fleet.Target { return l.target }

// Fleet holds the state of all targets as known to one entry, and the queue of
// requests that wait for one. It is safe for concurrent use.
type Fleet struct {
	random *rand.Rand

	mu     sync.Mutex
	choice Choice
	// candidates and limited are buffers that pick reuses to avoid allocations.
	candidates, limited []*member
	// members is keyed by target ID, services and grantIntervals by service, and
	// groups by group name.
	members        map[string]*member
	services       map[string][]*member
	groups         map[string]*group
	dataCentresOut map[string]bool
	queue          []*Ticket
	grantIntervals map[string]*grantInterval
	// priorities is keyed by service.
	priorities map[string]priorityMix
	// fairness is keyed by service.
	fairness map[string]*fairness
	entries  entrySet
	// listGeneration increases when a target is added or removed.
	listGeneration int
	// notices is keyed by target ID.
	notices map[string]*notice
	// loanRefusals has the times until which other entries lend no attempt.
	loanRefusals map[Loan]time.Time
	// limitVersion increases with each change of targets' limits of which other entries
	// are told.
	limitVersion uint64
	restore      restore
	departures   departures
}

// NewFleet returns a fleet without targets.
func NewFleet(random *rand.Rand) *Fleet {
	return &Fleet{
		random:         random,
		members:        map[string]*member{},
		services:       map[string][]*member{},
		groups:         map[string]*group{},
		dataCentresOut: map[string]bool{},
		grantIntervals: map[string]*grantInterval{},
		priorities:     map[string]priorityMix{},
		fairness:       map[string]*fairness{},
		notices:        map[string]*notice{},
		loanRefusals:   map[Loan]time.Time{},
		entries:        newEntrySet("", nil, 1),
		listGeneration: 1,
		restore:        restore{withheld: map[string]fleet.Target{}},
		departures:     departures{runs: map[string]departure{}},
	}
}

// Replace sets the complete list of targets and removes those not on it.
func (f *Fleet) Replace(targets []fleet.Target, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replace(targets, now)
	f.serveQueue(now)
}

// ApplyChanges adds, updates and removes single targets.
func (f *Fleet) ApplyChanges(changes []fleet.Change, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		f.applyChange(c, now)
	}
	f.releaseWithheld(now)
	f.serveQueue(now)
}

// SetDataCentresOut sets the data centres that are out of service.
func (f *Fleet) SetDataCentresOut(dataCentres map[string]bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setDataCentresOut(dataCentres, now)
	f.serveQueue(now)
}

func (f *Fleet) upsert(t fleet.Target) {
	m := f.members[t.ID]
	if m != nil && m.target.Service != t.Service {
		f.remove(t.ID)
		m = nil
	}
	if m == nil {
		f.departures.drop(t.ID)
		m = &member{}
		f.members[t.ID] = m
		at, _ := slices.BinarySearchFunc(f.services[t.Service], t.ID, func(o *member, id string) int { return cmp.Compare(o.target.ID, id) })
		f.services[t.Service] = slices.Insert(f.services[t.Service], at, m)
		f.listGeneration++
	}
	m.target = t
	f.linkNotice(m)
	name := t.Group
	if name == "" {
		name = t.Service
	}
	if m.group == nil || m.group.name != name {
		if m.group != nil {
			m.group.targetCount--
		}
		m.group = f.groupNamed(name)
		m.group.isRankGroup = t.Group != ""
		m.group.targetCount++
	}
}

func (f *Fleet) groupNamed(name string) *group {
	g := f.groups[name]
	if g == nil {
		g = &group{name: name}
		f.groups[name] = g
	}
	return g
}

func (f *Fleet) remove(id string) {
	m := f.members[id]
	if m == nil {
		return
	}
	f.departures.add(m)
	m.removed = true
	m.group.targetCount--
	delete(f.members, id)
	f.listGeneration++
	s := m.target.Service
	f.services[s] = slices.DeleteFunc(f.services[s], func(o *member) bool { return o == m })
	if len(f.services[s]) == 0 {
		delete(f.services, s)
	}
}

// Pick grants a lease on the best target for a request. It returns a nil lease
// unless the verdict is Granted.
func (f *Fleet) Pick(r Request, now time.Time) (*Lease, Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordPriority(r)
	l, verdict := f.pick(r, now)
	if l != nil {
		accounts := f.fairnessOf(r.Service)
		accounts.admit(r.Account, accounts.tag(r.Account, now), now)
	}
	return l, verdict
}

func (f *Fleet) pick(r Request, now time.Time) (*Lease, Verdict) {
	f.candidates, f.limited = f.candidates[:0], f.limited[:0]
	verdict := NoTarget
	a := f.termsOf(r, now)
	for _, m := range f.services[r.Service] {
		if f.isExcluded(m, r, now) {
			continue
		}
		verdict = Full
		if !f.hasCapacity(m, a, now) {
			continue
		}
		if _, isLimited := m.notice.rateLimit(); isLimited {
			f.limited = append(f.limited, m)
		} else {
			f.candidates = append(f.candidates, m)
		}
	}
	best := f.choose(f.candidates, r, now)
	if best == nil {
		best = f.choose(f.limited, r, now)
	}
	if best == nil {
		return nil, verdict
	}
	best.attempts.add(now)
	return f.grant(best, r, now), Granted
}

// isExcluded reports whether a target is not to get the request, whatever its capacity.
func (f *Fleet) isExcluded(m *member, r Request, now time.Time) bool {
	return !m.isUsable(f.dataCentresOut) || slices.Contains(r.Tried, m.target.ID) ||
		m.isSuspended(now) || m.group.isClosed(m.target.IsGroupBroken, now) ||
		r.AvoidedGroup != "" && m.target.Group == r.AvoidedGroup || r.SoundOnly && !m.isSound(now)
}

// grant returns a lease on a target for a request.
func (f *Fleet) grant(m *member, r Request, now time.Time) *Lease {
	m.inFlight++
	f.grantIntervalOf(r.Service, now).recordGrant(now)
	if r.Stream {
		m.group.startStream(r.GapGoal, now)
	}
	return &Lease{fleet: f, member: m, target: m.target, stream: r.Stream, grantedAt: now}
}

// hasCapacity reports whether the target has room for the request and stays within the
// limit that it has named.
func (f *Fleet) hasCapacity(m *member, a admissionTerms, now time.Time) bool {
	return f.hasRoom(m, a, now) && f.waitForLimit(m, now) == 0
}

// hasRoom reports whether the target stays within its attempt rate, its slots and, for a
// new stream, the gap goal if it gets the request.
func (f *Fleet) hasRoom(m *member, a admissionTerms, now time.Time) bool {
	r := a.request
	if r.MaxPerSecond > 0 && f.waitFor(m, newRateLimit(r.MaxPerSecond, time.Second), now) > 0 {
		return false
	}
	if !r.Stream || r.Resumed {
		return m.target.Slots <= 0 || m.load(now) < m.target.Slots
	}
	return f.hasSlot(m, a, now) && m.group.admits(a.gapGoal(), f.entries.count, now)
}

// delayScore returns a score that is lower for better targets. For streams it is
// the expected step time of the group plus a term for the load of the rank; for
// other requests it is the expected time to finish the requests in flight.
func (f *Fleet) delayScore(m *member, r Request, now time.Time) float64 {
	jitter := f.random.Float64()
	if r.Stream {
		// The ranks of a group share most of their work, so the load of a single
		// rank has little effect on the step time.
		const ownWorkFraction = 0.15
		cost := m.group.admissionCost(f.entries.count)
		return m.group.stepTime.expected(cost, now).Seconds() + ownWorkFraction*stepTimePerStream.Seconds()*(f.rankLoad(m, now)+jitter)/2
	}
	latency := max(m.meanLatency, time.Millisecond).Seconds()
	return (float64(m.load(now)) + 1 + jitter/2) * latency
}

// RecordEvent records an event of the lease's stream. The gap is the time since the
// previous event of that stream, and 0 for the first event.
func (l *Lease) RecordEvent(gap time.Duration, now time.Time) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.lastEventAt.IsZero() && l.stream {
		l.member.group.recordFirstEvent(now.Sub(l.grantedAt))
	}
	l.lastEventAt, l.member.lastEventAt = now, now
	l.member.group.recordEvent(now)
	if gap > 0 {
		l.member.group.stepTime.recordGap(gap, now)
	}
	f.serveQueue(now)
}

// CheckGroupStall reports whether no stream of the target's group gets events, and
// marks a stalled rank group as suspect, so that the group gets only probes until
// an event arrives.
func (l *Lease) CheckGroupStall(now time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.member.group.checkStall(now)
}

// IsSilent reports whether a stream gets no event for the silence timeout although other
// ranks of its group send some: its connection carries nothing any more, or its target is
// silent. A stream without its first event may wait for its prompt to be read, so that it
// counts only if its target sends nothing to any of this entry's streams.
func (l *Lease) IsSilent(now time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	m := l.member
	timeout := max(silenceTimeout, silenceGaps*m.group.stepTime.longTermMean)
	silentSince := l.lastEventAt
	if silentSince.IsZero() {
		silentSince = later(l.grantedAt, m.lastEventAt)
	}
	return m.group.isRankGroup && now.Sub(silentSince) > timeout && now.Sub(m.group.lastEventAt) < stallTimeout
}

// IsTargetActive reports whether the target has just sent an event to one of this entry's
// streams.
func (l *Lease) IsTargetActive(now time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return now.Sub(l.member.lastEventAt) < stallTimeout
}

// SuspendTarget keeps new requests from a target that is silent, for a time.
func (l *Lease) SuspendTarget(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.member.silentUntil = now.Add(silenceTimeout)
	l.member.suspendedUntil = later(l.member.suspendedUntil, l.member.silentUntil)
}

// RecordLoad records the numbers of running and waiting requests that the target
// reports. They include requests from other entries.
func (l *Lease) RecordLoad(running, waiting int, now time.Time) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	l.member.othersInFlight = max(0, running+waiting-l.member.inFlight)
	l.member.othersReportedAt = now
	if slots := l.member.target.Slots; slots > 0 {
		l.member.group.occupancy.record(float64(running+waiting)/float64(slots), l.member.group.streams, now)
	}
}

// Outcome is how a request ended at a target.
type Outcome int

const (
	// Answered means that the target responded.
	Answered Outcome = iota
	// Refused means that the target refused the request for lack of capacity.
	Refused
	// Failed means that there was no response, or an invalid one.
	Failed
	// Abandoned means that this entry or its caller ended the request.
	Abandoned
	// Moved means that another target now has the address.
	Moved
)

// Done ends the lease and records the outcome. The latency is averaged only for
// Answered, and ignored if it is 0. After Moved the target is removed, unless it
// has a new address meanwhile. Further calls have no effect.
func (l *Lease) Done(o Outcome, latency time.Duration, now time.Time) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	m := l.member
	m.inFlight--
	if l.stream {
		m.group.streams--
	}
	switch o {
	case Answered:
		m.recordAnswer(latency)
	case Refused:
		m.suspendedUntil = later(m.suspendedUntil, now.Add(refusalBackoff))
	case Failed:
		m.recordFailure(now)
		m.group.recordFailure(now)
	case Moved:
		if m.target.Address == l.target.Address {
			f.remove(m.target.ID)
		}
	}
	f.serveQueue(now)
}

// MarkGroupSuspect marks the target's rank group as suspect, after the target
// reported that another rank of the group blocks it.
func (l *Lease) MarkGroupSuspect() {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.member.group.markSuspect()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// IsUsable reports whether the request may still be sent to the target: the target
// is listed and not leaving, and its data centre is in service.
func (l *Lease) IsUsable() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.member.isUsable(l.fleet.dataCentresOut)
}
