package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bluebellcrank/internal/protocol/pace"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/fleet"
	"bluebellcrank/platform"
)

const (
	// slowdownInterval is the time between two checks for slow engines.
	slowdownInterval = time.Second
	// engineTimeout bounds the query of one engine.
	engineTimeout = 300 * time.Millisecond
)

// pollSlowdowns queries the slowdown of the engines in those rank groups whose
// inter-event gaps exceed the latency goal and of which no agent has told this entry.
// Other groups are not queried, because each query has a cost.
func (g *Gateway) pollSlowdowns(ctx context.Context) {
	for {
		select {
		case <-time.After(slowdownInterval):
		case <-ctx.Done():
			return
		}
		var queries sync.WaitGroup
		for _, t := range g.fleet.TargetsOverGoal(time.Now()) {
			queries.Go(func() { g.querySlowdown(ctx, t) })
		}
		queries.Wait()
	}
}

// querySlowdown reads the report of one engine and records its slowdown.
func (g *Gateway) querySlowdown(ctx context.Context, t fleet.Target) {
	engine := platform.NewEngine(t.Address, engineTimeout)
	defer engine.Close()
	report, err := engine.Report(ctx)
	if err != nil {
		event.EngineUnreachable.Log(g.log, "target", t.ID, "error", err.Error())
		return
	}
	g.fleet.SetSlowdown(t.ID, report.Slowdown, time.Now())
	if report.Slowdown > 1 {
		event.EngineSlow.Log(g.log, "target", t.ID, "group", t.Group, "pace", report.Slowdown)
	}
}

// servePaces takes a notice of a rank group's agents.
func (g *Gateway) servePaces(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	engines, err := pace.Decode(r.Body)
	if err != nil {
		event.PaceNoticeInvalid.Log(g.log, "from", r.RemoteAddr, "error", err.Error())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range engines {
		if t, before := g.fleet.SetEnginePace(e.Address, e.Pace, time.Now()); before != e.Pace {
			event.EngineSlow.Log(g.log, "target", t.ID, "group", t.Group, "pace", e.Pace, "pace-before", before)
		}
	}
	w.WriteHeader(http.StatusOK)
}
