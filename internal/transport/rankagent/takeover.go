package rankagent

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/coordination/placement"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/expert"
	"bluebellcrank/platform"
)

const (
	// maxReportAge is how old the report of an engine on another machine may
	// be: the lag of 200 ms that the platform documents, and a margin.
	maxReportAge = 350 * time.Millisecond
	// directQueryInterval is the shortest time between two queries of the
	// engines of missing agents, since the platform charges for them.
	directQueryInterval = 500 * time.Millisecond
)

// deferToLeader backs off for lockTimeout if an agent accepts orders from a
// leader with a lower rank. It reports whether it did.
func (l *leader) deferToLeader(now time.Time) bool {
	for _, s := range l.samples {
		if s != nil && !s.Granted && s.Holder < l.self.Rank {
			l.backOffUntil = now.Add(lockTimeout)
			return true
		}
	}
	return false
}

// recoverHeldGroup completes or undoes a change that another leader left with a
// held group. It queries the engines of missing agents directly, and reports
// whether it ran a recovery.
func (l *leader) recoverHeldGroup(ctx context.Context, now time.Time) bool {
	reports, absent, known := l.rankReports(ctx, now)
	if !known {
		return false
	}
	for n, r := range reports {
		if r.Held == 0 {
			continue
		}
		l.highestVersion = max(l.highestVersion+2, newVersion(now))
		l.epoch = r.Epoch
		if lo.SomeBy(lo.Range(len(reports)), func(n int) bool { return n != absent && reports[n].Version != l.version }) {
			l.layout = nil // another leader has changed the map since
		}
		isKnown, isExact := l.assembleWithMissing(ctx, absent)
		if !isKnown {
			return false
		}
		l.version = reports[l.self.Rank].Version
		event.HeldGroupTakenOver.Log(l.agent.log, "group", l.self.Group, "held-rank", n, "step", r.Held, "missing", len(l.missing), "absent-rank", absent)
		delete(l.missing, absent)
		roles := mapswitch.Roles{Coordinator: l.self.Rank, Holder: n, Absent: absent}
		l.runSwitch(ctx, mapswitch.Recover(r.Epoch, l.highestVersion, r.Held, roles, len(reports), now), l.layout)
		l.highestVersion += 2
		if !isExact {
			l.layout = nil
		}
		return true
	}
	return false
}

// rankReports returns the state of every rank, and the absent rank or
// mapswitch.NoRank. A rank is absent if neither its agent nor its engine can be
// reached and its agent coordinated the last change. The last result is false
// if the state of any other rank is unknown, if an agent accepts orders from
// another leader, or if the ranks are not all open in the same epoch.
func (l *leader) rankReports(ctx context.Context, now time.Time) ([]expert.RankReport, int, bool) {
	out := make([]expert.RankReport, len(l.samples))
	for n, s := range l.samples {
		switch {
		case s == nil:
			if l.missing[n].IsZero() {
				l.missing[n] = now
			}
		case !s.Granted:
			return nil, 0, false
		default:
			delete(l.missing, n)
			out[n] = *s.Report
		}
	}
	absent := mapswitch.NoRank
	if len(l.missing) > 0 && now.Sub(l.directQueryAt) < directQueryInterval {
		return nil, absent, false
	}
	for n := range l.missing {
		l.directQueryAt = now
		r, err := l.engineClient(n).Report(ctx)
		if err != nil {
			event.EngineUnreachable.Log(l.agent.log, "rank", n, "silent-ms", now.Sub(l.missing[n]).Milliseconds(), "error", err.Error())
			if n != l.agent.own.lastCoordinator() {
				return nil, absent, false
			}
			absent = n
			continue
		}
		out[n] = r
	}
	consistent := lo.EveryBy(lo.Range(len(out)), func(n int) bool {
		return n == absent || out[n].Open && out[n].Epoch == out[l.self.Rank].Epoch
	})
	return out, absent, consistent
}

// renewLocks renews the locks on the agents that reply. A lock that another leader
// has acquired is noticed by the next order to its agent.
func (l *leader) renewLocks(ctx context.Context) {
	l.forEachRank(func(r int) {
		if _, missing := l.missing[r]; !missing {
			_, _ = l.sampleRank(ctx, r, sampleRequest{})
		}
	})
}

// assembleWithMissing builds the current map where agents are missing, whose
// engines it queries directly. An absent rank is assumed to hold the experts
// that no other rank holds. The map is not exact then, nor where ranks use different
// maps, so that some expert is on no rank and has to be added.
func (l *leader) assembleWithMissing(ctx context.Context, absent int) (isKnown, isExact bool) {
	if l.layout != nil {
		return true, true
	}
	layout := make(expert.Layout, l.profile.LayerSets)
	for n, s := range l.samples {
		var experts [][]int
		switch {
		case n == absent:
			experts = make([][]int, len(layout))
		case s != nil:
			experts = s.Experts
		default:
			read, err := l.engineClient(n).Experts(ctx)
			if err != nil {
				event.EngineUnreachable.Log(l.agent.log, "rank", n, "error", err.Error())
				return false, false
			}
			experts = read
		}
		if len(experts) != len(layout) {
			return false, false
		}
		for set := range layout {
			layout[set] = append(layout[set], experts[set])
		}
	}
	if absent != mapswitch.NoRank {
		layout.AssignMissing(absent, l.profile.Experts)
	}
	layout.Sort()
	isExact = absent == mapswitch.NoRank && layout.Covers(l.profile.Experts)
	// An engine takes no map without some expert.
	layout, ok := placement.Complete(layout, l.profile.Experts, l.profile.ExpertSlots, l.profile.MaxLoadsPerSet)
	if !ok {
		event.MapsDiffer.Log(l.agent.log, "group", l.self.Group, "epoch", l.epoch, "can-be-unified", false)
		return false, false
	}
	l.layout = layout
	return true, isExact
}

// engineClient returns a client for the engine of another rank.
func (l *leader) engineClient(rank int) *platform.Engine {
	address := l.engines[rank]
	if l.directEngines[address] == nil {
		l.directEngines[address] = platform.NewEngine(address, peerTimeout)
	}
	return l.directEngines[address]
}

// closeDepartedClients closes the clients of engines that have left the group.
func (l *leader) closeDepartedClients() {
	for address, e := range l.directEngines {
		if !lo.Contains(l.engines, address) {
			e.Close()
			delete(l.directEngines, address)
		}
	}
}

// orderDirectly sends an order to the engine of a missing agent. It then waits until
// the engine's report shows the effect of the last order that it was given. Before
// the first order, the agent's previous leader has been silent for holderTimeout or
// longer, which is more than maxReportAge.
func (l *leader) orderDirectly(ctx context.Context, r orderRequest, layout expert.Layout) (orderReply, error) {
	e := l.engineClient(r.Order.Rank)
	err := applyOrder(ctx, e, r, layout)
	out := orderReply{Granted: true, Answered: err == nil || errors.Is(err, platform.ErrOrderRefused)}
	if r.Order.Kind != mapswitch.Query {
		l.orderedDirectlyAt[r.Order.Rank] = time.Now()
	}
	time.Sleep(maxReportAge - time.Since(l.orderedDirectlyAt[r.Order.Rank]))
	report, err := e.Report(ctx)
	if err != nil {
		return out, err
	}
	out.Report = &report
	return out, nil
}

// orderHolder sends an order directly to the engine of the rank that holds the
// step, not through its agent. If the machine that sent the order is paused, it is
// then not the machine of that engine, and another agent can still have the engine
// release the step. The rank's agent reads the rank's state after the order.
func (l *leader) orderHolder(ctx context.Context, r orderRequest) (orderReply, error) {
	orderCtx, cancel := context.WithTimeout(ctx, l.agent.timeouts.order)
	defer cancel()
	err := applyOrder(orderCtx, l.engineClient(r.Order.Rank), r, nil)
	answered := err == nil || errors.Is(err, platform.ErrOrderRefused)
	if !answered {
		event.EngineUnreachable.Log(l.agent.log, "rank", r.Order.Rank, "order", string(r.Order.Kind), "step", r.Order.Step, "error", err.Error())
	}
	queryRequest := r
	queryRequest.Order.Kind = mapswitch.Query
	out, err := peer.Call[orderRequest, orderReply](l.agent.peers, l.addresses[r.Order.Rank], methodOrder, queryRequest)
	out.Answered = answered
	return out, err
}
