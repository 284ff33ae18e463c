package rankagent

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/expert"
	"bluebellcrank/platform"
)

const (
	// reportLag is how old an engine's report may be from another machine:
	// the lag of 200 ms that the platform states, and a margin.
	reportLag = 350 * time.Millisecond
	// askEvery is the time between two questions to the engine of an agent that
	// does not answer, which the platform charges for.
	askEvery = 500 * time.Millisecond
)

// denied gives way to a leader with a lower rank.
func (l *leader) denied(now time.Time) bool {
	for _, s := range l.samples {
		if s != nil && !s.Granted && s.Holder < l.self.Rank {
			l.backOff = now.Add(lockLife)
			return true
		}
	}
	return false
}

// release ends what another leader left behind: a group that is held. The
// engine of an agent that does not answer is asked directly.
func (l *leader) release(ctx context.Context, now time.Time) bool {
	reports, absent, known := l.reports(ctx, now)
	if !known {
		return false
	}
	for n, r := range reports {
		if r.Held == 0 {
			continue
		}
		l.highest = max(l.highest+2, version(now))
		l.epoch = r.Epoch
		if !l.readLayout(ctx, absent) {
			return false
		}
		event.HeldGroupTakenOver.Log(l.agent.log, "group", l.self.Group, "held-rank", n, "step", r.Held, "missing", len(l.missing), "absent-rank", absent)
		delete(l.missing, absent)
		roles := mapswitch.Roles{Coordinator: l.self.Rank, Holder: n, Absent: absent}
		l.drive(ctx, mapswitch.Recover(r.Epoch, l.highest, r.Held, roles, len(reports), now), l.layout)
		l.highest += 2
		if absent != mapswitch.NoRank {
			l.layout = nil // the absent rank's part of it was inferred
		}
		return true
	}
	return false
}

// reports returns every rank's state, and the rank of which it is not known
// because it is that of the agent that began the last change, whose machine
// answers nobody. It returns false where another rank's state is not known, or
// the agent of some rank takes orders from another leader.
func (l *leader) reports(ctx context.Context, now time.Time) ([]expert.RankReport, int, bool) {
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
	if len(l.missing) > 0 && now.Sub(l.asked) < askEvery {
		return nil, absent, false
	}
	for n := range l.missing {
		l.asked = now
		r, err := l.engine(n).Report(ctx)
		if err != nil {
			event.EngineUnreachable.Log(l.agent.log, "rank", n, "silent-ms", now.Sub(l.missing[n]).Milliseconds(), "error", err.Error())
			if n != l.agent.own.begunBy() {
				return nil, absent, false
			}
			absent = n
			continue
		}
		out[n] = r
	}
	one := lo.EveryBy(lo.Range(len(out)), func(n int) bool {
		return n == absent || out[n].Open && out[n].Epoch == out[l.self.Rank].Epoch
	})
	return out, absent, one
}

// readLayout puts the map in force together where one agent is missing. An
// absent rank is taken to hold what no other rank does.
func (l *leader) readLayout(ctx context.Context, absent int) bool {
	if l.layout != nil {
		return true
	}
	layout := make(expert.Layout, l.profile.LayerSets)
	for n, s := range l.samples {
		var on [][]int
		switch {
		case n == absent:
			on = make([][]int, len(layout))
		case s != nil:
			on = s.Experts
		default:
			read, err := l.engine(n).Experts(ctx)
			if err != nil {
				event.EngineUnreachable.Log(l.agent.log, "rank", n, "error", err.Error())
				return false
			}
			on = read
		}
		if len(on) != len(layout) {
			return false
		}
		for set := range layout {
			layout[set] = append(layout[set], on[set])
		}
	}
	if absent != mapswitch.NoRank {
		layout.AssignMissing(absent, l.profile.Experts)
	}
	l.layout = layout
	return true
}

// engine returns a client of another rank's engine.
func (l *leader) engine(rank int) *platform.Engine {
	address := l.engines[rank]
	if l.direct[address] == nil {
		l.direct[address] = platform.NewEngine(address, peerTimeout)
	}
	return l.direct[address]
}

// keepDirect ends the clients of engines that have left the group.
func (l *leader) keepDirect() {
	for address, e := range l.direct {
		if !lo.Contains(l.engines, address) {
			e.Close()
			delete(l.direct, address)
		}
	}
}

// orderDirectly gives an order to the engine of an agent that does not answer,
// and waits until the engine's report shows what came of it.
func (l *leader) orderDirectly(ctx context.Context, r orderRequest) (orderReply, error) {
	e := l.engine(r.Order.Rank)
	err := give(ctx, e, r)
	out := orderReply{Granted: true, Answered: err == nil || errors.Is(err, platform.ErrOrderRefused)}
	time.Sleep(reportLag)
	report, err := e.Report(ctx)
	if err != nil {
		return out, err
	}
	out.Report = &report
	return out, nil
}

// orderHolder gives an order to the engine of the rank that holds the step,
// without its agent: the machine that stands still after it gave an order is
// never the one whose engine holds the group. The agent reads what came of it.
func (l *leader) orderHolder(ctx context.Context, r orderRequest) (orderReply, error) {
	short, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := give(short, l.engine(r.Order.Rank), r)
	answered := err == nil || errors.Is(err, platform.ErrOrderRefused)
	if !answered {
		event.EngineUnreachable.Log(l.agent.log, "rank", r.Order.Rank, "order", string(r.Order.Kind), "step", r.Order.Step, "error", err.Error())
	}
	look := r
	look.Order.Kind = mapswitch.Query
	out, err := peer.Call[orderRequest, orderReply](l.agent.peers, l.addresses[r.Order.Rank], methodOrder, look)
	out.Answered = answered
	return out, err
}
