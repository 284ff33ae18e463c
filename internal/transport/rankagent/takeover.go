package rankagent

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/expert"
	"bluebellcrank/platform"
)

const (
	// reportLag is how old an engine's report may be from another machine:
	// the lag of 200 ms that the platform states, and a margin.
	reportLag = 350 * time.Millisecond
	// missingFor is how long an agent is silent before its engine is asked
	// directly, which the platform charges for.
	missingFor = 300 * time.Millisecond
	// askEvery is the time between two such questions.
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
	reports, all := l.reports(ctx, now)
	if !all {
		return false
	}
	for n, r := range reports {
		if r.Held == 0 {
			continue
		}
		l.highest = max(l.highest+2, version(now))
		l.epoch = r.Epoch
		if !l.readLayout(ctx) {
			return false
		}
		event.SwitchRecovered.Log(l.agent.log, "group", l.self.Group, "held-rank", n, "step", r.Held, "missing", len(l.missing))
		l.drive(ctx, mapswitch.Recover(r.Epoch, l.highest, r.Held, n, len(reports), now), l.layout)
		l.highest += 2
		return true
	}
	return false
}

// reports returns every rank's state; false where some are not known, or the
// agent of some rank takes orders from another leader.
func (l *leader) reports(ctx context.Context, now time.Time) ([]expert.RankReport, bool) {
	out := make([]expert.RankReport, len(l.samples))
	whole := true
	for n, s := range l.samples {
		switch {
		case s == nil:
			if l.missing[n].IsZero() {
				l.missing[n] = now
			}
			whole = whole && now.Sub(l.missing[n]) >= missingFor
		case !s.Granted:
			return nil, false
		default:
			delete(l.missing, n)
			out[n] = *s.Report
		}
	}
	if !whole || len(l.missing) > 0 && now.Sub(l.asked) < askEvery {
		return nil, false
	}
	for n := range l.missing {
		l.asked = now
		r, err := l.direct(n).Report(ctx)
		if err != nil {
			event.EngineUnreached.Log(l.agent.log, "rank", n, "error", err.Error())
			return nil, false
		}
		out[n] = r
	}
	return out, lo.EveryBy(out, func(r expert.RankReport) bool { return r.Open && r.Epoch == out[0].Epoch })
}

// readLayout puts the map in force together where one agent is missing.
func (l *leader) readLayout(ctx context.Context) bool {
	if l.layout != nil {
		return true
	}
	layout := make(expert.Layout, l.profile.Layers)
	for n, s := range l.samples {
		var on [][]int
		if s != nil {
			on = s.Experts
		} else {
			read, err := l.direct(n).Experts(ctx)
			if err != nil {
				event.EngineUnreached.Log(l.agent.log, "rank", n, "error", err.Error())
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
	l.layout = layout
	return true
}

// direct returns a client of another rank's engine.
func (l *leader) direct(rank int) *platform.Engine {
	return platform.NewEngine(l.engines[rank], peerTimeout)
}

// orderDirectly gives an order to the engine of an agent that does not answer,
// and waits until the engine's report shows what came of it.
func (l *leader) orderDirectly(ctx context.Context, r orderRequest) (orderReply, error) {
	e := l.direct(r.Order.Rank)
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
