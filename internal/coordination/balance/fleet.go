package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bluebellcrank/internal/state/fleet"
)

// Verdict says why a request has no target now.
type Verdict string

const (
	// Granted requests have a target.
	Granted Verdict = "granted"
	// Full says that targets are there but have no room.
	Full Verdict = "full"
	// NoTarget says that no target may be used.
	NoTarget Verdict = "absent"
)

// Request is what a request needs of a target.
type Request struct {
	Service string
	// Stream requests keep a target for long.
	Stream bool
	// MaxGap is the longest good pause between a stream's events.
	MaxGap time.Duration
	// Priority ranks waiting requests, 0 first.
	Priority int
	// PastGoal requests have missed their goal: they wait behind those that can
	// still be answered in time.
	PastGoal bool
	// MaxPerSecond bounds the sends of this entry to one target; 0 is no limit.
	MaxPerSecond int
	// Resumed streams have begun and do not wait for a good pace.
	Resumed bool
	// Tried are the ids of the targets that are not to be chosen.
	Tried []string
}

// lateShare is the part of the goal for pauses up to which streams that are
// late already are let in: the room beyond is kept for those that are not.
const lateShare = 0.7

// goal is the pause that the streams at a target may reach if the request joins
// them.
func (n Request) goal() time.Duration {
	if n.PastGoal {
		return time.Duration(lateShare * float64(n.MaxGap))
	}
	return n.MaxGap
}

// Lease is a request's place at a target until Done.
type Lease struct {
	fleet  *Fleet
	member *member
	// target is the member's as of the grant; the member's own may change.
	target fleet.Target
	stream bool
	// granted is when the lease began.
	granted time.Time
	done    bool
}

// Target returns the target.
func (l *Lease) Target() fleet.Target { return l.target }

// Fleet is what an entry knows of the targets; it is safe for concurrent use.
type Fleet struct {
	random *rand.Rand

	mu     sync.Mutex
	choice Choice
	// open is the memory for the targets that a request may have.
	open     []*member
	members  map[string]*member
	services map[string][]*member
	groups   map[string]*group
	out      map[string]bool
	queue    []*Ticket
	rhythms  map[string]*rhythm
	entries  int
}

// NewFleet returns a fleet without targets.
func NewFleet(random *rand.Rand) *Fleet {
	return &Fleet{
		random:   random,
		members:  map[string]*member{},
		services: map[string][]*member{},
		groups:   map[string]*group{},
		out:      map[string]bool{},
		rhythms:  map[string]*rhythm{},
	}
}

// Replace takes the whole list of targets; those that are not on it are gone.
func (f *Fleet) Replace(targets []fleet.Target, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]bool{}
	for _, t := range targets {
		listed[t.ID] = true
		f.set(t)
	}
	for id := range f.members {
		if !listed[id] {
			f.remove(id)
		}
	}
	f.serveQueue(now)
}

// ApplyChanges takes changes of the list.
func (f *Fleet) ApplyChanges(changes []fleet.Change, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		if c.Target == nil {
			f.remove(c.ID)
			continue
		}
		f.set(*c.Target)
	}
	f.serveQueue(now)
}

// SetEntryCount takes the number of entries that send to the same targets.
func (f *Fleet) SetEntryCount(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = n
}

// SetDataCentresOut takes the data centres that are out of service.
func (f *Fleet) SetDataCentresOut(out map[string]bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out = out
	f.serveQueue(now)
}

func (f *Fleet) set(t fleet.Target) {
	m := f.members[t.ID]
	if m != nil && m.target.Service != t.Service {
		f.remove(t.ID)
		m = nil
	}
	if m == nil {
		m = &member{}
		f.members[t.ID] = m
		f.services[t.Service] = append(f.services[t.Service], m)
	}
	m.target = t
	name := t.Group
	if name == "" {
		name = t.Service
	}
	if m.group == nil || m.group.name != name {
		if m.group != nil {
			m.group.size--
		}
		m.group = f.groupOf(name)
		m.group.ranked = t.Group != ""
		m.group.size++
	}
}

func (f *Fleet) groupOf(name string) *group {
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
	m.gone = true
	m.group.size--
	delete(f.members, id)
	s := m.target.Service
	f.services[s] = slices.DeleteFunc(f.services[s], func(o *member) bool { return o == m })
	if len(f.services[s]) == 0 {
		delete(f.services, s)
	}
}

// Pick takes the best target for a request.
func (f *Fleet) Pick(n Request, now time.Time) (*Lease, Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pick(n, now)
}

func (f *Fleet) pick(n Request, now time.Time) (*Lease, Verdict) {
	f.open = f.open[:0]
	verdict := NoTarget
	for _, m := range f.services[n.Service] {
		if !m.usable(f.out) || slices.Contains(n.Tried, m.target.ID) {
			continue
		}
		if m.suspended(now) || m.group.isClosed(m.target.IsGroupBroken, now) {
			continue
		}
		verdict = Full
		if f.room(m, n, now) {
			f.open = append(f.open, m)
		}
	}
	best := f.choose(f.open, n, now)
	if best == nil {
		return nil, verdict
	}
	best.own++
	f.rhythm(n.Service, now).granted(now)
	best.sends = append(best.sends, now)
	if n.Stream {
		best.group.begin(n.MaxGap, now)
	}
	return &Lease{fleet: f, member: best, target: best.target, stream: n.Stream, granted: now}, Granted
}

func (f *Fleet) room(m *member, n Request, now time.Time) bool {
	if !m.withinRate(n.MaxPerSecond, now) {
		return false
	}
	if m.target.Slots > 0 && m.load(now) >= m.target.Slots {
		return false
	}
	return !n.Stream || n.Resumed || m.group.open(n.goal(), f.entries, now)
}

// score is lower for better targets: for streams first the pace of the group
// and then the load of the rank, else the time in which the target works off
// what it has.
func (f *Fleet) score(m *member, n Request, now time.Time) float64 {
	jitter := f.random.Float64()
	load := float64(m.load(now))
	if n.Stream {
		const perStream = 0.15 // ranks of a group share most of their work
		if m.slow(now) {
			load += float64(m.target.Slots)
		}
		cost := m.group.cost(f.entries)
		return m.group.pace.expected(cost, now).Seconds() + perStream*streamCost.Seconds()*(load+jitter)/2
	}
	latency := max(m.latency, time.Millisecond).Seconds()
	return (load + 1 + jitter/2) * latency
}

// RecordEvent takes an event of a stream at a lease's target, and the pause
// before it; 0 for the first event.
func (l *Lease) RecordEvent(pause time.Duration, now time.Time) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	l.member.heard = now
	l.member.group.event(now)
	if pause > 0 {
		l.member.group.pace.observe(pause, now)
	}
	f.serveQueue(now)
}

// TargetsOverGoal returns the targets of groups whose pauses are too long, one of
// which may be slow.
func (f *Fleet) TargetsOverGoal(now time.Time) []fleet.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []fleet.Target
	for _, m := range f.members {
		if m.target.Group != "" && m.group.isOverGoal(now) {
			out = append(out, m.target)
		}
	}
	return out
}

// SetSlowdown takes an engine's own word about its pace: 1 for a sound one, more
// for a slow one.
func (f *Fleet) SetSlowdown(id string, pace float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		m.slowness, m.slowAt = pace, now
	}
}

// IsSlowingGroup reports whether the target slows its group, which is better off once
// the target has no requests of its own.
func (l *Lease) IsSlowingGroup(now time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.member.slow(now) && l.member.group.isOverGoal(now)
}

// IsGroupStalled reports whether no stream of the target's group gets events; such a
// group gets only probes until one does.
func (l *Lease) IsGroupStalled(now time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.member.group.noteStall(now)
}

// IsSilent reports whether the target has sent no event for a time to any of this
// entry's streams, while its rank group goes on.
func (l *Lease) IsSilent(now time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	m := l.member
	silent := max(silentAfter, silentPauses*m.group.pace.usual)
	return m.group.ranked && now.Sub(later(l.granted, m.heard)) > silent && now.Sub(m.group.eventAt) < stallAfter
}

// RecordLoad takes a target's own word about its requests.
func (l *Lease) RecordLoad(running, waiting int, now time.Time) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	l.member.others = max(0, running+waiting-l.member.own)
	l.member.othersAt = now
}

// Outcome is how a request ended at a target.
type Outcome int

const (
	// Answered requests got an answer of the target.
	Answered Outcome = iota
	// Refused requests were turned away by the target for want of room.
	Refused
	// Failed requests got no answer, or none to trust.
	Failed
	// Abandoned requests were ended by this entry or its caller.
	Abandoned
	// Moved says that another target has the address.
	Moved
)

// Done ends the lease.
func (l *Lease) Done(o Outcome, latency time.Duration, now time.Time) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	m := l.member
	m.own--
	if l.stream {
		m.group.streams--
	}
	switch o {
	case Answered:
		m.answered(latency)
	case Refused:
		m.until = later(m.until, now.Add(refusedFor))
	case Failed:
		m.failed(now)
		m.group.failed(now)
	case Moved:
		if m.target.Address == l.target.Address {
			f.remove(m.target.ID)
		}
	}
	f.serveQueue(now)
}

// MarkGroupSuspect takes a target's word that another one keeps it from working.
func (l *Lease) MarkGroupSuspect() {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.member.group.makeSuspect()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// IsUsable reports whether a target may still be sent a request: it is there,
// is not leaving, and its data centre is in service.
func (l *Lease) IsUsable() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.member.usable(l.fleet.out)
}
