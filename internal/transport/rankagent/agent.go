package rankagent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/clientlimit"
	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/expert"
	"bluebellcrank/internal/state/instance"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
)

const (
	// orderTimeout bounds an order to an engine. It is above the response time
	// of an engine, also of one on another machine of the region. An order
	// without a response is sent again, and the group may be stalled meanwhile.
	orderTimeout = 50 * time.Millisecond
	// peerTimeout bounds a call to another agent: the order to its engine, the
	// engine's report and the round trip.
	peerTimeout = 250 * time.Millisecond
	// prepareTimeout replaces peerTimeout for the order that carries a layout: 64
	// ranks share a link of 8 Mbit/s for 0.2 s. It is below lockTimeout.
	prepareTimeout = 500 * time.Millisecond
	// limitedCheckInterval is the time between two looks for clients that were refused or
	// closed, which are logged less often.
	limitedCheckInterval = time.Second
)

// Agent answers the leader of its rank group for the engine beside it, and
// leads the group when no other agent does.
type Agent struct {
	settings instance.Settings
	log      hclog.Logger
	store    *platform.Store
	engine   *platform.Engine
	peers    *peer.Pool
	server   *peer.Server
	changes  *metrics.Counter
	failures *metrics.Counter
	// paceChanges counts the changes of ranks' paces that plans took into account.
	paceChanges  *metrics.Counter
	paceNotifier *paceNotifier

	// orderMu serialises orders to the engine, so that orders of two leaders do
	// not interleave.
	orderMu  sync.Mutex
	lock     lock
	own      ownRank
	layouts  layoutCache
	timeouts timeouts

	countsMu sync.Mutex
	// lastCounts is the engine's number of choices per expert as of the previous
	// sample with counts.
	lastCounts []int64

	draining atomic.Bool
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// New starts an agent that serves its peers on listener and, unless operator is
// nil, the operator's endpoints on operator. The function droppedLogLines
// returns how many log lines were dropped.
func New(settings instance.Settings, log hclog.Logger, listener, operator net.Listener, droppedLogLines func() uint64) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	set := metrics.NewSet()
	set.NewGauge("bluebellcrank_log_lines_dropped", func() float64 { return float64(droppedLogLines()) })
	a := &Agent{
		settings:    settings,
		log:         log,
		store:       platform.NewStore(settings.StoreAddress),
		engine:      platform.NewEngine(settings.EngineAddress, orderTimeout),
		peers:       peer.NewPool(peerTimeout),
		changes:     set.NewCounter("bluebellcrank_map_changes_total"),
		failures:    set.NewCounter("bluebellcrank_map_changes_failed_total"),
		paceChanges: set.NewCounter("bluebellcrank_rank_pace_changes_total"),
		stop:        stop,
		timeouts:    defaultTimeouts(),
	}
	a.paceNotifier = newPaceNotifier(a.store, settings.FirstPort, log)
	a.lock.renewedAt = time.Now()
	a.lock.acquisition = rand.Int64N(maxFirstAcquisition)
	a.own.coordinator = mapswitch.NoRank
	mux := peer.NewMux()
	peer.Handle(mux, methodSample, a.handleSample)
	peer.Handle(mux, methodOrder, a.handleOrder)
	peer.Handle(mux, methodForward, a.handleForward)
	listener, operator = a.guardListeners(ctx, listener, operator, set)
	a.server = peer.Serve(listener, mux, a.peers.Bytes())
	a.running.Go(func() { newLeader(a).run(ctx) })
	a.running.Go(func() { a.paceNotifier.run(ctx) })
	if operator != nil {
		process.NewOperatorServer(operator, set, process.NewOperatorCallbacks(func() bool { return !a.draining.Load() }, a.dump))
	}
	event.ProcessStarted.Log(log, "data-centre", settings.DataCentre, "engine", settings.EngineAddress)
	return a
}

// guardListeners keeps the clients of each listener within their share of the memory and the
// descriptors of this process.
func (a *Agent) guardListeners(ctx context.Context, peers, operator net.Listener, set *metrics.Set) (guardedPeers, guardedOperator net.Listener) {
	shares := clientlimit.NewShares(a.settings.MemoryMB, a.settings.MaxOpenFiles)
	guards := []*process.Guard{process.NewGuard("peers", shares.Traffic, false, set, a.log)}
	guardedPeers = guards[0].Listen(peers)
	if operator != nil {
		guards = append(guards, process.NewGuard("operator", shares.Operator, false, set, a.log))
		guardedOperator = guards[1].Listen(operator)
	}
	a.running.Go(func() {
		process.Every(limitedCheckInterval, ctx.Done(), func(now time.Time) {
			for _, g := range guards {
				g.LogCounts(now)
			}
		})
	})
	return guardedPeers, guardedOperator
}

// sampleReport reads and records the state of the rank beside this agent, which may be that of
// an earlier sample.
func (a *Agent) sampleReport(ctx context.Context, now time.Time) (expert.RankReport, error) {
	return a.recordReport(ctx, a.engine.Sample, now)
}

// readReport reads and records the present state of the rank beside this agent.
func (a *Agent) readReport(ctx context.Context, now time.Time) (expert.RankReport, error) {
	return a.recordReport(ctx, a.engine.Report, now)
}

func (a *Agent) recordReport(ctx context.Context, read func(context.Context) (expert.RankReport, error), now time.Time) (expert.RankReport, error) {
	r, err := read(ctx)
	if err == nil {
		a.own.record(r, now)
	}
	return r, err
}

// handleSample grants or denies a leader the lock, and replies to a granted one
// with the rank's state.
func (a *Agent) handleSample(ctx context.Context, r sampleRequest) (sampleReply, error) {
	grant := a.lock.acquire(r.Leader, r.Rank, r.HoldsStep, time.Now())
	if !grant.granted {
		return sampleReply{Holder: grant.holder}, nil
	}
	read := a.sampleReport
	if r.Fresh {
		read = a.readReport
	}
	report, err := read(ctx, time.Now())
	if err != nil {
		return sampleReply{}, err
	}
	out := sampleReply{Granted: true, Holder: grant.holder, Acquisition: grant.acquisition, Report: &report}
	if r.Counts {
		if out.Counts, err = a.newCounts(ctx); err != nil {
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

// newCounts returns how often each expert was chosen since the previous call,
// in the encoding of packNumbers, compressed.
func (a *Agent) newCounts(ctx context.Context) ([]byte, error) {
	counts, err := a.engine.ExpertCounts(ctx)
	if err != nil {
		return nil, err
	}
	a.countsMu.Lock()
	defer a.countsMu.Unlock()
	deltas := make([]int64, len(counts))
	for i, c := range counts {
		// A restarted engine counts from zero, so a decreased count is skipped.
		if len(a.lastCounts) == len(counts) && a.lastCounts[i] <= c {
			deltas[i] = c - a.lastCounts[i]
		}
	}
	a.lastCounts = counts
	return deflate(packNumbers(deltas)), nil
}

// errOrderExpired means that the process was paused between the creation of an
// order and its delivery.
var errOrderExpired = errors.New("rankagent: order expired: the process was paused after creating it")

// maxOrderAge is the age above which an order that this process created itself
// is discarded: another agent may have become leader while the process was
// paused.
const maxOrderAge = 100 * time.Millisecond

// maxPrepareWait bounds how long an agent waits for its engine to load experts before
// it replies. The leader asks again after a longer load.
const maxPrepareWait = 200 * time.Millisecond

// handleOrder sends an order of the leader to the engine and reports the rank's
// state after it. The reply to a Prepare waits for the experts to be loaded, so that
// the leader need not ask again. An agent refuses a leader that does not hold the
// lock.
func (a *Agent) handleOrder(ctx context.Context, r orderRequest) (orderReply, error) {
	out, err := a.sendToEngine(ctx, r)
	if err != nil || r.Order.Kind != mapswitch.Prepare || !out.Answered {
		return out, err
	}
	const checkInterval = 10 * time.Millisecond
	for end := time.Now().Add(maxPrepareWait); out.Report != nil && out.Report.Prepared < r.Order.Version && time.Now().Before(end); {
		time.Sleep(checkInterval)
		report, err := a.sampleReport(ctx, time.Now())
		if err != nil {
			event.EngineUnreachable.Log(a.log, "error", err.Error())
			return out, nil
		}
		out.Report = &report
	}
	return out, nil
}

// sendToEngine sends an order of the leader to the engine, if the leader holds the
// lock, and reports the rank's state after it.
func (a *Agent) sendToEngine(ctx context.Context, r orderRequest) (orderReply, error) {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	if !a.lock.renew(r.Leader, time.Now()) {
		return orderReply{}, nil
	}
	if r.Order.Kind == mapswitch.Prepare {
		a.own.recordCoordinator(r.Rank)
	}
	layout, err := a.layoutOf(r)
	if errors.Is(err, errUnknownBase) {
		return orderReply{Granted: true, NeedsLayout: true}, nil
	}
	if err == nil {
		err = applyOrder(ctx, a.engine, r, layout)
	}
	out := orderReply{Granted: true, Answered: err == nil || errors.Is(err, platform.ErrOrderRefused)}
	if !out.Answered {
		event.EngineUnreachable.Log(a.log, "order", string(r.Order.Kind), "version", r.Order.Version, "error", err.Error())
	}
	report, err := a.readReport(ctx, time.Now())
	if err != nil {
		event.EngineUnreachable.Log(a.log, "error", err.Error())
		return out, nil
	}
	out.Report = &report
	return out, nil
}

// layoutOf returns the layout that an order carries, or nil.
func (a *Agent) layoutOf(r orderRequest) (expert.Layout, error) {
	if r.Layout == nil {
		return nil, nil
	}
	if l := a.layouts.find(r.Layout.Digest); l != nil {
		return l, nil
	}
	l, err := r.Layout.apply(a.layouts.find)
	if err != nil {
		return nil, err
	}
	a.layouts.add(r.Layout.Digest, l)
	return l, nil
}

// applyOrder sends an order to an engine, with its layout where it carries one.
func applyOrder(ctx context.Context, e *platform.Engine, r orderRequest, layout expert.Layout) error {
	if r.issuedAt != 0 && process.BootTime()-r.issuedAt > r.maxAge {
		return errOrderExpired
	}
	o := r.Order
	switch o.Kind {
	case mapswitch.Prepare, mapswitch.Fence:
		if layout == nil {
			return errMalformed
		}
		return e.Prepare(ctx, r.Epoch, o.Version, layout)
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

// dump returns the agent's state as YAML.
func (a *Agent) dump() string {
	a.lock.mu.Lock()
	defer a.lock.mu.Unlock()
	return fmt.Sprintf("instance: %s\nleader: %s\nchanges: %d\nfailed: %d\n", a.settings.Name, a.lock.leader, a.changes.Get(), a.failures.Get())
}

// Drain stops leading the group and returns when no change of the map is in
// progress. The agent continues to answer another leader.
func (a *Agent) Drain() {
	a.draining.Store(true)
	a.stop()
	a.running.Wait()
}

// Close stops the agent: it waits for a change in progress, then closes the
// server and the connections to peers.
func (a *Agent) Close() {
	a.stop()
	a.running.Wait()
	a.server.Close()
	a.peers.Close()
}
