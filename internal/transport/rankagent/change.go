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

// change has the group use another layout.
func (l *leader) change(ctx context.Context, next expert.Layout, now time.Time) {
	a := l.agent
	l.highest = max(l.highest+2, version(now))
	loads := mostLoads(l.layout, next)
	limits := mapswitch.Limits{
		PrepareTimeout: 2*time.Duration(loads)*l.profile.ExpertLoadTime + prepareMargin,
		ArmTimeout:     armFor,
	}
	event.SwitchStarted.Log(a.log, "group", l.self.Group, "epoch", l.epoch, "version", l.highest, "loads", loads, "slowest-speed", slices.Min(l.speeds()),
		"running", lo.SumBy(l.samples, func(s *sampleReply) int { return s.Report.Running }),
		"skew", placement.Skew(l.layout, l.popularity), "skew-after", placement.Skew(next, l.popularity),
		"step-time", placement.StepTime(l.layout, l.popularity, l.speeds(), l.terms()),
		"step-time-after", placement.StepTime(next, l.popularity, l.speeds(), l.terms()))
	roles := mapswitch.Roles{
		Coordinator: l.self.Rank,
		Holder:      (l.self.Rank + 1) % len(l.samples),
		Absent:      mapswitch.NoRank,
	}
	s := mapswitch.New(l.epoch, l.highest, roles, len(l.samples), l.lastStep, limits, now)
	l.drive(ctx, s, next)
	l.lastStep = max(l.lastStep, s.Step())
	if s.Stage() == mapswitch.Committed {
		l.layout, l.version = next, s.Version()
	}
	l.highest = max(l.highest, s.Version()+1)
	event.SwitchEnded.Log(a.log, "version", s.Version(), "stage", string(s.Stage()), "step", s.Step(), "ms", time.Since(now).Milliseconds())
}

// mostLoads is how many experts one rank has to load at the most.
func mostLoads(from, to expert.Layout) int {
	loads := make([]int, len(from[0]))
	for s := range from {
		for r, on := range to[s] {
			for _, e := range on {
				if !slices.Contains(from[s][r], e) {
					loads[r]++
				}
			}
		}
	}
	return slices.Max(loads)
}

// drive sends the orders of a change until it has ended. A process that is
// told to stop still ends a change that has begun.
func (l *leader) drive(ctx context.Context, s *mapswitch.Switch, next expert.Layout) {
	a := l.agent
	packed := packLayout(next)
	patience := context.WithoutCancel(ctx)
	sampled := time.Now()
	round := process.BootTime()
	for {
		now, boot := time.Now(), process.BootTime()
		if boot-round > l.roundLife() {
			// Another agent may lead by now.
			event.SwitchFailed.Log(a.log, "version", s.Version(), "step", s.Step(), "suspended-ms", (boot - round).Milliseconds())
			l.backOff = now.Add(lockLife)
			return
		}
		round = boot
		if len(l.missing) > 0 {
			// Orders to a missing agent's engine take long; this renews the
			// locks on the others.
			l.sampleAll(patience)
		}
		orders := s.Orders(now)
		if s.Ended() {
			break
		}
		answers := make([]*orderReply, len(l.addresses))
		l.each(func(r int) {
			for _, o := range orders {
				if o.Rank == r {
					answers[r] = l.send(patience, o, packed)
				}
			}
		})
		if lo.SomeBy(answers, func(a *orderReply) bool { return a != nil && !a.Granted }) {
			// Another agent leads, and ends what this one has begun.
			event.SwitchFailed.Log(a.log, "version", s.Version(), "step", s.Step(), "another-leads", true)
			l.backOff = time.Now().Add(lockLife)
			return
		}
		for _, o := range orders {
			l.report(s, o, answers[o.Rank])
		}
		if s.Stage() != mapswitch.Preparing {
			continue
		}
		time.Sleep(lookPause)
		if time.Since(sampled) >= sampleEvery && s.Stage() == mapswitch.Preparing {
			sampled = time.Now()
			l.sampleAll(patience)
		}
	}
	if s.Stage() == mapswitch.Committed {
		a.changes.Inc()
		return
	}
	a.failures.Inc()
	event.SwitchFailed.Log(a.log, "version", s.Version(), "step", s.Step())
}

// roundLife is how long a round of orders may take before another agent may
// have taken over.
func (l *leader) roundLife() time.Duration {
	if len(l.missing) > 0 {
		return lockLife + reportLag
	}
	return lockLife
}

// send has an agent give one order; nil says that it did not answer.
func (l *leader) send(ctx context.Context, o mapswitch.Order, next []byte) *orderReply {
	a := l.agent
	q := orderRequest{Leader: a.settings.Name, Rank: l.self.Rank, Epoch: l.epoch, Order: o, issued: process.BootTime()}
	switch o.Kind {
	case mapswitch.Prepare:
		q.Layout = next
	case mapswitch.Fence:
		q.Layout = packLayout(l.layout)
	}
	var out orderReply
	var err error
	switch _, gone := l.missing[o.Rank]; {
	case o.Rank == l.self.Rank:
		out, err = a.order(ctx, q)
	case gone:
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

func (l *leader) report(s *mapswitch.Switch, o mapswitch.Order, a *orderReply) {
	if a == nil || a.Report == nil {
		s.RecordMissingReport(o)
		if a == nil {
			time.Sleep(roundPause)
		}
		return
	}
	l.highest = max(l.highest, a.Report.Version, a.Report.Prepared, a.Report.Armed)
	s.RecordReport(o, *a.Report, a.Answered, time.Now())
}
