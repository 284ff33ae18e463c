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
	// grantInterval is the interval at which the agent reads its engine's state and
	// grants it steps.
	grantInterval = 10 * time.Millisecond
	// grantAhead is how many steps an engine may run on one grant. It is less than
	// the number of changes that a rank remembers.
	grantAhead     = 3
	resendInterval = 200 * time.Millisecond
	engineTimeout  = 500 * time.Millisecond
	mapLoadTimeout = 10 * time.Second
)

// Settings identify the rank that an agent serves and set the timing of its group.
type Settings struct {
	Group            string        `name:"group" yaml:"group" help:"Rank group of the target, if it is a rank."`
	Rank             int           `name:"rank" yaml:"rank" help:"Number of the rank in its group, from 0."`
	Ranks            int           `name:"ranks" yaml:"ranks" help:"Number of ranks in the group."`
	LeasePeriod      time.Duration `name:"lease-period" yaml:"lease-period" default:"10s" help:"Time after which the group's lease expires unless it is renewed."`
	DecisionInterval time.Duration `name:"decide-interval" yaml:"decide-interval" default:"1m" help:"Time between two decisions on the group's expert map."`
}

// Validate returns an error if the settings are invalid. Without a group the other
// settings do not matter.
func (s *Settings) Validate() error {
	if s.Group == "" {
		return nil
	}
	if s.Ranks < 1 || s.Rank < 0 || s.Rank >= s.Ranks {
		return errors.New("rank: must be from 0 to ranks - 1")
	}
	if s.LeasePeriod < time.Second || s.DecisionInterval <= 0 {
		return errors.New("lease-period: must be at least one second, and decide-interval above zero")
	}
	return nil
}

// Method is the name of the peer call that carries messages to a rank.
const Method = "rank.message"

// Call carries one message to a rank, and with a Prepare the map to load.
type Call struct {
	Group   string             `json:"group"`
	Message switchover.Message `json:"message"`
	Map     *engine.MapOrder   `json:"map,omitempty"`
}

// Reply carries the rank's answers and the last known state of its engine.
type Reply struct {
	Answers []switchover.Message `json:"answers"`
	State   engine.RankState     `json:"state"`
}

// Group is an agent's membership in its rank group. It is safe for concurrent use:
// a mutex guards the rank, which peers' calls and the grant loop both access.
type Group struct {
	settings Settings
	address  string
	member   *member.Member
	log      hclog.Logger
	stop     chan struct{}

	mu          sync.Mutex
	rank        *switchover.Rank
	engineState engine.RankState // as last read
	starts      int64            // start number of this agent, see switchover.Message
}

// Join starts the grant loop and, for the first ranks, a coordinator. The address is
// that of the rank's engine.
func Join(s Settings, address string, m *member.Member, log hclog.Logger) *Group {
	g := &Group{settings: s, address: address, member: m, log: log, stop: make(chan struct{})}
	go process.Every(grantInterval, g.stop, func(time.Time) { g.extendGrant() })
	go process.Every(resendInterval, g.stop, func(time.Time) { g.resend() })
	if s.Rank < leaseCandidates {
		go newCoordinator(g).run()
	}
	return g
}

// Close stops the agent's loops. It must be called only once.
func (g *Group) Close() { close(g.stop) }

// extendGrant reads the engine's state and lets it run the steps whose map is certain.
func (g *Group) extendGrant() {
	state, err := engine.ReadRank(g.address, engineTimeout)
	if err != nil {
		return
	}
	o, changed := g.nextGrant(state)
	if !changed {
		return
	}
	if err := engine.OrderGrant(g.address, o, engineTimeout); err != nil {
		event.RankOrderFailed.Log(g.log, "error", err)
	}
}

// nextGrant records the engine's state and returns the grant to order, and whether the
// engine needs to receive it.
func (g *Group) nextGrant(state engine.RankState) (engine.GrantOrder, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isFirst := g.rank == nil
	if isFirst {
		g.initRank(state)
	}
	g.engineState = state
	grantedUntil := g.rank.Grant(state.Step + grantAhead)
	return engine.GrantOrder{Until: grantedUntil, Changes: g.rank.Changes(), Starts: g.starts}, isFirst || grantedUntil > state.Granted
}

// initRank creates the rank: a new one, or one that recovers from the engine's state
// if an earlier agent has served the engine.
func (g *Group) initRank(state engine.RankState) {
	g.starts = state.Starts + 1
	if state.Starts == 0 {
		g.rank = switchover.NewRank(g.settings.Rank, g.settings.Ranks)
		return
	}
	rank, _ := switchover.NewRestartedRank(g.settings.Rank, g.settings.Ranks, g.starts, state.Granted, state.Changes)
	g.rank = rank
}

// resend repeats the messages to other ranks that this rank awaits an answer to.
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

// handle passes answers to the rank. Answers of other ranks need no further reply.
func (g *Group) handle(list []switchover.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range list {
		g.rank.Handle(m)
	}
}

// send sends a message to the agent of the rank that it is addressed to.
func (g *Group) send(c Call) (Reply, error) {
	for _, i := range g.member.Instances() {
		if i.Group == g.settings.Group && i.Rank == c.Message.To && i.Role == target.Agent {
			return peer.Call[Call, Reply](g.member.Pool(), i.Peer, Method, c)
		}
	}
	return Reply{}, errors.New("rankgroup: addressed rank is not in the instance list")
}

// HandleCall processes a message from a coordinator or another rank. A Prepare is
// answered only after the engine has loaded the map.
func (g *Group) HandleCall(_ context.Context, c Call) (Reply, error) {
	if c.Group != g.settings.Group {
		return Reply{}, errors.New("rankgroup: another group")
	}
	if c.Map != nil {
		if err := g.loadMap(*c.Map); err != nil {
			return Reply{}, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rank == nil {
		return Reply{}, errors.New("rankgroup: the engine was not reached yet")
	}
	return Reply{Answers: g.rank.Handle(c.Message), State: g.engineState}, nil
}

// loadMap has the engine load a map. It rejects an order with an old fencing number,
// since not all engines check the number. It also rejects every order until the engine
// has been reached.
func (g *Group) loadMap(o engine.MapOrder) error {
	g.mu.Lock()
	isStale := g.rank == nil || o.Fence < g.rank.Fence()
	g.mu.Unlock()
	if isStale {
		return errors.New("rankgroup: an order under an old fencing number")
	}
	return engine.OrderMap(g.address, o, mapLoadTimeout)
}
