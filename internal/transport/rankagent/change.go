package rankagent

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/coordination/placement"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/expert"
	"bluebellcrank/internal/transport/process"
)

// changeMap switches the group to another layout, and records the new layout if
// the switch was committed.
func (l *leader) changeMap(ctx context.Context, next expert.Layout, now time.Time) {
	a := l.agent
	l.highestVersion = max(l.highestVersion+2, newVersion(now))
	loads := maxLoadsPerRank(l.layout, next)
	limits := mapswitch.Limits{
		PrepareTimeout: 2*time.Duration(loads)*l.profile.ExpertLoadTime + prepareMargin,
		ArmTimeout:     armTimeout,
	}
	event.SwitchStarted.Log(a.log, "group", l.self.Group, "epoch", l.epoch, "version", l.highestVersion, "loads", loads, "slowest-speed", slices.Min(l.speeds()),
		"running", lo.SumBy(l.samples, func(s *sampleReply) int { return s.Report.Running }),
		"skew", placement.Skew(l.layout, l.popularity), "skew-after", placement.Skew(next, l.popularity),
		"step-time", placement.StepTime(l.layout, l.popularity, l.speeds(), l.rebalanceParams()),
		"step-time-after", placement.StepTime(next, l.popularity, l.speeds(), l.rebalanceParams()))
	roles := mapswitch.Roles{
		Coordinator: l.self.Rank,
		Holder:      (l.self.Rank + 1) % len(l.samples),
		Absent:      mapswitch.NoRank,
	}
	s := mapswitch.New(l.epoch, l.highestVersion, roles, len(l.samples), l.lastStep, limits, now)
	l.runSwitch(ctx, s, next)
	l.lastStep = max(l.lastStep, s.Step())
	if s.Stage() == mapswitch.Committed {
		l.layout, l.version = next, s.Version()
	}
	l.highestVersion = max(l.highestVersion, s.Version()+1)
	event.SwitchEnded.Log(a.log, "version", s.Version(), "stage", string(s.Stage()), "step", s.Step(), "ms", time.Since(now).Milliseconds())
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
	packed := packLayout(next)
	uncancelled := context.WithoutCancel(ctx)
	lastSample := time.Now()
	roundStart := process.BootTime()
	for {
		now, boot := time.Now(), process.BootTime()
		if boot-roundStart > l.maxRoundAge() {
			// The locks may have expired, so another agent may lead now.
			event.SwitchFailed.Log(a.log, "version", s.Version(), "step", s.Step(), "suspended-ms", (boot - roundStart).Milliseconds())
			l.backOffUntil = now.Add(lockTimeout)
			return
		}
		roundStart = boot
		if len(l.missing) > 0 {
			// Orders to the engine of a missing agent are slow. Sampling
			// renews the locks on the other agents in time.
			l.sampleAll(uncancelled)
		}
		orders := s.Orders(now)
		if s.Ended() {
			break
		}
		replies := make([]*orderReply, len(l.addresses))
		l.forEachRank(func(r int) {
			for _, o := range orders {
				if o.Rank == r {
					replies[r] = l.sendOrder(uncancelled, o, packed)
				}
			}
		})
		if lo.SomeBy(replies, func(reply *orderReply) bool { return reply != nil && !reply.Granted }) {
			// Another agent leads now and completes this switch.
			event.SwitchFailed.Log(a.log, "version", s.Version(), "step", s.Step(), "another-leads", true)
			l.backOffUntil = time.Now().Add(lockTimeout)
			return
		}
		for _, o := range orders {
			l.recordReply(s, o, replies[o.Rank])
		}
		if s.Stage() != mapswitch.Preparing {
			continue
		}
		time.Sleep(prepareCheckInterval)
		if time.Since(lastSample) >= sampleInterval && s.Stage() == mapswitch.Preparing {
			lastSample = time.Now()
			l.sampleAll(uncancelled)
		}
	}
	if s.Stage() == mapswitch.Committed {
		a.changes.Inc()
		return
	}
	a.failures.Inc()
	event.SwitchFailed.Log(a.log, "version", s.Version(), "step", s.Step())
}

// maxRoundAge returns how long a round of orders may last before another agent
// may have become leader.
func (l *leader) maxRoundAge() time.Duration {
	if len(l.missing) > 0 {
		return lockTimeout + maxReportAge
	}
	return lockTimeout
}

// sendOrder sends an order to a rank through its agent, or directly to its
// engine where the agent is missing or the order is a Hold or Release. It
// returns nil if there was no reply.
func (l *leader) sendOrder(ctx context.Context, o mapswitch.Order, packedNext []byte) *orderReply {
	a := l.agent
	q := orderRequest{Leader: a.settings.Name, Rank: l.self.Rank, Epoch: l.epoch, Order: o, issuedAt: process.BootTime()}
	switch o.Kind {
	case mapswitch.Prepare:
		q.Layout = packedNext
	case mapswitch.Fence:
		q.Layout = packLayout(l.layout)
	}
	var out orderReply
	var err error
	switch _, missing := l.missing[o.Rank]; {
	case o.Rank == l.self.Rank:
		out, err = a.handleOrder(ctx, q)
	case missing:
		out, err = l.orderDirectly(ctx, q)
	case o.Kind == mapswitch.Prepare:
		out, err = peer.CallWithTimeout[orderRequest, orderReply](a.peers, l.addresses[o.Rank], methodOrder, q, prepareTimeout)
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
