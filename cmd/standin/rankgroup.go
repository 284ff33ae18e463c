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
	Listen  []string      `required:"" help:"An address for each rank."`
	Experts int           `default:"16"`
	Slots   int           `default:"6"`
	Step    time.Duration `default:"20ms"`
	Log     string        `help:"File to which each rank's steps are appended."`
}

// rankStep is one line of the step log: the truth about the maps in use.
type rankStep struct {
	Rank int   `json:"rank"`
	Step int64 `json:"step"`
	Map  int64 `json:"map"`
}

// rankGroup runs all ranks of a group in lock-step: a step begins when every
// rank is granted it.
type rankGroup struct {
	cmd        rankGroupCmd
	mu         sync.Mutex
	step       int64
	ranks      []engine.RankState
	loaded     []map[int64]bool
	popularity []float64
	out        *json.Encoder
}

// Run implements the subcommand.
func (c *rankGroupCmd) Run() error {
	f, err := os.OpenFile(c.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	g := &rankGroup{cmd: *c, out: json.NewEncoder(f), popularity: make([]float64, c.Experts)}
	for range c.Listen {
		g.ranks = append(g.ranks, engine.RankState{Changes: []switchover.Change{{Version: 1}}, Speed: 1, Slots: c.Slots})
		g.loaded = append(g.loaded, map[int64]bool{1: true})
	}
	g.shuffle()
	for n, address := range c.Listen {
		go func() {
			_ = fasthttp.ListenAndServe(address, func(ctx *fasthttp.RequestCtx) { g.serve(ctx, n) })
		}()
	}
	for range time.Tick(c.Step) {
		g.tick()
	}
	return nil
}

// shuffle moves the popularity of the experts, so that a new map pays.
func (g *rankGroup) shuffle() {
	for e, rank := range rand.Perm(len(g.popularity)) {
		g.popularity[e] = 100 / float64(1+rank)
	}
}

func (g *rankGroup) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.Granted <= g.step {
			return
		}
	}
	for n, r := range g.ranks {
		_ = g.out.Encode(rankStep{Rank: n, Step: g.step, Map: g.mapOf(n, r)})
	}
	g.step++
	if g.step%50 == 0 {
		g.shuffle()
	}
}

// mapOf is the map of a rank's present step; one that is not loaded cannot
// be used, which the log shows as none.
func (g *rankGroup) mapOf(n int, r engine.RankState) int64 {
	version := r.Changes[0].Version
	for _, c := range r.Changes {
		if c.Step <= g.step {
			version = c.Version
		}
	}
	if !g.loaded[n][version] {
		return 0
	}
	return version
}

func (g *rankGroup) serve(ctx *fasthttp.RequestCtx, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.ranks[n]
	switch string(ctx.Path()) {
	case "/load":
		answerJSON(ctx, engine.Load{Boot: "group"})
	case "/rank":
		r.Step = g.step
		r.Tokens = nil
		for _, p := range g.popularity {
			r.Tokens = append(r.Tokens, p/float64(len(g.ranks)))
		}
		answerJSON(ctx, *r)
	case "/rank/map":
		var o struct {
			Version int64              `json:"version"`
			Experts [][]expert.Replica `json:"experts"`
		}
		if json.Unmarshal(ctx.PostBody(), &o) != nil || len(o.Experts) != g.cmd.Experts {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		g.loaded[n][o.Version] = true
	case "/rank/grant":
		var o engine.GrantOrder
		if json.Unmarshal(ctx.PostBody(), &o) != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		r.Granted, r.Changes, r.Starts = max(r.Granted, o.Until), o.Changes, max(r.Starts, o.Starts)
	default:
		_, _ = fmt.Fprintln(ctx, "rank", n)
	}
}
