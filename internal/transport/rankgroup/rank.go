package rankgroup

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/switchover"
	"bluebellcrank/internal/protocol/engine"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/member"
	"bluebellcrank/internal/transport/process"
)

const (
	// grantEvery is how often a rank's engine is read and granted steps.
	grantEvery = 10 * time.Millisecond
	// grantAhead is how many steps an engine may run on one grant; it lies
	// below the changes that a rank remembers.
	grantAhead    = 3
	resendEvery   = 200 * time.Millisecond
	engineTimeout = 500 * time.Millisecond
	loadTimeout   = 10 * time.Second
)

// Settings say which rank an agent stands beside.
type Settings struct {
	Group       string        `name:"group" yaml:"group" help:"Rank group of the target, if it is a rank."`
	Rank        int           `name:"rank" yaml:"rank" help:"Number of the rank in its group, from 0."`
	Ranks       int           `name:"ranks" yaml:"ranks" help:"Number of ranks in the group."`
	LeasePeriod    time.Duration `name:"lease-period" yaml:"lease-period" default:"10s" help:"How long the group's lease stands without being renewed."`
	DecisionInterval time.Duration `name:"decide-interval" yaml:"decide-interval" default:"1m" help:"Time between two decisions on the group's expert map."`
}

// Validate returns everything that is wrong with the settings.
func (s *Settings) Validate() error {
	if s.Group == "" {
		return nil
	}
	if s.Ranks < 1 || s.Rank < 0 || s.Rank >= s.Ranks {
		return errors.New("rank: is not from 0 to ranks - 1")
	}
	if s.LeasePeriod < time.Second || s.DecisionInterval <= 0 {
		return errors.New("lease-period: is under one second, or decide-interval not over zero")
	}
	return nil
}

// Method is the call by which messages reach a rank.
const Method = "rank.message"

// Call carries one message to a rank, with the map that a Prepare is about.
type Call struct {
	Group   string             `json:"group"`
	Message switchover.Message `json:"message"`
	Map     *engine.MapOrder   `json:"map,omitempty"`
}

// Reply has the rank's answers.
type Reply struct {
	Answers []switchover.Message `json:"answers"`
	State   engine.RankState     `json:"state"`
}

// Group is an agent's part in its rank group. The rank is guarded by a lock:
// peers' calls and the granting loop both reach it.
type Group struct {
	settings Settings
	address  string
	member   *member.Member
	log      hclog.Logger
	stop     chan struct{}

	mu    sync.Mutex
	rank  *switchover.Rank
	state engine.RankState
	start int64
}

// Join starts an agent's part in its group.
func Join(s Settings, address string, m *member.Member, log hclog.Logger) *Group {
	g := &Group{settings: s, address: address, member: m, log: log, stop: make(chan struct{})}
	go process.Every(grantEvery, g.stop, func(time.Time) { g.grant() })
	go process.Every(resendEvery, g.stop, func(time.Time) { g.resend() })
	if s.Rank < standbys {
		go newCoordinator(g).work()
	}
	return g
}

// Close leaves the group.
func (g *Group) Close() { close(g.stop) }

// grant reads the engine and lets it run as far as is certain.
func (g *Group) grant() {
	state, err := engine.ReadRank(g.address, engineTimeout)
	if err != nil {
		return
	}
	o, changed := g.decide(state)
	if !changed {
		return
	}
	if err := engine.OrderGrant(g.address, o, engineTimeout); err != nil {
		event.RankOrderFailed.Log(g.log, "error", err)
	}
}

func (g *Group) decide(state engine.RankState) (engine.GrantOrder, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.rank == nil
	if first {
		g.begin(state)
	}
	g.state = state
	until := g.rank.Grant(state.Step + grantAhead)
	return engine.GrantOrder{Until: until, Changes: g.rank.Changes(), Starts: g.start}, first || until > state.Granted
}

// begin takes over the rank: as new, or after an agent that lost its memory.
func (g *Group) begin(state engine.RankState) {
	g.start = state.Starts + 1
	if state.Starts == 0 {
		g.rank = switchover.NewRank(g.settings.Rank, g.settings.Ranks)
		return
	}
	rank, _ := switchover.NewRestartedRank(g.settings.Rank, g.settings.Ranks, g.start, state.Granted, state.Changes)
	g.rank = rank
}

// resend asks the other ranks for what this one waits for.
func (g *Group) resend() {
	g.mu.Lock()
	if g.rank == nil {
		g.mu.Unlock()
		return
	}
	list := g.rank.PendingMessages()
	g.mu.Unlock()
	for _, m := range list {
		go func() {
			r, err := g.send(Call{Group: g.settings.Group, Message: m})
			if err == nil {
				g.handle(r.Answers)
			}
		}()
	}
}

func (g *Group) handle(list []switchover.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range list {
		g.rank.Handle(m)
	}
}

// send carries a message to the agent of a rank.
func (g *Group) send(c Call) (Reply, error) {
	for _, i := range g.member.Instances() {
		if i.Group == g.settings.Group && i.Rank == c.Message.To && i.Role == target.Agent {
			return peer.Call[Call, Reply](g.member.Pool(), i.Peer, Method, c)
		}
	}
	return Reply{}, errors.New("rankgroup: the rank is not on the instance list")
}

// HandleCall takes a message from a coordinator or another rank. A rank answers a
// Prepare only once its engine has loaded the map.
func (g *Group) HandleCall(_ context.Context, c Call) (Reply, error) {
	if c.Group != g.settings.Group {
		return Reply{}, errors.New("rankgroup: another group")
	}
	if c.Map != nil {
		if err := g.load(*c.Map); err != nil {
			return Reply{}, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rank == nil {
		return Reply{}, errors.New("rankgroup: the engine was not reached yet")
	}
	return Reply{Answers: g.rank.Handle(c.Message), State: g.state}, nil
}

// load has the engine load a map, unless the order is an old one: not all
// engines check.
func (g *Group) load(o engine.MapOrder) error {
	g.mu.Lock()
	old := g.rank == nil || o.Fence < g.rank.Fence()
	g.mu.Unlock()
	if old {
		return errors.New("rankgroup: an order under an old fencing number")
	}
	return engine.OrderMap(g.address, o, loadTimeout)
}
