package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Key identifies what may crash targets.
type Key uint64

// PartKey returns the key of a part of prompts, for the targets of one service.
func PartKey(service, part string) Key { return Key(xxhash.Sum64String(service + "\x00" + part)) }

// Suspect is what one request may be blamed for: itself, and the parts of its prompt
// that other requests share.
type Suspect struct {
	Request Key
	Parts   []Key
}

// Keys returns all keys of the request.
func (s Suspect) Keys() []Key { return append([]Key{s.Request}, s.Parts...) }

// RecordLifetime is how long a key is remembered after its last crash.
const RecordLifetime = 2 * time.Hour

const (
	// maxRecords bounds the keys with crashes.
	maxRecords = 4096
	// trialTimeout is how long a trial may go without a crash or an answer before
	// another request may be tried.
	trialTimeout = 5 * time.Second
	// learningPeriod is how long after its start an entry has seen too few answers to
	// take a part without one for a rare one.
	learningPeriod = 10 * time.Second
	// trialStagger is the time between the trials of two entries. The outcome of one
	// is known everywhere before the next.
	trialStagger = 3 * time.Second
)

// List holds the keys that were in use when targets crashed. It is not safe for
// concurrent use.
type List struct {
	startedAt time.Duration
	records   map[Key]*record
	proven    provenKeys
	// version increases with each change that other entries should know.
	version uint64
}

// NewList returns the empty list of an entry that started at a time.
func NewList(startedAt time.Duration) *List {
	return &List{startedAt: startedAt, records: map[Key]*record{}}
}

// RecordCrash records that a target ended while it had a request that it had begun to
// answer (hasBegun) or not, and of which hardly any of the answer was passed on.
//
// If a part of the prompt was never answered, the parts that were are not blamed.
func (l *List) RecordCrash(s Suspect, hasBegun bool, now time.Duration) Changes {
	parts := slices.DeleteFunc(slices.Clone(s.Parts), l.isProven)
	if len(parts) == 0 {
		parts = s.Parts
	}
	c := crash{at: now, weight: weakWeight}
	if hasBegun && now-l.startedAt >= learningPeriod {
		c.weight = strongWeight
	}
	out := l.update(s.Request, now, func(r *record) bool { return r.addCrash(c) })
	for _, k := range parts {
		c.companions = companionsOf(k, parts)
		out = out.and(l.update(k, now, func(r *record) bool { return r.addCrash(c) }))
	}
	return out
}

// companionsOf returns the other parts of a prompt, maxCompanions of them at most.
func companionsOf(k Key, parts []Key) []Key {
	others := lo.Without(parts[:min(len(parts), maxCompanions+1)], k)
	return others[:min(len(others), maxCompanions)]
}

// RecordAnswer records that a target answered a request and did not end.
func (l *List) RecordAnswer(s Suspect, now time.Duration) Changes {
	for _, k := range s.Parts {
		l.proven.add(k, now)
	}
	var out Changes
	for _, k := range s.Keys() {
		if l.records[k] != nil {
			out = out.and(l.update(k, now, func(r *record) bool { return r.addAnswer(now) }))
		}
	}
	return out
}

// Changes are the keys whose quarantine began or ended.
type Changes struct {
	quarantined, released []Key
}

// Quarantined returns the keys that are quarantined now and were not before.
func (c Changes) Quarantined() []Key { return c.quarantined }

// Released returns the keys that are no longer quarantined.
func (c Changes) Released() []Key { return c.released }

// and returns the changes of c and of another one.
func (c Changes) and(other Changes) Changes {
	return Changes{quarantined: append(c.quarantined, other.quarantined...), released: append(c.released, other.released...)}
}

// update changes the record of a key, which it adds if there is none. The function
// reports whether other entries should know of the change.
func (l *List) update(k Key, now time.Duration, change func(r *record) bool) Changes {
	r := l.recordOf(k, now)
	was := r.isQuarantined()
	if change(r) {
		l.version++
		r.changedIn = l.version
	}
	switch is := r.isQuarantined(); {
	case is && !was:
		return Changes{quarantined: []Key{k}}
	case was && !is:
		return Changes{released: []Key{k}}
	}
	return Changes{}
}

// Version returns a number that increases with each change that other entries should
// know.
func (l *List) Version() uint64 { return l.version }

// Check returns how much longer a request is not to be sent to a target; 0 means that it
// may be sent now. Of all entries, one at a time may try a quarantined key; position is
// the place of this entry in the order in which they may, which is different for each
// key. A request that is to be sent as a trial must be sent at once.
func (l *List) Check(s Suspect, position func(Key) int, now time.Duration) time.Duration {
	wait := time.Duration(0)
	isOnlyPart := lo.CountBy(s.Parts, l.IsQuarantined) == 1
	for _, k := range s.Keys() {
		if r := l.records[k]; r != nil && r.isQuarantined() {
			due := max(r.trialDueAt(isOnlyPart && l.isAmbiguous(r))+time.Duration(position(k))*trialStagger, r.trialAt+trialTimeout)
			wait = max(wait, due-now)
		}
	}
	return wait
}

// StartTrial records that a request is sent now. It has no effect on keys that are not
// quarantined.
func (l *List) StartTrial(s Suspect, now time.Duration) {
	for _, k := range s.Keys() {
		if r := l.records[k]; r != nil && r.isQuarantined() {
			r.trialAt = now
		}
	}
}

// IsQuarantined reports whether a key is quarantined.
func (l *List) IsQuarantined(k Key) bool {
	r := l.records[k]
	return r != nil && r.isQuarantined()
}

// isAmbiguous reports whether another key may be to blame for all crashes of a record. The
// guilty one is mostly in the company of the innocent one, and not the reverse.
func (l *List) isAmbiguous(r *record) bool {
	return slices.ContainsFunc(r.companions(), func(k Key) bool { return !l.isProven(k) })
}

// isProven reports whether a target has answered a request with the key.
func (l *List) isProven(k Key) bool {
	if r := l.records[k]; r != nil && r.provenAt > 0 {
		return true
	}
	return l.proven.at(k) > 0
}

// recordOf returns the record of a key, and adds one if there is none.
func (l *List) recordOf(k Key, now time.Duration) *record {
	r := l.records[k]
	if r == nil {
		if len(l.records) >= maxRecords {
			l.evict(now)
		}
		r = &record{provenAt: l.proven.at(k)}
		l.records[k] = r
	}
	return r
}

// evict removes the expired records or, if there are none, the less blamed half of all.
func (l *List) evict(now time.Duration) {
	type entry struct {
		key    Key
		record *record
	}
	var kept []entry
	for k, r := range l.records {
		if len(r.crashes) > 0 && now-r.lastCrash() < RecordLifetime {
			kept = append(kept, entry{k, r})
		}
	}
	if len(kept) >= maxRecords {
		slices.SortFunc(kept, func(a, b entry) int { return a.record.compareBlame(b.record) })
		kept = kept[:maxRecords/2]
	}
	clear(l.records)
	for _, e := range kept {
		l.records[e.key] = e.record
	}
}

// compareBlame orders records: quarantined ones first, then those with more crashes,
// then those with later ones.
func (r *record) compareBlame(other *record) int {
	if a, b := r.isQuarantined(), other.isQuarantined(); a != b {
		if a {
			return -1
		}
		return 1
	}
	if d := len(other.crashes) - len(r.crashes); d != 0 {
		return d
	}
	if r.lastCrash() > other.lastCrash() {
		return -1
	}
	return 1
}
