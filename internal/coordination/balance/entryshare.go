package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Never is the wait of an entry that is not among those that may send to a target.
const Never time.Duration = math.MaxInt64

// entrySet is the set of entries that send to the same targets.
type entrySet struct {
	// position is this entry's place in the order of the entries, from 0.
	position int
	// count is the number of entries.
	count int
	// self is this entry's name, and names has all names in their order; it is empty until
	// they are known.
	self  string
	names []string
}

// SetEntries sets the entries that send to the same targets, and the name of this
// one. While the names are not known, count is the assumed number of entries.
func (f *Fleet) SetEntries(self string, names []string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = newEntrySet(self, names, count)
}

func newEntrySet(self string, names []string, count int) entrySet {
	count = max(count, 1)
	if len(names) == 0 {
		return entrySet{position: int(xxhash.Sum64String(self) % uint64(count)), count: count, self: self}
	}
	sorted := slices.Sorted(slices.Values(names))
	position, _ := slices.BinarySearch(sorted, self)
	return entrySet{position: position % count, count: count, self: self, names: sorted}
}

// place is a target's place among the targets of its service, which are ordered by ID.
type place struct{ index, count int }

// rateLimit is the number of attempts that all entries together may make at one target
// in each window.
type rateLimit struct {
	attempts int
	window   time.Duration
}

// maxPerSecond replaces higher rates, in attempts per second; no target gets as many.
const maxPerSecond = 1e6

// newRateLimit returns the limit of a number of attempts per second that is averaged over
// a window, or over the time in which one attempt is due if that is longer.
func newRateLimit(perSecond float64, window time.Duration) rateLimit {
	perSecond = min(perSecond, maxPerSecond)
	if attempts := int(perSecond * window.Seconds()); attempts > 0 {
		return rateLimit{attempts: attempts, window: window}
	}
	return rateLimit{attempts: 1, window: time.Duration(float64(time.Second) / perSecond)}
}

// maxTurnsPerWindow is the largest number of turns in the window of a limit.
const maxTurnsPerWindow = 10

// turns divides a limit into turns, each of which has the same number of attempts, so that
// most of the limit is used. A window that begins within a turn overlaps one turn more than
// fit into it, and all of them together stay within the limit, unless that is a single
// attempt.
func (l rateLimit) turns() rateLimit {
	best := rateLimit{attempts: 1, window: l.window}
	used := 0
	for count := 1; count <= maxTurnsPerWindow; count++ {
		if attempts := l.attempts / (count + 1); attempts*count > used {
			used = attempts * count
			best = rateLimit{attempts: attempts, window: l.window / time.Duration(count)}
		}
	}
	return best
}

// entryShare is the part of a limit that one entry has.
type entryShare struct {
	attempts int
	// after is the time after which the entry's attempts count, and until the time at
	// which its share changes; zero if it does not.
	after, until time.Time
	// wait is the time from now until the entry has a share; 0 if it has one.
	wait time.Duration
}

// deal is how the attempts of a target are dealt to entries at a time.
type deal struct {
	// first is the position of the entry that gets the first attempt.
	first int
	limit rateLimit
	// start is when the turn began; zero where the deal does not change.
	start time.Time
}

// deal returns how a target's limit is dealt. The first entry differs by target, so that
// every entry may send to some target of the service if there are attempts for all. If not,
// the first one also moves on with each turn.
func (e entrySet) deal(p place, limit rateLimit, now time.Time) deal {
	first := p.index * e.count / max(p.count, 1)
	if limit.attempts*p.count >= e.count {
		return deal{first: first, limit: limit}
	}
	turn := limit.turns()
	number := now.UnixNano() / int64(turn.window)
	first = int((int64(first) + number*int64(turn.attempts)) % int64(e.count))
	return deal{first: first, limit: turn, start: time.Unix(0, number*int64(turn.window))}
}

// share returns the part of a target's limit that this entry has.
func (e entrySet) share(p place, limit rateLimit, now time.Time) entryShare {
	d := e.deal(p, limit, now)
	out := entryShare{attempts: e.dealt(d.first, d.limit.attempts)}
	if d.start.IsZero() {
		out.after = now.Add(-limit.window)
		if out.attempts == 0 {
			out.wait = Never
		}
		return out
	}
	out.after, out.until = d.start.Add(-1), d.start.Add(d.limit.window)
	if out.attempts == 0 {
		turnsAhead := e.distance(d.first) / d.limit.attempts
		out.wait = out.until.Sub(now) + time.Duration(turnsAhead-1)*d.limit.window
	}
	return out
}

// randomHolder returns the position of one of the entries that a target's attempts are
// dealt to. The function returns a random number below its argument.
func (e entrySet) randomHolder(p place, limit rateLimit, random func(int) int, now time.Time) int {
	d := e.deal(p, limit, now)
	return (d.first + random(min(d.limit.attempts, e.count))) % e.count
}

// distance returns how many places this entry is behind another one, in a circle.
func (e entrySet) distance(first int) int { return ((e.position-first)%e.count + e.count) % e.count }

// dealt returns how many of a number of attempts, dealt to consecutive entries from the
// first one on, this entry gets.
func (e entrySet) dealt(first, attempts int) int {
	out := attempts / e.count
	if e.distance(first) < attempts%e.count {
		out++
	}
	return out
}

// placeOf returns a target's place among the targets of its service.
func (f *Fleet) placeOf(m *member) place {
	list := f.services[m.target.Service]
	if m.placeGeneration != f.listGeneration {
		for n, o := range list {
			o.index, o.placeGeneration = n, f.listGeneration
		}
	}
	return place{index: m.index, count: len(list)}
}

// waitFor returns the time until this entry may make one more attempt at a target under a
// limit; 0 if it may now.
func (f *Fleet) waitFor(m *member, limit rateLimit, now time.Time) time.Duration {
	share := f.entries.share(f.placeOf(m), limit, now)
	if share.attempts == 0 {
		return share.wait
	}
	made := m.attempts.since(share.after)
	if len(made) < share.attempts {
		return 0
	}
	if !share.until.IsZero() {
		return share.until.Sub(now)
	}
	return made[len(made)-share.attempts].Add(limit.window).Sub(now)
}

// waitForLimit returns the time until this entry may make one more attempt at a target
// under the limit that the target has named; 0 if it may now.
func (f *Fleet) waitForLimit(m *member, now time.Time) time.Duration {
	limit, isLimited := m.notice.rateLimit()
	if !isLimited {
		return 0
	}
	return f.waitFor(m, limit, now)
}
