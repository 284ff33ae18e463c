//go:build review

package cases

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Profile is the part of a service's engine profile that the engines follow.
type Profile struct {
	Ranks, Sets, Experts, Places, Spare int
	ExpertMB, LinkMbps                  float64
}

// SmallSite is the profile of the users' small sites.
var SmallSite = Profile{Ranks: 8, Sets: 6, Experts: 64, Places: 11, Spare: 4, ExpertMB: 1700, LinkMbps: 92000}

// Fields returns the profile as the configuration has it.
func (p Profile) Fields() map[string]any {
	return map[string]any{
		"slots": 12, "layerGroups": p.Sets, "experts": p.Experts, "placements": p.Places, "isSpare": p.Spare,
		"expertSizeMb": p.ExpertMB, "linkMbps": p.LinkMbps, "expertFraction": 0.85,
	}
}

// copyTime is how long a rank copies one expert.
func (p Profile) copyTime() time.Duration {
	return time.Duration(p.ExpertMB * 8 / p.LinkMbps * float64(time.Second))
}

// Order is an order to an engine.
type Order struct {
	Operation string    `json:"operation"`
	Epoch     int64     `json:"epoch"`
	Version   int64     `json:"version"`
	Step      int64     `json:"step"`
	Map       [][][]int `json:"expertMap"`
}

type rankState struct {
	version, highest   int64
	experts            [][]int
	preparedVersion    int64
	preparedAt         time.Time
	prepared           [][]int
	whole, preparedAll string
	armed, armedStep   int64
	held               int64
	counts             []int64
}

// Engines is a rank group as the users' pages describe it.
type Engines struct {
	Profile Profile
	// Intercept is asked before each order; it reports whether the order is carried out
	// and answered now. Otherwise it goes unanswered, and Intercept calls execute when it
	// is carried out; nil for none.
	Intercept func(rank int, o Order, execute func()) bool

	k          *Kit
	mu         sync.Mutex
	ranks      []*rankState
	step       int64
	hot        int
	changes    int
	mismatches []string
}

// NewEngines returns an open group with map 0 in epoch 1.
func NewEngines(k *Kit, p Profile) *Engines {
	g := &Engines{Profile: p, k: k}
	for n := range p.Ranks {
		r := &rankState{counts: make([]int64, p.Sets*p.Experts), experts: make([][]int, p.Sets)}
		for s := range r.experts {
			for e := n; e < p.Experts; e += p.Ranks {
				r.experts[s] = append(r.experts[s], e)
			}
		}
		g.ranks = append(g.ranks, r)
	}
	return g
}

// SetHot makes some experts of each set popular, from a number on.
func (g *Engines) SetHot(expert int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hot = expert
}

// Step returns the last pass that was begun.
func (g *Engines) Step() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// Changes returns how often rank 0 has switched to another map.
func (g *Engines) Changes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changes
}

// Mismatches describes the passes that ranks began with different maps.
func (g *Engines) Mismatches() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.mismatches)
}

// Pass begins the next pass unless a rank holds it.
func (g *Engines) Pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	if slices.ContainsFunc(g.ranks, func(r *rankState) bool { return r.held == next }) {
		return
	}
	g.step = next
	before := g.ranks[0].version
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == next {
			r.version, r.experts, r.whole = r.armed, r.prepared, r.preparedAll
			r.armed, r.armedStep, r.preparedVersion = 0, 0, 0
		}
	}
	if g.ranks[0].version != before {
		g.changes++
	}
	var versions []int64
	differ := false
	for _, r := range g.ranks {
		versions = append(versions, r.version)
		differ = differ || r.version != g.ranks[0].version || r.whole != g.ranks[0].whole
	}
	if differ {
		g.mismatches = append(g.mismatches, fmt.Sprintf("pass %d begins with the maps %v", next, versions))
	}
	const usual, popular, popularExperts = 2, 60, 3
	for _, r := range g.ranks {
		for n := range r.counts {
			r.counts[n] += usual
			set, e := n/g.Profile.Experts, n%g.Profile.Experts
			if (e-g.hot-7*set+100*g.Profile.Experts)%g.Profile.Experts < popularExperts {
				r.counts[n] += popular
			}
		}
	}
}

// Handler serves one rank.
func (g *Engines) Handler(rank int) http.Handler {
	reply := func(w http.ResponseWriter, v any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { reply(w, g.report(rank)) })
	mux.HandleFunc("GET /v1/picked", func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		state := g.ranks[rank]
		var out any = map[string]any{"step": g.step, "epoch": 1, "counts": slices.Clone(state.counts)}
		if r.URL.Query().Has("lists") {
			out = map[string]any{"expertMap": map[string]any{"version": state.version, "experts": state.experts}}
		}
		g.mu.Unlock()
		reply(w, out)
	})
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var o Order
		if json.Unmarshal(body, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		execute := func() int {
			status := g.order(rank, o, time.Now())
			g.k.Record("rank %d: %s version %d step %d: %d", rank, o.Operation, o.Version, o.Step, status)
			return status
		}
		if g.Intercept != nil && !g.Intercept(rank, o, func() { execute() }) {
			g.k.Record("rank %d: %s version %d step %d goes unanswered", rank, o.Operation, o.Version, o.Step)
			<-r.Context().Done()
			return
		}
		w.WriteHeader(execute())
	})
	return mux
}

func (g *Engines) report(rank int) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	out := map[string]any{
		"phase": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"queued": 0, "active": 6, "kvCacheUsed": 41000, "kvCacheTotal": 280000, "requestHandles": 0,
		"group": map[string]any{"name": "g", "epoch": 1, "rank": rank, "state": "open"},
		"size":  len(g.ranks), "pace": 1, "step": g.step, "expertMap": r.version,
	}
	if r.preparedVersion != 0 && !time.Now().Before(r.preparedAt) {
		out["preloaded"] = r.preparedVersion
	}
	if r.armed != 0 {
		out["enabled"] = r.armed
	}
	if r.held != 0 {
		out["held"] = r.held
	}
	return out
}

// order carries an order out and returns the status of its answer.
func (g *Engines) order(rank int, o Order, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	const done, refused = http.StatusAccepted, http.StatusConflict
	if o.Epoch != 1 {
		return refused
	}
	switch o.Operation {
	case "prepare":
		if o.Version <= r.highest || r.armed != 0 || len(o.Map) != g.Profile.Sets {
			return refused
		}
		experts := make([][]int, g.Profile.Sets)
		copies := 0
		for s := range o.Map {
			experts[s] = o.Map[s][rank]
			added := 0
			for _, e := range experts[s] {
				if !slices.Contains(r.experts[s], e) {
					added++
				}
			}
			if added > g.Profile.Spare || len(experts[s]) > g.Profile.Places {
				return refused
			}
			copies += added
		}
		whole, _ := json.Marshal(o.Map)
		r.highest, r.preparedVersion, r.prepared, r.preparedAll = o.Version, o.Version, experts, string(whole)
		r.preparedAt = now.Add(time.Duration(copies) * g.Profile.copyTime())
	case "arm":
		if r.armed == o.Version && r.armedStep == o.Step && o.Step > g.step {
			return http.StatusOK
		}
		if o.Step <= g.step || r.preparedVersion != o.Version || now.Before(r.preparedAt) || r.armed != 0 {
			return refused
		}
		r.armed, r.armedStep = o.Version, o.Step
	case "disarm":
		if r.version == o.Version {
			return refused
		}
		if r.armed == o.Version {
			r.armed, r.armedStep = 0, 0
		}
	case "retention":
		if o.Step <= g.step || r.held != 0 && r.held != o.Step {
			return refused
		}
		r.held = o.Step
	case "go":
		if r.held == o.Step {
			r.held = 0
		}
	default:
		return http.StatusBadRequest
	}
	return done
}
