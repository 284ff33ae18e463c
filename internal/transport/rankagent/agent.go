package rankagent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/expert"
	"bluebellcrank/internal/state/instance"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
)

const (
	// orderTimeout is above the time that an engine takes to answer, also to a
	// machine of the same region; an order without an answer is sent again,
	// and the group may stand still meanwhile.
	orderTimeout = 50 * time.Millisecond
	// peerTimeout bounds a call to another agent: an order, a report, and the
	// way.
	peerTimeout = 250 * time.Millisecond
	// prepareTimeout is the same for the order that carries a layout: 64 ranks
	// share a link of 8 Mbit/s for 0.2 s. It is below lockLife.
	prepareTimeout = 500 * time.Millisecond
	// lockLife is how long a silent leader keeps other leaders out. It is
	// longer than a round of calls, and short enough for another agent to
	// release a held group before callers give up on a silent stream, 2 s.
	lockLife = 700 * time.Millisecond
	// lockStagger keeps agents from leading at the same time.
	lockStagger = 150 * time.Millisecond
)

// Agent is a running agent.
type Agent struct {
	settings instance.Settings
	log      hclog.Logger
	store    *platform.Store
	engine   *platform.Engine
	peers    *peer.Pool
	server   *peer.Server
	changes  *metrics.Counter
	failures *metrics.Counter

	// serial keeps the orders of two leaders apart.
	serial sync.Mutex
	lock   lock
	own    ownRank

	countMu sync.Mutex
	// counted are the engine's counts as of the last sample of them.
	counted []int64

	draining atomic.Bool
	stop     context.CancelFunc
	ending   sync.WaitGroup
}

// lock says which leader an agent takes orders from.
type lock struct {
	mu     sync.Mutex
	leader string
	rank   int
	at     time.Time
}

// take renews or takes the lock, and returns the rank of who has it. A lower
// rank takes it from a higher one, so that agents which start together agree;
// it undoes what the other one may have left half done.
func (l *lock) take(leader string, rank int, now time.Time) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != leader && now.Sub(l.at) < lockLife && rank >= l.rank {
		return false, l.rank
	}
	l.leader, l.rank, l.at = leader, rank, now
	return true, rank
}

// renew keeps the lock for the leader that has it.
func (l *lock) renew(leader string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != leader {
		return false
	}
	l.at = now
	return true
}

// free reports whether nobody has held the lock for a time.
func (l *lock) free(silence time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.at) >= silence
}

// heldBy reports whether a leader took the lock last.
func (l *lock) heldBy(leader string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader == leader
}

// New starts an agent whose peers connect to a listener.
func New(s instance.Settings, log hclog.Logger, l, operator net.Listener, dropped func() uint64) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	set := metrics.NewSet()
	set.NewGauge("bluebellcrank_log_lines_dropped", func() float64 { return float64(dropped()) })
	a := &Agent{
		settings: s,
		log:      log,
		store:    platform.NewStore(s.StoreAddress),
		engine:   platform.NewEngine(s.EngineAddress, orderTimeout),
		peers:    peer.NewPool(peerTimeout),
		changes:  set.NewCounter("bluebellcrank_map_changes_total"),
		failures: set.NewCounter("bluebellcrank_map_changes_failed_total"),
		stop:     stop,
	}
	a.lock.at = time.Now()
	a.own.beginner = mapswitch.NoRank
	mux := peer.NewMux()
	peer.Handle(mux, methodSample, a.sample)
	peer.Handle(mux, methodOrder, a.order)
	a.server = peer.Serve(l, mux, a.peers.Bytes())
	a.ending.Go(func() { newLeader(a).run(ctx) })
	if operator != nil {
		process.NewOperator(operator, set, process.NewView(func() bool { return !a.draining.Load() }, a.dump))
	}
	event.ProcessStarted.Log(log, "data-centre", s.DataCentre, "engine", s.EngineAddress)
	return a
}

// look reads the state of the rank beside this agent.
func (a *Agent) look(ctx context.Context, now time.Time) (expert.RankReport, error) {
	r, err := a.engine.Report(ctx)
	if err == nil {
		a.own.note(r, now)
	}
	return r, err
}

// sample answers a leader.
func (a *Agent) sample(ctx context.Context, r sampleRequest) (sampleReply, error) {
	granted, holder := a.lock.take(r.Leader, r.Rank, time.Now())
	if !granted {
		return sampleReply{Holder: holder}, nil
	}
	report, err := a.look(ctx, time.Now())
	if err != nil {
		return sampleReply{}, err
	}
	out := sampleReply{Granted: true, Holder: holder, Report: &report}
	if r.Counts {
		if out.Counts, err = a.countsSince(ctx); err != nil {
			return sampleReply{}, err
		}
	}
	if r.Experts {
		if out.Experts, err = a.engine.Experts(ctx); err != nil {
			return sampleReply{}, err
		}
	}
	return out, nil
}

// countsSince returns how often each expert was chosen since the last call.
func (a *Agent) countsSince(ctx context.Context) ([]byte, error) {
	counts, err := a.engine.Counts(ctx)
	if err != nil {
		return nil, err
	}
	a.countMu.Lock()
	defer a.countMu.Unlock()
	since := make([]int64, len(counts))
	for i, c := range counts {
		// An engine that has started anew counts from zero.
		if len(a.counted) == len(counts) && a.counted[i] <= c {
			since[i] = c - a.counted[i]
		}
	}
	a.counted = counts
	return packNumbers(since), nil
}

// errStale says that the process stood still before an order was given.
var errStale = errors.New("rankagent: the order is too old: the process was suspended")

// orderLife is how old an order of this process's own may be: another agent
// may have taken over while the process was suspended.
const orderLife = 100 * time.Millisecond

// order gives the engine an order of the leader and reads what came of it.
func (a *Agent) order(ctx context.Context, r orderRequest) (orderReply, error) {
	a.serial.Lock()
	defer a.serial.Unlock()
	if !a.lock.renew(r.Leader, time.Now()) {
		return orderReply{}, nil
	}
	if r.Order.Kind == mapswitch.Prepare {
		a.own.begun(r.Rank)
	}
	err := give(ctx, a.engine, r)
	out := orderReply{Granted: true, Answered: err == nil || errors.Is(err, platform.ErrOrderRefused)}
	if !out.Answered {
		event.EngineUnreachable.Log(a.log, "order", string(r.Order.Kind), "version", r.Order.Version, "error", err.Error())
	}
	report, err := a.look(ctx, time.Now())
	if err != nil {
		event.EngineUnreachable.Log(a.log, "error", err.Error())
		return out, nil
	}
	out.Report = &report
	return out, nil
}

// give gives an engine an order.
func give(ctx context.Context, e *platform.Engine, r orderRequest) error {
	if r.issued != 0 && process.BootTime()-r.issued > orderLife {
		return errStale
	}
	o := r.Order
	switch o.Kind {
	case mapswitch.Prepare, mapswitch.Fence:
		l, err := unpackLayout(r.Layout)
		if err != nil {
			return err
		}
		return e.Prepare(ctx, r.Epoch, o.Version, l)
	case mapswitch.Arm:
		return e.Arm(ctx, r.Epoch, o.Version, o.Step)
	case mapswitch.Disarm:
		return e.Disarm(ctx, r.Epoch, o.Version)
	case mapswitch.Hold:
		return e.Hold(ctx, r.Epoch, o.Step)
	case mapswitch.Release:
		return e.Release(ctx, r.Epoch, o.Step)
	case mapswitch.Query:
		return nil
	}
	return fmt.Errorf("rankagent: unknown order %q", o.Kind)
}

func (a *Agent) dump() string {
	a.lock.mu.Lock()
	defer a.lock.mu.Unlock()
	return fmt.Sprintf("instance: %s\nleader: %s\nchanges: %d\nfailed: %d\n", a.settings.Name, a.lock.leader, a.changes.Get(), a.failures.Get())
}

// Drain starts no more changes and returns when none is under way.
func (a *Agent) Drain() {
	a.draining.Store(true)
	a.stop()
	a.ending.Wait()
}

// Close ends at once.
func (a *Agent) Close() {
	a.stop()
	a.ending.Wait()
	a.server.Close()
	a.peers.Close()
}
