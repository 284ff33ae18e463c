package gateway

import (
	"context"
	"sync"
	"time"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/fleet"
	"bluebellcrank/platform"
)

const (
	// pacesEvery is the time between two looks for slow engines.
	pacesEvery = time.Second
	// paceTimeout bounds the question to one engine.
	paceTimeout = 300 * time.Millisecond
)

// followPaces asks the engines of groups in trouble whether they are slow; a
// sound group is not asked, since each question has a price.
func (g *Gateway) followPaces(ctx context.Context) {
	for {
		select {
		case <-time.After(pacesEvery):
		case <-ctx.Done():
			return
		}
		var asked sync.WaitGroup
		for _, t := range g.fleet.TargetsOverGoal(time.Now()) {
			asked.Go(func() { g.askPace(ctx, t) })
		}
		asked.Wait()
	}
}

func (g *Gateway) askPace(ctx context.Context, t fleet.Target) {
	e := platform.NewEngine(t.Address, paceTimeout)
	defer e.Close()
	r, err := e.Report(ctx)
	if err != nil {
		event.EngineUnreachable.Log(g.log, "target", t.ID, "error", err.Error())
		return
	}
	g.fleet.SetSlowdown(t.ID, r.Slowdown, time.Now())
	if r.Slowdown > 1 {
		event.EngineSlow.Log(g.log, "target", t.ID, "group", t.Group, "pace", r.Slowdown)
	}
}
