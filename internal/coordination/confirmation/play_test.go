package confirmation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/instance"
)

const (
	playStep = 50 * time.Millisecond
	// revocation is the time after which a removed key must not be served.
	revocation = 5 * time.Second
	// maxRewriteDelay is the longest time from a restore to the operator's write.
	maxRewriteDelay = 3500 * time.Millisecond
	// confirmInterval is the time between two confirmations of an entry in touch.
	confirmInterval = 2 * time.Second
)

// storeState is what a copy of the store has.
type storeState struct{ version, written, revision, recorded int64 }

// playedEntry is an entry of a play.
type playedEntry struct {
	tracker *Tracker
	applied int64
	// writtenIn and writtenAt are the generation and the revision of the applied version.
	writtenIn, writtenAt int64
	generation, watched  int64
	turnedAwayUntil      time.Duration
	pausedUntil          time.Duration
	nextConfirmation     time.Duration
}

// play is a store, its operator and some entries in virtual time. Each version removes one key.
type play struct {
	random     *rand.Rand
	now        time.Duration
	store      storeState
	generation int64
	history    []storeState
	awayUntil  time.Duration
	rewriteAt  time.Duration
	newest     int64
	ackedAt    map[int64]time.Duration
	entries    []*playedEntry
	lastFault  time.Duration
}

func newPlay(seed uint64, entries int) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, 1)), now: time.Minute, generation: 1, ackedAt: map[int64]time.Duration{}}
	p.write()
	for range entries {
		p.entries = append(p.entries, &playedEntry{tracker: NewTracker(instance.FirstStart)})
	}
	return p
}

// write has the operator write its newest version, which is a new one if the store has the latest.
func (p *play) write() {
	if p.store.version == p.newest {
		p.newest++
		p.ackedAt[p.newest] = p.now
	}
	p.store.revision++
	p.store.version, p.store.written = p.newest, p.store.revision
	p.rewriteAt = 0
}

// chance reports true once in a time on average.
func (p *play) chance(every time.Duration) bool { return p.random.Int64N(int64(every/playStep)) == 0 }

func (p *play) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(p.random.Int64N(int64(longest-shortest)))
}

// disturb begins a fault at random.
func (p *play) disturb() {
	isAway := p.now < p.awayUntil
	switch {
	case !isAway && p.chance(6*time.Second):
		p.write()
	case p.chance(10 * time.Second): // some or all are turned away
		until := p.now + p.between(playStep, 8*time.Second)
		for _, e := range p.entries {
			if p.random.IntN(3) > 0 {
				e.turnedAwayUntil = until
			}
		}
	case !isAway && p.chance(10*time.Second): // a restore, after an outage or none
		p.awayUntil = p.now + p.between(playStep, 6*time.Second)
		p.store = p.history[max(0, len(p.history)-1-int(p.between(playStep, 9*time.Second)/playStep))]
		p.generation++
		p.rewriteAt = p.awayUntil + p.between(playStep, maxRewriteDelay)
	case p.chance(15 * time.Second):
		e := p.entries[p.random.IntN(len(p.entries))]
		e.pausedUntil = p.now + p.between(playStep, 8*time.Second)
	case p.chance(20 * time.Second): // some or all entries start again
		all := p.random.IntN(2) == 0
		for n, e := range p.entries {
			if all || n == 0 {
				p.entries[n] = &playedEntry{tracker: NewTracker(instance.LaterStart), turnedAwayUntil: e.turnedAwayUntil}
			}
		}
	default:
		return
	}
	p.lastFault = max(p.now, p.awayUntil)
}

// follow has an entry read the store, if it can.
func (p *play) follow(e *playedEntry) {
	if p.now < e.pausedUntil || p.now < e.turnedAwayUntil || p.now < p.awayUntil {
		return
	}
	isList := e.generation != p.generation
	if isList {
		isRewritten := e.applied == p.store.version && p.generation == e.writtenIn+1 && p.store.written != e.writtenAt
		e.tracker.RecordList(p.generation, isRewritten, p.now)
		e.generation, e.nextConfirmation = p.generation, 0
	}
	isWrite := p.store.written > e.watched && !isList
	e.watched = p.store.written
	if isList || isWrite {
		e.tracker.RecordStored(p.store.version)
		if p.store.version >= e.applied {
			e.applied, e.writtenIn, e.writtenAt = p.store.version, p.generation, p.store.written
			e.tracker.RecordApplied(e.applied)
		}
	}
	if isWrite {
		e.tracker.RecordWrite()
	}
	if !isWrite && p.now < e.nextConfirmation {
		return
	}
	if e.tracker.HasGap() {
		e.tracker.RecordEvidence(p.evidence(e), p.now)
	}
	e.tracker.Confirm(p.now)
	e.nextConfirmation = p.now + confirmInterval
	if e.tracker.HasGap() {
		e.nextConfirmation = p.now + e.tracker.UntilQuestion(p.now)
	}
	if g := e.tracker.ConfirmedGeneration(p.now); g == p.generation {
		p.store.recorded = g
	}
}

// evidence is what an entry finds out, from others that answer in part.
func (p *play) evidence(e *playedEntry) Evidence {
	out := Evidence{Record: RecordedEarlier}
	switch p.store.recorded {
	case p.generation:
		out.Record = RecordedNow
	case 0:
		out.Record = NotRecorded
	}
	others, answers := 0, 0
	for _, o := range p.entries {
		if o == e {
			continue
		}
		others++
		if p.now < o.pausedUntil || p.random.IntN(8) == 0 {
			continue
		}
		answers++
		out.Others.Add(o.tracker.Applied(lifetime, p.now), p.generation, p.now, p.now)
	}
	if others > 0 && answers == 0 {
		out.Err = errors.New("no answer")
	}
	return out
}

// lateKey returns a description of a removed key that an entry serves too late; "" for none.
func (p *play) lateKey() string {
	for n, e := range p.entries {
		if p.now < e.pausedUntil || e.tracker.Age(p.now) > lifetime {
			continue
		}
		if acked, found := p.ackedAt[e.applied+1]; found && p.now > acked+revocation {
			return fmt.Sprintf("entry %d of %d at %s: version %d, though %d was acknowledged %s ago", n, len(p.entries), p.now, e.applied, e.applied+1, p.now-acked)
		}
	}
	return ""
}

// TestNoRemovedKeyIsServedInRandomPlays guards against a removed key that entries serve too late
// beside restores, entries that are turned away, paused and started, and an operator that writes
// some seconds after a restore; and against entries that serve no keys after the last fault.
func TestNoRemovedKeyIsServedInRandomPlays(t *testing.T) {
	const plays, quiet, troubled, calm = 400, 10 * time.Second, 2 * time.Minute, 15 * time.Second
	for seed := range uint64(plays) {
		p := newPlay(seed, 1+int(seed%5))
		start := p.now
		for ; p.now < start+quiet+troubled || p.now < p.lastFault+calm; p.now += playStep {
			p.history = append(p.history, p.store)
			if p.now > start+quiet && p.now < start+quiet+troubled {
				p.disturb()
			}
			if p.rewriteAt > 0 && p.now >= p.rewriteAt && p.store.version != p.newest {
				p.write()
			}
			for _, e := range p.entries {
				p.follow(e)
			}
			qt.Assert(t, p.lateKey(), qt.Equals, "", qt.Commentf("seed %d", seed))
		}
		for n, e := range p.entries {
			if p.now > max(e.pausedUntil, e.turnedAwayUntil)+calm {
				qt.Assert(t, e.tracker.Age(p.now) <= lifetime && e.applied == p.newest, qt.IsTrue, qt.Commentf("seed %d, entry %d", seed, n))
			}
		}
	}
}
