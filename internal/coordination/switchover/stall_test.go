package switchover

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	stallRanks    = 64
	stallSwitches = 1000
	stallStep     = 50 * time.Millisecond
	stallLead     = 4
	stallTick     = 250 * time.Microsecond
	stallsBound   = 0.05
	ticksBetween  = 2000
)

// arriving is a message with the time at which it arrives.
type arriving struct {
	at time.Duration
	m  Message
}

// latency is a message's way: about half a millisecond, and 50 ms for one in
// a thousand.
func latency(rnd *rand.Rand) time.Duration {
	if rnd.IntN(1000) == 0 {
		return 50 * time.Millisecond
	}
	return 300*time.Microsecond + time.Duration(rnd.ExpFloat64()*float64(300*time.Microsecond))
}

// lockstep is a group in virtual time; a step begins when every rank may.
type lockstep struct {
	rnd    *rand.Rand
	ranks  []*Rank
	coord  *Coordinator
	air    []arriving
	now    time.Duration
	next   int64
	begins time.Duration
	stalls int
}

func (l *lockstep) send(list []Message) {
	for _, m := range list {
		l.air = append(l.air, arriving{at: l.now + latency(l.rnd), m: m})
	}
}

// tick delivers what has arrived, and begins a step that is due.
func (l *lockstep) tick() {
	l.now += stallTick
	var due []Message
	kept := l.air[:0]
	for _, a := range l.air {
		if a.at > l.now {
			kept = append(kept, a)
			continue
		}
		due = append(due, a.m)
	}
	l.air = kept
	for _, m := range due {
		if m.To == CoordinatorID {
			l.send(l.coord.Handle(m))
			continue
		}
		l.send(l.ranks[m.To].Handle(m))
	}
	if l.now >= l.begins {
		l.begin()
	}
}

func (l *lockstep) begin() {
	for _, r := range l.ranks {
		if r.Grant(l.next+1) <= l.next {
			l.stalls++
			return
		}
	}
	l.next++
	l.begins = l.now + stallStep
}

// stalls switches the map again and again and returns the parts of the
// switches that stalled a step, and that were aborted.
func stalls(lead int64) (stalled, aborted float64) {
	l := &lockstep{rnd: rand.New(rand.NewPCG(1, 2)), coord: NewCoordinator(1, stallRanks)}
	for id := range stallRanks {
		l.ranks = append(l.ranks, NewRank(id, stallRanks))
	}
	l.send(l.coord.PendingMessages())
	for version := int64(2); version < stallSwitches+2; version++ {
		for l.coord.Phase() != Idle {
			l.tick()
		}
		for range ticksBetween {
			l.tick()
		}
		l.send(l.coord.Refresh())
		for l.coord.Phase() != Idle {
			l.tick()
		}
		before := l.stalls
		list, _ := l.coord.Propose(version, lead)
		l.send(list)
		for l.coord.Phase() == Preparing || l.coord.Phase() == Committing {
			l.tick()
		}
		if l.coord.Phase() == Aborting {
			aborted++
			l.coord.FinishAbort()
		}
		if l.stalls > before {
			stalled++
		}
	}
	return stalled / stallSwitches, aborted / stallSwitches
}

func TestMeasureStall(t *testing.T) {
	for _, lead := range []int64{0, 1, stallLead} {
		stalled, aborted := stalls(lead)
		bound, verdict := "-", "-"
		if lead == stallLead {
			bound, verdict = "<= 0.05", "met"
			qt.New(t).Check(stalled <= stallsBound, qt.IsTrue)
			qt.New(t).Check(aborted <= stallsBound, qt.IsTrue)
		}
		t.Logf("row | switch of 64 ranks, %d steps ahead, stalls a step | %.4g | ratio | %s | %s |", lead, stalled, bound, verdict)
		t.Logf("row | switch of 64 ranks, %d steps ahead, aborted | %.4g | ratio | %s | %s |", lead, aborted, bound, verdict)
	}
}
