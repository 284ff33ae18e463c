package rankgroup

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"bluebellcrank/internal/coordination/placement"
	"bluebellcrank/internal/coordination/switchover"
	"bluebellcrank/internal/protocol/engine"
	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/expert"
)

const (
	// standbys is how many ranks can hold the lease: a group whose first
	// agents are all gone is granted no steps anyway.
	standbys = 3
	// leaseStagger makes ranks wait longer the higher their number, so that
	// one asks first.
	leaseStagger = 300 * time.Millisecond
	// leaseLooks is how often in a lease it is renewed or looked at.
	leaseLooks = 3
	workEvery  = 50 * time.Millisecond
	// abortFor is how long an abort is sent again.
	abortFor = 500 * time.Millisecond
	// lead is how many steps ahead a change begins.
	lead = grantAhead + 4

	// versionsPerLease keeps the map versions of two coordinators apart.
	versionsPerLease = 1 << 16

	moveTime   = 30 * time.Millisecond
	horizon    = 10 * time.Minute
	mostMoves  = 8
	weightsKey = "groups/%s/maps/%d"
	leaseKey   = "groups/%s/lease"
)

// lease is the object that names a group's coordinator; its version when it
// was taken is the fencing number.
type lease struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
}

// storedMap is an expert map in the object API.
type storedMap struct {
	Slots   int                `json:"slots"`
	Experts [][]expert.Replica `json:"experts"`
}

// coordinator holds the lease now and then; all of it runs on one goroutine.
type coordinator struct {
	group    *Group
	held     bool
	version  platform.Version
	seen     platform.Version
	since    time.Time
	looked   time.Time
	machine  *switchover.Coordinator
	fence    platform.Version
	proposed int64
	aborted  time.Time
	decided  time.Time
	states   []engine.RankState
	current  *expert.Map
	next     *expert.Map
}

func newCoordinator(g *Group) *coordinator {
	return &coordinator{group: g, states: make([]engine.RankState, g.settings.Ranks)}
}

func (c *coordinator) work() {
	for {
		select {
		case <-c.group.stop:
			return
		case now := <-time.After(workEvery):
			c.tend(now)
			if c.held {
				c.drive(now)
			}
		}
	}
}

func (c *coordinator) key() string { return fmt.Sprintf(leaseKey, c.group.settings.Group) }

// tend takes, renews or gives up the lease. While the platform is down the
// holder goes on; the fencing number keeps two holders apart.
func (c *coordinator) tend(now time.Time) {
	if now.Sub(c.looked) < c.group.settings.LeasePeriod/leaseLooks {
		return
	}
	c.looked = now
	if c.held {
		c.renew(now)
		return
	}
	o, err := c.group.member.Platform().Get(c.key())
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.take(platform.Absent)
	case err != nil:
	case o.Version != c.seen:
		c.seen, c.since = o.Version, now
	case now.Sub(c.since) > c.group.settings.LeasePeriod+time.Duration(c.group.settings.Rank)*leaseStagger:
		c.take(o.Version)
	}
}

func (c *coordinator) write(expected platform.Version) (platform.Version, error) {
	value, err := json.Marshal(lease{Agent: c.group.member.Instance(), Incarnation: c.group.member.Incarnation()})
	if err != nil {
		return 0, err
	}
	return c.group.member.Platform().Put(c.key(), value, expected)
}

func (c *coordinator) take(expected platform.Version) {
	v, err := c.write(expected)
	if err != nil {
		return
	}
	c.held, c.version = true, v
	c.fence, c.proposed = v, 0
	c.machine = switchover.NewCoordinator(int64(v), c.group.settings.Ranks)
	c.current, c.next = nil, nil
	event.LeaseAcquired.Log(c.group.log, "group", c.group.settings.Group, "fence", v)
}

func (c *coordinator) renew(now time.Time) {
	v, err := c.write(c.version)
	switch {
	case errors.Is(err, platform.ErrConflict):
		c.held = false
		c.seen, c.since = 0, now
		event.LeaseLost.Log(c.group.log, "group", c.group.settings.Group)
	case err == nil:
		c.version = v
	}
}

// drive sends what the machine wants sent, and decides when it is idle.
func (c *coordinator) drive(now time.Time) {
	switch c.machine.Phase() {
	case switchover.Idle:
		if now.Sub(c.decided) >= c.group.settings.DecisionInterval {
			c.decided = now
			c.decide()
		}
		return
	case switchover.Aborting:
		if c.aborted.IsZero() {
			c.aborted = now
		}
		if now.Sub(c.aborted) > abortFor {
			c.aborted = time.Time{}
			c.machine.FinishAbort()
		}
	}
	c.exchange(c.machine.PendingMessages())
	if c.machine.Phase() == switchover.Idle && c.next != nil && c.machine.Version() == c.next.Version() {
		event.MapChanged.Log(c.group.log, "group", c.group.settings.Group, "version", c.next.Version())
		c.current, c.next = c.next, nil
	}
}

// exchange sends messages side by side and handles the answers in turn.
func (c *coordinator) exchange(list []switchover.Message) {
	replies := make([]Reply, len(list))
	var wg sync.WaitGroup
	for n, m := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			call := Call{Group: c.group.settings.Group, Message: m}
			if m.Kind == switchover.Prepare && c.next != nil {
				call.Map = &engine.MapOrder{Fence: m.Fence, Version: c.next.Version(), Experts: experts(c.next)}
			}
			replies[n], _ = c.group.send(call)
		}()
	}
	wg.Wait()
	for n, r := range replies {
		if len(r.Answers) > 0 {
			c.states[list[n].To] = r.State
		}
		for _, a := range r.Answers {
			c.exchange(c.machine.Handle(a))
		}
	}
}

// decide looks at the ranks and proposes a better map, if one pays.
func (c *coordinator) decide() {
	c.exchange(c.machine.Refresh())
	if c.machine.Phase() != switchover.Idle || !c.know() {
		return
	}
	better, changed := placement.Improve(c.load(), c.current, placement.NewCosts(moveTime, horizon, mostMoves))
	if !changed {
		return
	}
	c.proposed++
	next := better.WithVersion(int64(c.fence)*versionsPerLease + c.proposed)
	if err := c.store(next); err != nil {
		return
	}
	c.next = next
	list, ok := c.machine.Propose(next.Version(), lead)
	if ok {
		c.exchange(list)
	}
}

// load is the group as the ranks report it.
func (c *coordinator) load() placement.Group {
	popularity := make([]float64, c.current.Experts())
	speed := make([]float64, len(c.states))
	sum := 0.0
	for r, s := range c.states {
		speed[r] = s.Speed
		for e, t := range s.Tokens {
			popularity[e] += t
			sum += t
		}
	}
	for e := range popularity {
		popularity[e] /= max(sum, 1)
	}
	return placement.NewGroup(popularity, speed)
}

// know makes sure that the map in force is at hand.
func (c *coordinator) know() bool {
	version := c.machine.Version()
	if c.current != nil && c.current.Version() == version {
		return true
	}
	s := c.states[0]
	if len(s.Tokens) == 0 {
		return false
	}
	c.current = expert.Defaults(len(s.Tokens), c.group.settings.Ranks, s.Slots).WithVersion(version)
	if version <= 1 {
		return true
	}
	o, err := c.group.member.Platform().Get(fmt.Sprintf(weightsKey, c.group.settings.Group, version))
	if err != nil {
		c.current = nil
		return false
	}
	var stored storedMap
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		c.current = nil
		return false
	}
	for e, list := range stored.Experts {
		c.current.SetReplicas(e, list)
	}
	return true
}

// store keeps a proposed map for coordinators to come.
func (c *coordinator) store(m *expert.Map) error {
	key := fmt.Sprintf(weightsKey, c.group.settings.Group, m.Version())
	value, err := json.Marshal(storedMap{Slots: m.Slots(), Experts: experts(m)})
	if err != nil {
		return err
	}
	_, err = c.group.member.Platform().Put(key, value, platform.Absent)
	return err
}

func experts(m *expert.Map) [][]expert.Replica {
	out := make([][]expert.Replica, m.Experts())
	for e := range out {
		out[e] = m.Replicas(e)
	}
	return out
}
