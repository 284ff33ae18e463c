package switchover

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	stallRanks           = 64
	stallSwitches        = 1000
	stallStepTime        = 50 * time.Millisecond
	stallLead            = 4
	stallTick            = 250 * time.Microsecond
	maxAffectedRatio     = 0.05
	ticksBetweenSwitches = 2000
)

// delayedMessage is a message with its time of arrival.
type delayedMessage struct {
	at time.Duration
	m  Message
}

// messageDelay returns a random network delay: about half a millisecond, and 50 ms
// for one message in a thousand.
func messageDelay(rnd *rand.Rand) time.Duration {
	if rnd.IntN(1000) == 0 {
		return 50 * time.Millisecond
	}
	return 300*time.Microsecond + time.Duration(rnd.ExpFloat64()*float64(300*time.Microsecond))
}

// lockstep simulates a rank group in virtual time. A step begins when every rank is
// granted it.
type lockstep struct {
	rnd         *rand.Rand
	ranks       []*Rank
	coordinator *Coordinator
	inFlight    []delayedMessage
	now         time.Duration
	nextStep    int64
	nextStepAt  time.Duration
	stalls      int
}

func (l *lockstep) send(list []Message) {
	for _, m := range list {
		l.inFlight = append(l.inFlight, delayedMessage{at: l.now + messageDelay(l.rnd), m: m})
	}
}

// tick advances the time, delivers the messages that have arrived and begins a step
// that is due.
func (l *lockstep) tick() {
	l.now += stallTick
	var due []Message
	pending := l.inFlight[:0]
	for _, delayed := range l.inFlight {
		if delayed.at > l.now {
			pending = append(pending, delayed)
			continue
		}
		due = append(due, delayed.m)
	}
	l.inFlight = pending
	for _, m := range due {
		if m.To == CoordinatorID {
			l.send(l.coordinator.Handle(m))
			continue
		}
		l.send(l.ranks[m.To].Handle(m))
	}
	if l.now >= l.nextStepAt {
		l.startStep()
	}
}

// startStep begins the next step, or counts a stall if some rank is not granted it.
func (l *lockstep) startStep() {
	for _, r := range l.ranks {
		if r.Grant(l.nextStep+1) <= l.nextStep {
			l.stalls++
			return
		}
	}
	l.nextStep++
	l.nextStepAt = l.now + stallStepTime
}

// measureStalls switches the map repeatedly and returns the fractions of switches
// that stalled a step and that were aborted.
func measureStalls(lead int64) (stalled, aborted float64) {
	l := &lockstep{rnd: rand.New(rand.NewPCG(1, 2)), coordinator: NewCoordinator(1, stallRanks)}
	for id := range stallRanks {
		l.ranks = append(l.ranks, NewRank(id, stallRanks))
	}
	l.send(l.coordinator.PendingMessages())
	for version := int64(2); version < stallSwitches+2; version++ {
		for l.coordinator.Phase() != Idle {
			l.tick()
		}
		for range ticksBetweenSwitches {
			l.tick()
		}
		l.send(l.coordinator.Refresh())
		for l.coordinator.Phase() != Idle {
			l.tick()
		}
		stallsBefore := l.stalls
		list, _ := l.coordinator.Propose(version, lead)
		l.send(list)
		for l.coordinator.Phase() == Preparing || l.coordinator.Phase() == Committing {
			l.tick()
		}
		if l.coordinator.Phase() == Aborting {
			aborted++
			l.coordinator.FinishAbort()
		}
		if l.stalls > stallsBefore {
			stalled++
		}
	}
	return stalled / stallSwitches, aborted / stallSwitches
}

// TestMeasureStall checks that few switches stall a step or are aborted if a change
// begins stallLead steps ahead, and prints the figures for smaller leads.
func TestMeasureStall(t *testing.T) {
	for _, lead := range []int64{0, 1, stallLead} {
		stalled, aborted := measureStalls(lead)
		bound, verdict := "-", "-"
		if lead == stallLead {
			bound, verdict = "<= 0.05", "met"
			qt.New(t).Check(stalled <= maxAffectedRatio, qt.IsTrue)
			qt.New(t).Check(aborted <= maxAffectedRatio, qt.IsTrue)
		}
		t.Logf("row | switch of 64 ranks, %d steps ahead, stalls a step | %.4g | ratio | %s | %s |", lead, stalled, bound, verdict)
		t.Logf("row | switch of 64 ranks, %d steps ahead, aborted | %.4g | ratio | %s | %s |", lead, aborted, bound, verdict)
	}
}
