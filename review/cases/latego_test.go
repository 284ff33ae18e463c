//go:build review

// The case latego runs the agents of a rank group. The engines leave some orders
// unanswered and carry them out late, the leading agent is restarted, and the group is
// idle for some seconds. It checks that all ranks begin each pass with the same map.
package cases

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	passInterval = 20 * time.Millisecond
	// lateness is how long after its sending an unanswered order is carried out; the
	// pages allow 2 to 12 s.
	lateness = 2100 * time.Millisecond
	// slow is the rank whose first order to prepare a map goes unanswered, and of the
	// second change those until prepareUntil after the first release.
	slow         = 6
	prepareUntil = 1550 * time.Millisecond
	// stepsAhead is how far ahead a leader chooses the step once an order went unanswered.
	stepsAhead = 7
	// holder is the rank that holds the step for the leader of rank 0, and late the rank
	// whose Arms go unanswered.
	holder  = 1
	late    = 5
	runTime = 90 * time.Second
	// idleTime is how long the group is idle in a run without trouble, and changeTimeout
	// how long the case waits for the change of the restarted agent.
	idleTime      = 2500 * time.Millisecond
	changeTimeout = 5 * time.Second
)

// stage is how far the case has come.
type stage int

const (
	// waiting lets changes of the map pass until one holds a step while the group has
	// begun no pass since that step was chosen; the load then stops.
	waiting stage = iota
	// undoing has the first change fail, since a rank does not answer its Arm.
	undoing
	// restarting waits for the restarted agent's change.
	restarting
	// rearming has the late release arrive while the second change arms the ranks.
	rearming
)

type scene struct {
	k     *Kit
	group *Engines

	mu    sync.Mutex
	stage stage
	// heldStep is the step of the first change, and releasedAt when its first release was
	// sent.
	heldStep    int64
	releasedAt  time.Time
	slowVersion int64
	leader      *Process
	orders      int
	lateOrders  int
	// tries counts the changes that were committed before the trouble begins.
	tries int
	idle  atomic.Bool
	// reached is set once the late release has come during the second change, and paused
	// once the group was idle in a run without trouble.
	reached, paused bool
}

// decide returns whether an order is carried out now, or goes unanswered.
func (s *scene) decide(rank int, o Order, execute func()) (now bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders++
	if !s.k.Trouble {
		if o.Operation == "retention" && s.tries > 0 && !s.paused {
			s.paused = true
			s.idle.Store(true)
			time.AfterFunc(idleTime, func() { s.idle.Store(false) })
		}
		return true
	}
	leaveUnanswered := func() bool { s.lateOrders++; return false }
	switch {
	case s.stage == waiting && o.Operation == "retention" && rank == holder && s.tries > 0:
		s.idle.Store(true)
		if s.group.Step() == o.Step-stepsAhead {
			s.stage, s.heldStep = undoing, o.Step
			s.k.Record("the group is idle at pass %d, the first change holds step %d", s.group.Step(), o.Step)
		} else {
			s.idle.Store(false)
		}
	case s.stage == undoing && o.Operation == "arm" && rank == late:
		time.AfterFunc(lateness, execute)
		return leaveUnanswered()
	case s.stage == waiting && o.Operation == "prepare" && rank == slow && s.tries > 0 && o.Version != s.slowVersion,
		s.stage == restarting && o.Operation == "prepare" && rank == slow && time.Since(s.releasedAt) < prepareUntil:
		s.slowVersion = o.Version
		time.AfterFunc(lateness, execute)
		return leaveUnanswered()
	case s.stage == undoing && o.Operation == "go" && rank == holder && s.releasedAt.IsZero():
		s.releasedAt = time.Now()
		s.k.Record("the release of step %d goes unanswered", o.Step)
		time.AfterFunc(lateness, func() {
			execute()
			s.lateRelease()
		})
		return leaveUnanswered()
	case s.stage == undoing && o.Operation == "go" && rank == holder:
		s.stage = restarting
		s.k.Record("the release of step %d is repeated and answered; the leading agent is restarted", o.Step)
		go func() {
			time.Sleep(5 * time.Millisecond) // the order is carried out first
			if err := s.k.Restart(s.leader, "rank"); err != nil {
				s.k.Record("restart: %v", err)
			}
		}()
	case s.stage == restarting && o.Operation == "retention":
		s.k.Record("the next change holds step %d at rank %d", o.Step, rank)
		if rank == holder && o.Step == s.heldStep {
			s.stage = rearming
		} else {
			s.giveUp("another step or rank")
		}
	case s.stage == rearming && o.Operation == "arm" && rank == late && s.group.Step() < s.heldStep:
		time.AfterFunc(lateness, execute)
		return leaveUnanswered()
	}
	return true
}

// giveUp resumes the load and waits for another change. The lock must be held.
func (s *scene) giveUp(reason string) {
	s.k.Record("not this time: %s", reason)
	s.stage, s.releasedAt = waiting, time.Time{}
	s.idle.Store(false)
}

// lateRelease brings the load back once a late release has come while the second change
// holds its step.
func (s *scene) lateRelease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage == rearming && !s.reached {
		s.k.Record("a late release of step %d has come during the second change; the load comes back", s.heldStep)
		s.reached = true
		s.idle.Store(false)
	}
}

func runLateGo(dir string) (int, error) {
	k, err := New(dir)
	if err != nil {
		return NotRun, err
	}
	defer func() { k.Close(os.Getenv("LOGS") != "") }()
	s := &scene{k: k, group: NewEngines(k, SmallSite)}
	s.group.Intercept = s.decide
	k.Store.Put("config", "main", map[string]any{
		"version": 1, "routes": []any{},
		"services": []any{map[string]any{"name": "drafts", "engineProfile": SmallSite.Fields()}},
	})
	var agents []*Process
	for n := range SmallSite.Ranks {
		l, err := k.Listen(AgentHost(n))
		if err != nil {
			return NotRun, err
		}
		go func() { _ = http.Serve(l, s.group.Handler(n)) }()
		k.Store.Put("servers", fmt.Sprintf("r-%d", n), map[string]any{
			"service": "drafts", "address": l.Addr().String(), "zone": "east", "version": "1", "slots": 12, "state": "serving",
			"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			"group": map[string]any{"name": "g", "epoch": 1, "rank": n, "state": "open"}, "size": SmallSite.Ranks,
		})
		p, err := k.StartAgent(n, l.Addr().String(), "drafts")
		if err != nil {
			return NotRun, err
		}
		agents = append(agents, p)
	}
	s.leader = agents[0]
	end := time.Now().Add(runTime)
	hot, changes, changedAt := 0, 0, time.Now()
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(passInterval)
		if c := s.group.Changes(); c > changes {
			k.Record("pass %d: the map has changed", s.group.Step())
			changes, changedAt = c, time.Now()
			s.mu.Lock()
			s.tries++
			s.mu.Unlock()
		}
		if time.Since(changedAt) > time.Second {
			changedAt = time.Now()
			hot += 5
			s.group.SetHot(hot)
		}
		if !s.idle.Load() {
			s.group.Pass()
		}
		s.mu.Lock()
		done := s.reached && s.group.Step() > s.heldStep+300 || !k.Trouble && changes >= 8
		if s.stage == restarting && time.Since(s.releasedAt) > changeTimeout {
			s.giveUp("the restarted agent begins no change")
		}
		s.mu.Unlock()
		if done {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.group.Mismatches(); len(m) > 0 {
		k.Record("BROKEN: %s", m[0])
		k.Record("BROKEN: the last of %d such passes so far: %s", len(m), m[len(m)-1])
	}
	fmt.Printf("%d map changes, %d of %d orders unanswered, %d passes that ranks began with different maps\n", s.group.Changes(), s.lateOrders, s.orders, len(s.group.Mismatches()))
	switch {
	case len(s.group.Mismatches()) > 0:
		return Broken, nil
	case k.Trouble && !s.reached || s.group.Changes() == 0:
		return NotRun, fmt.Errorf("the order of events did not come about")
	}
	return Held, nil
}
