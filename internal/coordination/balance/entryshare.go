package balance

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"bluebellcrank/internal/coordination/membership"
)

// entrySet is the set of entries that send to the same targets.
type entrySet struct {
	// self is the name of this entry.
	self string
	// names lists the entries; it is empty until they are known.
	names []string
	// count is the number of entries, also while their names are not known.
	count int
	// generation increases with each change of the set.
	generation int
}

// attemptsPerSecond returns how many attempts per second this entry may make at a
// target if all entries together may make total. Where there are more entries than
// attempts, a part of the entries may make one each; it is another part for each
// target, and all entries agree on it.
func (e entrySet) attemptsPerSecond(position int, total float64) int {
	if share := total / float64(max(e.count, 1)); share >= 1 {
		return int(share)
	}
	if position < max(1, int(total)) {
		return 1
	}
	return 0
}

// position returns the place of this entry in an order of the entries that is
// different for each target.
func (e entrySet) position(target string) int {
	return membership.Position(target, e.self, e.names, e.count)
}

// SetEntries sets the entries that send to the same targets, and the name of this
// one. While the names are not known, count is the assumed number of entries.
func (f *Fleet) SetEntries(self string, names []string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = entrySet{self: self, names: names, count: max(count, 1), generation: f.entries.generation + 1}
}

// attemptsPerSecond returns how many attempts per second this entry may make at a
// target if all entries together may make total. An entry that may send to no target
// of the service, as can be where there are few, gets one of them all the same.
func (f *Fleet) attemptsPerSecond(m *member, total float64) int {
	attempts := f.entries.attemptsPerSecond(f.positionAt(m), total)
	if attempts == 0 && f.fallbackTarget(m.target.Service, total) == m.target.ID {
		return 1
	}
	return attempts
}

// positionAt returns this entry's place among the entries that may send to a target.
func (f *Fleet) positionAt(m *member) int {
	if m.positionGeneration != f.entries.generation {
		m.position, m.positionGeneration = f.entries.position(m.target.ID), f.entries.generation
	}
	return m.position
}

// fallbackTarget is the target of a service for an entry that may send to none, as of
// a set of entries, a number of targets and a rate. Its ID is empty if there is another
// target for the entry.
type fallbackTarget struct {
	id          string
	generation  int
	targetCount int
	total       float64
}

// fallbackTarget returns the ID of the service's fallback target for this entry, or an
// empty ID.
func (f *Fleet) fallbackTarget(service string, total float64) string {
	members := f.services[service]
	now := fallbackTarget{generation: f.entries.generation, targetCount: len(members), total: total}
	known := f.fallbacks[service]
	now.id = known.id
	if known == now && (known.id == "" || f.members[known.id] != nil) {
		return known.id
	}
	now.id = ""
	least := uint64(math.MaxUint64)
	for _, m := range members {
		if f.entries.attemptsPerSecond(f.positionAt(m), total) > 0 {
			now.id = ""
			break
		}
		if h := xxhash.Sum64String(f.entries.self + "/" + m.target.ID); h <= least {
			now.id, least = m.target.ID, h
		}
	}
	f.fallbacks[service] = now
	return now.id
}
