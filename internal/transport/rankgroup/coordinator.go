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
	"bluebellcrank/internal/transport/process"
)

const (
	// leaseCandidates is the number of ranks, from rank 0, that can hold the lease.
	// More are not needed: a group whose first agents have all failed is granted
	// no steps anyway.
	leaseCandidates = 3
	// leaseStaggerDelay is how much longer each rank waits than the rank before it
	// to acquire an expired lease, so that they do not all try at once.
	leaseStaggerDelay = 300 * time.Millisecond
	// leaseChecksPerPeriod is how often per lease period the holder renews the
	// lease and the other candidates read it.
	leaseChecksPerPeriod = 3
	coordinatorInterval  = 50 * time.Millisecond
	// abortPeriod is how long an abort is repeated.
	abortPeriod = 500 * time.Millisecond
	// changeLead is the number of steps from the furthest known grant to the first
	// step of a proposed change, to which package switchover adds its margin. It
	// exceeds grantAhead, so that all ranks can acknowledge before they reach that
	// step.
	changeLead = grantAhead + 4

	// versionsPerLease is the number of map versions reserved for one lease version,
	// so that two coordinators never use the same map version.
	versionsPerLease = 1 << 16

	// moveDelay is the time to load one expert copy, and payoffWindow the time
	// over which the gain of a move must exceed that cost. One change moves at
	// most maxMoves copies.
	moveDelay    = 30 * time.Millisecond
	payoffWindow = 10 * time.Minute
	maxMoves     = 8

	// Keys of a group's stored objects.
	mapKey   = "groups/%s/maps/%d"
	leaseKey = "groups/%s/lease"
)

// lease is the stored object that names a group's coordinator. Its position at
// acquisition determines the coordinator's fencing numbers.
type lease struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
}

// storedMap is an expert map as stored in the platform's object store.
type storedMap struct {
	Slots   int                `json:"slots"`
	Experts [][]expert.Replica `json:"experts"`
}

// coordinator competes for the group's lease and, while it holds it, coordinates map
// changes. All its state belongs to the goroutine of run.
type coordinator struct {
	group          *Group
	holdsLease     bool
	leasePosition  platform.Position // after the last renewal
	seenPosition   platform.Position // of a lease held by another agent
	seenSince      time.Time
	checkedAt      time.Time
	switcher       *switchover.Coordinator
	fence          int64 // of the lease at acquisition
	proposals      int64
	abortStartedAt time.Time
	decidedAt      time.Time
	rankStates     []engine.RankState
	currentMap     *expert.Map
	nextMap        *expert.Map
}

func newCoordinator(g *Group) *coordinator {
	return &coordinator{group: g, rankStates: make([]engine.RankState, g.settings.Ranks)}
}

func (c *coordinator) run() {
	process.Every(coordinatorInterval, c.group.stop, func(now time.Time) {
		c.updateLease(now)
		if c.holdsLease {
			c.advance(now)
		}
	})
}

func (c *coordinator) leaseObjectKey() string { return fmt.Sprintf(leaseKey, c.group.settings.Group) }

// updateLease renews a held lease, or acquires one that is absent or expired. A lease
// has expired when its version did not change for the lease period. While the
// platform is down the holder continues; ranks tell two holders apart by their
// fencing numbers.
func (c *coordinator) updateLease(now time.Time) {
	if now.Sub(c.checkedAt) < c.group.settings.LeasePeriod/leaseChecksPerPeriod {
		return
	}
	c.checkedAt = now
	if c.holdsLease {
		c.renewLease(now)
		return
	}
	o, err := c.group.member.Platform().Get(c.leaseObjectKey())
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.acquireLease(platform.Absent)
	case err != nil:
	case o.Position != c.seenPosition:
		c.seenPosition, c.seenSince = o.Position, now
	case now.Sub(c.seenSince) > c.group.settings.LeasePeriod+time.Duration(c.group.settings.Rank)*leaseStaggerDelay:
		c.acquireLease(o.Position)
	}
}

// writeLease writes the lease if it is still at the expected position.
func (c *coordinator) writeLease(expected platform.Position) (platform.Position, error) {
	value, err := json.Marshal(lease{Agent: c.group.member.Instance(), Incarnation: c.group.member.Incarnation()})
	if err != nil {
		return platform.Position{}, err
	}
	return c.group.member.Platform().Put(c.leaseObjectKey(), value, expected)
}

// acquireLease tries to become the holder, and starts a new coordinator on success.
func (c *coordinator) acquireLease(expected platform.Position) {
	p, err := c.writeLease(expected)
	if err != nil {
		return
	}
	c.holdsLease, c.leasePosition = true, p
	c.fence, c.proposals = p.Fence(), 0
	c.switcher = switchover.NewCoordinator(c.fence, c.group.settings.Ranks)
	c.currentMap, c.nextMap = nil, nil
	event.LeaseAcquired.Log(c.group.log, "group", c.group.settings.Group, "fence", c.fence)
}

// renewLease renews the lease. It gives up the lease only on a version conflict:
// another agent wrote it, or an earlier renewal took effect without a response.
func (c *coordinator) renewLease(now time.Time) {
	p, err := c.writeLease(c.leasePosition)
	switch {
	case errors.Is(err, platform.ErrConflict):
		c.holdsLease = false
		c.seenPosition, c.seenSince = platform.Position{}, now
		event.LeaseLost.Log(c.group.log, "group", c.group.settings.Group)
	case err == nil:
		c.leasePosition = p
	}
}

// advance sends the pending messages of a change in progress. Without one it decides
// on the next change once per decision interval.
func (c *coordinator) advance(now time.Time) {
	switch c.switcher.Phase() {
	case switchover.Idle:
		if now.Sub(c.decidedAt) >= c.group.settings.DecisionInterval {
			c.decidedAt = now
			c.proposeImprovement()
		}
		return
	case switchover.Aborting:
		if c.abortStartedAt.IsZero() {
			c.abortStartedAt = now
		}
		if now.Sub(c.abortStartedAt) > abortPeriod {
			c.abortStartedAt = time.Time{}
			c.switcher.FinishAbort()
		}
	}
	c.exchange(c.switcher.PendingMessages())
	if c.switcher.Phase() == switchover.Idle && c.nextMap != nil && c.switcher.Version() == c.nextMap.Version() {
		event.MapChanged.Log(c.group.log, "group", c.group.settings.Group, "version", c.nextMap.Version())
		c.currentMap, c.nextMap = c.nextMap, nil
	}
}

// exchange sends messages concurrently and handles the answers one by one.
func (c *coordinator) exchange(list []switchover.Message) {
	replies := make([]Reply, len(list))
	var wg sync.WaitGroup
	for n, m := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			call := Call{Group: c.group.settings.Group, Message: m}
			if m.Kind == switchover.Prepare && c.nextMap != nil {
				call.Map = &engine.MapOrder{Fence: m.Fence, Version: c.nextMap.Version(), Experts: replicasByExpert(c.nextMap)}
			}
			replies[n], _ = c.group.send(call)
		}()
	}
	wg.Wait()
	for n, r := range replies {
		if len(r.Answers) > 0 {
			c.rankStates[list[n].To] = r.State
		}
		for _, a := range r.Answers {
			c.exchange(c.switcher.Handle(a))
		}
	}
}

// proposeImprovement queries the ranks, and proposes a better map if the gain exceeds
// the cost of the moves.
func (c *coordinator) proposeImprovement() {
	c.exchange(c.switcher.Refresh())
	if c.switcher.Phase() != switchover.Idle || !c.loadCurrentMap() {
		return
	}
	improved, changed := placement.Improve(c.measuredLoad(), c.currentMap, placement.NewCosts(moveDelay, payoffWindow, maxMoves))
	if !changed {
		return
	}
	c.proposals++
	next := improved.WithVersion(c.fence*versionsPerLease + c.proposals)
	if err := c.storeMap(next); err != nil {
		return
	}
	c.nextMap = next
	list, ok := c.switcher.Propose(next.Version(), changeLead)
	if ok {
		c.exchange(list)
	}
}

// measuredLoad returns the popularity of the experts and the speed of the ranks, as
// the ranks report them.
func (c *coordinator) measuredLoad() placement.Group {
	popularity := make([]float64, c.currentMap.Experts())
	speed := make([]float64, len(c.rankStates))
	sum := 0.0
	for r, s := range c.rankStates {
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

// loadCurrentMap makes sure that currentMap is the map in force, and reports whether
// it is. Versions up to 1 are the default map and are not stored.
func (c *coordinator) loadCurrentMap() bool {
	version := c.switcher.Version()
	if c.currentMap != nil && c.currentMap.Version() == version {
		return true
	}
	s := c.rankStates[0]
	if len(s.Tokens) == 0 {
		return false
	}
	c.currentMap = expert.Defaults(len(s.Tokens), c.group.settings.Ranks, s.Slots).WithVersion(version)
	if version <= 1 {
		return true
	}
	o, err := c.group.member.Platform().Get(fmt.Sprintf(mapKey, c.group.settings.Group, version))
	if errors.Is(err, platform.ErrNotFound) && o.Position.Generation > 0 {
		// A restored store has lost the map. Improvements are planned from the default
		// one, and each change names all replicas.
		event.MapNotStored.Log(c.group.log, "group", c.group.settings.Group, "version", version)
		return true
	}
	if err != nil {
		c.currentMap = nil
		return false
	}
	var stored storedMap
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		c.currentMap = nil
		return false
	}
	for e, list := range stored.Experts {
		c.currentMap.SetReplicas(e, list)
	}
	return true
}

// storeMap stores a proposed map for later coordinators.
func (c *coordinator) storeMap(m *expert.Map) error {
	key := fmt.Sprintf(mapKey, c.group.settings.Group, m.Version())
	value, err := json.Marshal(storedMap{Slots: m.Slots(), Experts: replicasByExpert(m)})
	if err != nil {
		return err
	}
	_, err = c.group.member.Platform().Put(key, value, platform.Absent)
	return err
}

// replicasByExpert returns the replicas of each expert of a map.
func replicasByExpert(m *expert.Map) [][]expert.Replica {
	out := make([][]expert.Replica, m.Experts())
	for e := range out {
		out[e] = m.Replicas(e)
	}
	return out
}
