package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/coordination/switchover"
	"bluebellcrank/internal/protocol/engine"
	"bluebellcrank/internal/state/expert"
)

type rankGroupCmd struct {
	Listen  []string      `required:"" help:"Address of a rank; repeat the flag for each rank."`
	Experts int           `default:"16"`
	Slots   int           `default:"6"`
	Step    time.Duration `default:"20ms"`
	Log     string        `help:"File to which a line for each rank and step is appended."`
}

// rankStep is one line of the step log. Map is the version of the expert map that
// the rank used in the step, or 0 if the rank had not loaded that map.
type rankStep struct {
	Rank int   `json:"rank"`
	Step int64 `json:"step"`
	Map  int64 `json:"map"`
}

// rankGroup runs all ranks of a group in lock-step: a step begins once every rank
// has been granted it.
type rankGroup struct {
	cmd        rankGroupCmd
	mu         sync.Mutex
	step       int64
	rankStates []engine.RankState
	// loadedMaps contains, for each rank, the versions of the expert maps that it
	// has loaded.
	loadedMaps []map[int64]bool
	// popularity is the number of tokens that each expert gets from all ranks.
	popularity []float64
	stepLog    *json.Encoder
}

// Run implements the subcommand.
func (c *rankGroupCmd) Run() error {
	f, err := os.OpenFile(c.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	g := &rankGroup{cmd: *c, stepLog: json.NewEncoder(f), popularity: make([]float64, c.Experts)}
	for range c.Listen {
		g.rankStates = append(g.rankStates, engine.RankState{Changes: []switchover.Change{{Version: 1}}, Speed: 1, Slots: c.Slots})
		g.loadedMaps = append(g.loadedMaps, map[int64]bool{1: true})
	}
	g.shufflePopularity()
	for rank, address := range c.Listen {
		go func() {
			_ = fasthttp.ListenAndServe(address, func(ctx *fasthttp.RequestCtx) { g.serve(ctx, rank) })
		}()
	}
	for range time.Tick(c.Step) {
		g.tryStep()
	}
	return nil
}

// shufflePopularity assigns a new number of tokens to each expert, so that another
// expert map balances the load better.
func (g *rankGroup) shufflePopularity() {
	for e, position := range rand.Perm(len(g.popularity)) {
		g.popularity[e] = 100 / float64(1+position)
	}
}

// tryStep logs the current step and begins the next one, unless a rank has not
// been granted the current step. Every 50 steps, other experts become popular.
func (g *rankGroup) tryStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.rankStates {
		if r.Granted <= g.step {
			return
		}
	}
	for rank, state := range g.rankStates {
		_ = g.stepLog.Encode(rankStep{Rank: rank, Step: g.step, Map: g.mapInUse(rank, state)})
	}
	g.step++
	if g.step%50 == 0 {
		g.shufflePopularity()
	}
}

// mapInUse returns the version of the expert map that a rank uses in the current
// step, or 0 if the rank has not loaded that map.
func (g *rankGroup) mapInUse(rank int, state engine.RankState) int64 {
	version := state.Changes[0].Version
	for _, c := range state.Changes {
		if c.Step <= g.step {
			version = c.Version
		}
	}
	if !g.loadedMaps[rank][version] {
		return 0
	}
	return version
}

// serve handles the requests that the agent of one rank sends to its engine.
func (g *rankGroup) serve(ctx *fasthttp.RequestCtx, rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := &g.rankStates[rank]
	switch string(ctx.Path()) {
	case "/load":
		writeJSON(ctx, engine.Load{Boot: "group"})
	case "/rank":
		state.Step = g.step
		state.Tokens = nil
		for _, p := range g.popularity {
			state.Tokens = append(state.Tokens, p/float64(len(g.rankStates)))
		}
		writeJSON(ctx, *state)
	case "/rank/map":
		var o struct {
			Version int64              `json:"version"`
			Experts [][]expert.Replica `json:"experts"`
		}
		if json.Unmarshal(ctx.PostBody(), &o) != nil || len(o.Experts) != g.cmd.Experts {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		g.loadedMaps[rank][o.Version] = true
	case "/rank/grant":
		var o engine.GrantOrder
		if json.Unmarshal(ctx.PostBody(), &o) != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		state.Granted, state.Changes, state.Starts = max(state.Granted, o.Until), o.Changes, max(state.Starts, o.Starts)
	default:
		_, _ = fmt.Fprintln(ctx, "rank", rank)
	}
}
