package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// coincidence is the time within which crashes count as one. Several targets that
	// end at the same moment, as those of a data centre do, blame a request no more
	// than a single one does.
	coincidence = 250 * time.Millisecond
	// maxCrashes bounds the crashes that a record keeps.
	maxCrashes = 8
	// maxCompanions bounds the companions that are kept with one crash.
	maxCompanions = 32
	// crashLifetime is how long a crash counts that does not suffice to blame the key.
	crashLifetime = 10 * time.Minute
	// weakWeight is the weight of a crash before the target began to answer the
	// request, which may have been waiting for its turn; strongWeight that of a crash
	// just after.
	weakWeight   = 1
	strongWeight = 2
	// unprovenThreshold is the weight of the crashes from which a key is quarantined.
	// provenThreshold replaces it for a key that a target has answered before.
	unprovenThreshold = 2
	provenThreshold   = 4
)

// The times after a crash until a quarantined key is tried again, by the number of
// crashes; the last one applies to all further crashes. A key that is probably blamed
// wrongly is tried sooner.
var (
	trialDelays      = []time.Duration{10 * time.Second, time.Minute, 10 * time.Minute, time.Hour}
	earlyTrialDelays = []time.Duration{time.Second, time.Second, 10 * time.Second, time.Minute, 10 * time.Minute, time.Hour}
)

// crash is the end of one target, or of several at the same moment.
type crash struct {
	// at is the earliest time at which the crash may have been, and spread how much
	// later it may have been: reports of other entries are under way for a while.
	at, spread time.Duration
	weight     int
	// companions are the other keys that may be to blame instead, such as other parts of
	// the same prompt.
	companions []Key
}

// coincides reports whether two crashes may have been at the same moment.
func (c crash) coincides(other crash) bool {
	return c.at < other.at+other.spread+coincidence && other.at < c.at+c.spread+coincidence
}

// record is what is known about one key.
type record struct {
	// crashes lists the crashes since the last answer, the oldest first.
	crashes []crash
	// provenAt is when a target last answered a request with the key; 0 if none has.
	provenAt time.Duration
	// trialAt is when this entry last sent a request with the key although it is
	// quarantined; 0 if it has not.
	trialAt time.Duration
	// changedIn is the version of the list in which the record changed last.
	changedIn uint64
}

// addCrash adds a crash, unless it coincides with a known one or an answer came after
// it. It reports whether the record has changed.
func (r *record) addCrash(c crash) bool {
	if r.provenAt > 0 && c.at <= r.provenAt {
		return false
	}
	for n := range r.crashes {
		known := &r.crashes[n]
		if known.coincides(c) {
			companions := known.companions
			switch {
			case c.weight > known.weight:
				companions = c.companions
			case c.weight == known.weight:
				companions = lo.Intersect(companions, c.companions)
			}
			changed := c.weight > known.weight || len(companions) < len(known.companions)
			if c.spread < known.spread {
				known.at, known.spread = c.at, c.spread
			}
			known.weight, known.companions = max(known.weight, c.weight), companions
			return changed
		}
	}
	if !r.isQuarantined() {
		r.crashes = slices.DeleteFunc(r.crashes, func(old crash) bool { return c.at-old.at > crashLifetime })
	}
	at, _ := slices.BinarySearchFunc(r.crashes, c, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	r.crashes = slices.Insert(r.crashes, at, c)
	if len(r.crashes) > maxCrashes {
		r.crashes = r.crashes[1:]
	}
	return true
}

// addAnswer records that a target answered, and forgets the crashes before. It reports
// whether that changes who is to blame.
func (r *record) addAnswer(at time.Duration) bool {
	if at <= r.provenAt {
		return false
	}
	wasProven, crashes := r.provenAt > 0, len(r.crashes)
	r.provenAt = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return c.at <= at })
	return len(r.crashes) < crashes || !wasProven && crashes > 0
}

// lastCrash returns when the last crash was; 0 if there is none.
func (r *record) lastCrash() time.Duration {
	if len(r.crashes) == 0 {
		return 0
	}
	return r.crashes[len(r.crashes)-1].at
}

// isQuarantined reports whether the crashes suffice to blame the key.
func (r *record) isQuarantined() bool {
	weight := 0
	for _, c := range r.crashes {
		weight += c.weight
	}
	if r.provenAt > 0 {
		return weight >= provenThreshold
	}
	return weight >= unprovenThreshold
}

// companions returns the keys that may be to blame instead for all crashes.
func (r *record) companions() []Key {
	if len(r.crashes) == 0 {
		return nil
	}
	out := r.crashes[0].companions
	for _, c := range r.crashes[1:] {
		out = lo.Intersect(out, c.companions)
	}
	return out
}

// trialDueAt returns from when a quarantined key is tried again; it is tried early if it
// is probably blamed wrongly.
func (r *record) trialDueAt(isEarly bool) time.Duration {
	delays := trialDelays
	if isEarly || r.provenAt > 0 {
		delays = earlyTrialDelays
	}
	return r.lastCrash() + delays[min(len(r.crashes), len(delays))-1]
}
