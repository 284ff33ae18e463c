package rankagent

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/coordination/placement"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/expert"
	"bluebellcrank/internal/transport/process"
)

// maxSwitchTime bounds a change as a whole. An abandoned change that has left a step
// held is taken over like that of a leader that is gone.
const maxSwitchTime = 10 * time.Second

// rebalanceFields returns the fields of a log line that tell what a change to another
// layout is expected to gain.
func (l *leader) rebalanceFields(next expert.Layout) []any {
	return []any{
		"slowest-speed", slices.Min(l.speeds()),
		"running", lo.SumBy(l.samples, func(s *sampleReply) int { return s.Report.Running }),
		"skew", placement.Skew(l.layout, l.popularity), "skew-after", placement.Skew(next, l.popularity),
		"step-time", placement.StepTime(l.layout, l.popularity, l.speeds(), l.rebalanceParams()),
		"step-time-after", placement.StepTime(next, l.popularity, l.speeds(), l.rebalanceParams()),
	}
}

// changeMap switches the group to another layout, for which one rank has to load at most
// the given number of experts. It records the new layout and reports true if the switch
// was committed. The fields are added to the log line of its start.
func (l *leader) changeMap(ctx context.Context, next expert.Layout, loads int, now time.Time, fields ...any) bool {
	a := l.agent
	next.Sort()
	l.highestVersion = max(l.highestVersion+2, newVersion(now))
	limits := mapswitch.Limits{
		PrepareTimeout: 2*time.Duration(loads)*l.profile.ExpertLoadTime + prepareMargin,
		ArmTimeout:     armTimeout,
	}
	event.SwitchStarted.Log(a.log, append([]any{
		"group", l.self.Group, "epoch", l.epoch, "version", l.highestVersion, "loads", loads,
		"layout-bytes", len(packChanges(l.layout, next, l.profile.Experts).Lists),
	}, fields...)...)
	roles := mapswitch.Roles{
		Coordinator: l.self.Rank,
		Holder:      (l.self.Rank + 1) % len(l.samples),
		Absent:      mapswitch.NoRank,
	}
	s := mapswitch.New(l.epoch, l.highestVersion, roles, len(l.samples), l.usedSteps.Last(), limits, now)
	l.runSwitch(ctx, s, next)
	isCommitted := s.Stage() == mapswitch.Committed
	if isCommitted {
		l.layout, l.version = next, s.Version()
	}
	l.highestVersion = max(l.highestVersion, s.Version()+1)
	event.SwitchEnded.Log(a.log, "version", s.Version(), "stage", string(s.Stage()), "step", s.Step(), "ms", time.Since(now).Milliseconds())
	return isCommitted
}

// maxLoadsPerRank returns the largest number of experts that one rank has to
// load for a change of layout.
func maxLoadsPerRank(from, to expert.Layout) int {
	loads := make([]int, len(from[0]))
	for s := range from {
		for r, experts := range to[s] {
			for _, e := range experts {
				if !slices.Contains(from[s][r], e) {
					loads[r]++
				}
			}
		}
	}
	return slices.Max(loads)
}

// runSwitch sends the orders of a switch until the switch ends, or until
// another agent leads or may lead. It does not stop when ctx is cancelled: a
// switch in progress is still completed when the process is told to stop.
func (l *leader) runSwitch(ctx context.Context, s *mapswitch.Switch, next expert.Layout) {
	a := l.agent
	defer func() { l.usedSteps.Record(s.Step()) }()
	messages := l.newLayoutMessages(next)
	began := time.Now()
	uncancelled := context.WithoutCancel(ctx)
	lastSample := time.Now()
	roundStart, roundStartBoot := time.Now(), process.BootTime()
	roundLimit := l.maxRoundAge(s.Stage())
	for {
		now, boot := time.Now(), process.BootTime()
		if age := boot - roundStartBoot; age > roundLimit || now.Sub(began) > a.timeouts.change {
			// The locks may have expired, so another agent may lead now.
			event.SwitchFailed.Log(a.log, "version", s.Version(), "step", s.Step(), "stage", string(s.Stage()),
				"round-ms", age.Milliseconds(), "suspended-ms", (age - now.Sub(roundStart)).Milliseconds())
			l.backOffUntil = now.Add(lockTimeout)
			return
		}
		roundStart, roundStartBoot = now, boot
		if len(l.missing) > 0 {
			// Orders to the engine of a missing agent are slow.
			l.renewLocks(uncancelled)
		}
		step, holdLost := s.Step(), s.HoldLost()
		orders := s.Orders(now)
		if s.Ended() {
			break
		}
		orders = withHolderQuery(orders, s)
		roundLimit = l.maxRoundAge(s.Stage())
		replies := l.sendOrders(uncancelled, orders, messages)
		if lo.SomeBy(replies, func(reply *orderReply) bool { return reply != nil && !reply.Granted }) {
			// Another agent leads now and completes this switch.
			event.SwitchFailed.Log(a.log, "version", s.Version(), "step", s.Step(), "another-leads", true)
			l.backOffUntil = time.Now().Add(lockTimeout)
			return
		}
		for _, o := range orders {
			l.recordReply(s, o, replies[o.Rank])
		}
		l.logHold(s, step, holdLost)
		if s.Stage() == mapswitch.Preparing {
			lastSample = l.awaitLoads(uncancelled, s, lastSample)
		}
	}
	if s.Stage() == mapswitch.Committed {
		a.changes.Inc()
		return
	}
	a.failures.Inc()
	event.SwitchFailed.Log(a.log, "version", s.Version(), "step", s.Step())
}

// awaitLoads waits while ranks load experts, and samples the group if that is due since
// lastSample. It returns the time of the latest sample.
func (l *leader) awaitLoads(ctx context.Context, s *mapswitch.Switch, lastSample time.Time) time.Time {
	time.Sleep(prepareCheckInterval)
	now := time.Now()
	if now.Sub(lastSample) < sampleInterval {
		return lastSample
	}
	l.sampleAll(ctx)
	if rank := l.heldRank(); rank != mapswitch.NoRank {
		// A delayed order of an earlier change. Another round recovers the group.
		event.SwitchFailed.Log(l.agent.log, "version", s.Version(), "held-rank", rank)
		s.CancelPreparation(now)
	}
	return now
}

// heldRank returns a rank that held a step when it was last sampled, or
// mapswitch.NoRank.
func (l *leader) heldRank() int {
	_, rank, _ := lo.FindIndexOf(l.samples, func(s *sampleReply) bool {
		return s != nil && s.Report != nil && s.Report.Held != 0
	})
	return rank
}

// logHold logs what a round of orders has changed: the step that the change uses, and
// the loss of its hold.
func (l *leader) logHold(s *mapswitch.Switch, stepBefore int64, lostBefore bool) {
	if s.Step() != stepBefore {
		event.SwitchStepChosen.Log(l.agent.log, "version", s.Version(), "step", s.Step(), "holder", s.Holder())
	}
	if s.HoldLost() && !lostBefore {
		event.SwitchHoldLost.Log(l.agent.log, "version", s.Version(), "step", s.Step(), "holder", s.Holder())
	}
}

// withHolderQuery adds a query of the rank that holds the step, unless it has an
// order: the agent of a held rank takes over from a leader that it does not hear of.
func withHolderQuery(orders []mapswitch.Order, s *mapswitch.Switch) []mapswitch.Order {
	holder := s.Holder()
	if s.Stage() == mapswitch.Preparing || lo.SomeBy(orders, func(o mapswitch.Order) bool { return o.Rank == holder }) {
		return orders
	}
	return append(orders, mapswitch.Order{Rank: holder, Kind: mapswitch.Query})
}

// maxRoundAge returns how long a round of orders may last in a stage before another
// agent may have become leader and the change is abandoned. There is no limit while
// ranks load experts, since no step is held, and none while a change is undone, since
// an undone change cannot be committed: an agent that has another leader by then
// refuses the next order.
func (l *leader) maxRoundAge(stage mapswitch.Stage) time.Duration {
	switch stage {
	case mapswitch.Preparing, mapswitch.Aborting, mapswitch.Yielding:
		return math.MaxInt64
	}
	if len(l.missing) > 0 {
		return lockTimeout + maxReportAge
	}
	return l.agent.timeouts.heldRound
}

// layoutMessages are the messages that describe the layouts of a change.
type layoutMessages struct {
	// current is the layout in force, next the new one.
	current, next expert.Layout
	// changes and unchanged are the new layout and the one in force for agents that
	// know the latter.
	changes, unchanged layoutChanges
	// whole and wholeCurrent are the same for all other agents.
	whole, wholeCurrent func() layoutChanges
}

// newLayoutMessages prepares the messages of a change to another layout.
func (l *leader) newLayoutMessages(next expert.Layout) layoutMessages {
	current, experts := l.layout, l.profile.Experts
	return layoutMessages{
		current:      current,
		next:         next,
		changes:      packChanges(current, next, experts),
		unchanged:    packChanges(current, current, experts),
		whole:        sync.OnceValue(func() layoutChanges { return packChanges(nil, next, experts) }),
		wholeCurrent: sync.OnceValue(func() layoutChanges { return packChanges(nil, current, experts) }),
	}
}

// layoutFor returns the layout that an order carries and the message that describes
// it; both are nil for an order without one.
func (m layoutMessages) layoutFor(kind mapswitch.Kind, whole bool) (expert.Layout, *layoutChanges) {
	switch {
	case kind == mapswitch.Prepare && whole:
		return m.next, lo.ToPtr(m.whole())
	case kind == mapswitch.Prepare:
		return m.next, &m.changes
	case kind == mapswitch.Fence && whole:
		return m.current, lo.ToPtr(m.wholeCurrent())
	case kind == mapswitch.Fence:
		return m.current, &m.unchanged
	}
	return nil, nil
}

// sendOrder sends an order to a rank through its agent, or directly to its
// engine where the agent is missing or the order is a Hold or Release. It
// returns nil if there was no reply.
func (l *leader) sendOrder(ctx context.Context, o mapswitch.Order, messages layoutMessages) *orderReply {
	reply := l.sendOrderOnce(ctx, o, messages, false)
	if reply != nil && reply.NeedsLayout {
		return l.sendOrderOnce(ctx, o, messages, true)
	}
	return reply
}

// newOrderRequest returns the request for an order of this leader, without a layout.
func (l *leader) newOrderRequest(o mapswitch.Order) orderRequest {
	return orderRequest{Leader: l.agent.settings.Name, Rank: l.self.Rank, Epoch: l.epoch, Order: o, issuedAt: process.BootTime(), maxAge: l.agent.timeouts.orderAge}
}

func (l *leader) sendOrderOnce(ctx context.Context, o mapswitch.Order, messages layoutMessages, wholeLayout bool) *orderReply {
	a := l.agent
	q := l.newOrderRequest(o)
	layout, message := messages.layoutFor(o.Kind, wholeLayout)
	q.Layout = message
	var out orderReply
	var err error
	switch _, missing := l.missing[o.Rank]; {
	case o.Rank == l.self.Rank:
		out, err = a.handleOrder(ctx, q)
	case missing:
		out, err = l.orderDirectly(ctx, q, layout)
	case o.Kind == mapswitch.Prepare:
		out, err = peer.CallWithTimeout[orderRequest, orderReply](a.peers, l.addresses[o.Rank], methodOrder, q, a.timeouts.prepare)
	case o.Kind == mapswitch.Hold || o.Kind == mapswitch.Release:
		out, err = l.orderHolder(ctx, q)
	default:
		out, err = peer.Call[orderRequest, orderReply](a.peers, l.addresses[o.Rank], methodOrder, q)
	}
	if err != nil {
		return nil
	}
	return &out
}

// recordReply passes the reply to an order on to the switch. After a missing
// reply it waits for roundInterval.
func (l *leader) recordReply(s *mapswitch.Switch, o mapswitch.Order, reply *orderReply) {
	if reply == nil || reply.Report == nil {
		s.RecordMissingReport(o)
		if reply == nil {
			time.Sleep(roundInterval)
		}
		return
	}
	l.highestVersion = max(l.highestVersion, reply.Report.Version, reply.Report.Prepared, reply.Report.Armed)
	s.RecordReport(o, *reply.Report, reply.Answered, time.Now())
}
