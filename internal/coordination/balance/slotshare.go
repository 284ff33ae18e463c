package balance

import "time"

const (
	// maxSharedOccupancy is the occupancy of a group up to which an entry uses slots
	// that are the share of others. Few targets have more requests than slots then;
	// those would keep requests waiting while the gaps between events stay short.
	maxSharedOccupancy = 0.92
	// maxOwnOccupancy is the same limit for the slots of the entry's own share, which
	// others may be using.
	maxOwnOccupancy = 1
)

// slotShare is the part of the slots of a service that belongs to this entry. Each slot
// belongs to one entry: together the entries fill the targets evenly, although none sees
// the requests of the others.
type slotShare struct{ slots, free int }

// ownSlots returns how many of the target's slots belong to this entry.
func (f *Fleet) ownSlots(m *member) int {
	p := f.placeOf(m)
	return f.entries.dealt(p.index*f.entries.count/max(p.count, 1), m.target.Slots)
}

// slotShareOf returns the entry's share of the slots of the targets that the request may
// be sent to.
func (f *Fleet) slotShareOf(r Request, now time.Time) slotShare {
	var out slotShare
	for _, m := range f.services[r.Service] {
		if !f.isExcluded(m, r, now) {
			own := f.ownSlots(m)
			out.slots += own
			out.free += max(0, own-m.inFlight)
		}
	}
	return out
}

// admissionTerms is what decides whether targets have room for a request and is the same for
// all of them.
type admissionTerms struct {
	request Request
	share   slotShare
	// reserve is the share of the slots and of the gap goal that is left to other
	// requests.
	reserve float64
}

func (f *Fleet) termsOf(r Request, now time.Time) admissionTerms {
	a := admissionTerms{request: r, reserve: f.reserveFor(r, now)}
	if r.Stream && !r.Resumed {
		a.share = f.slotShareOf(r, now)
	}
	return a
}

// gapGoal returns the gap goal up to which the request is admitted. The capacity above it
// is left to more urgent requests.
func (a admissionTerms) gapGoal() time.Duration {
	return time.Duration((1 - a.reserve) * float64(a.request.GapGoal))
}

// hasSlot reports whether the target has a slot for a new stream: one that belongs to this
// entry, or one that the others leave free.
func (f *Fleet) hasSlot(m *member, a admissionTerms, now time.Time) bool {
	if m.target.Slots <= 0 {
		return true
	}
	taken := m.group.occupancy.expected(m.group.streams, f.entries.count, m.group.targetCount*m.target.Slots, now)
	if m.inFlight < f.ownSlots(m) && taken <= maxOwnOccupancy {
		return float64(a.share.free) > a.reserve*float64(a.share.slots)
	}
	return m.load(now) < m.target.Slots && taken <= maxSharedOccupancy-a.reserve
}

// rankLoad returns the load of a target as far as it matters for the choice among the
// ranks of a group: slots of this entry's own share come first.
func (f *Fleet) rankLoad(m *member, now time.Time) float64 {
	if m.target.Slots <= 0 {
		return float64(m.load(now))
	}
	load := float64(m.load(now) + m.target.Slots)
	if own := f.ownSlots(m); m.inFlight < own {
		load = float64(m.inFlight) / float64(own)
	}
	if m.isSlow(now) {
		// The other ranks of the group are chosen first.
		load += float64(2 * m.target.Slots)
	}
	return load
}
