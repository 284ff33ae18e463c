package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/coordination/membership"
	"bluebellcrank/internal/coordination/retry"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/instance"
	"bluebellcrank/internal/state/routing"
	"bluebellcrank/internal/transport/follower"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/internal/transport/upstream"
	"bluebellcrank/platform"
)

const (
	// housekeepingInterval is the time between checks of idle connections and
	// queues.
	housekeepingInterval = 250 * time.Millisecond
	// drainNoticePeriod is how long new clients still connect after this entry
	// reports that it is not ready: two failed readiness checks, one a second, and
	// a margin.
	drainNoticePeriod = 2500 * time.Millisecond
	// connectionCheckInterval is the time between two checks of the connections that
	// are still open when an entry stops.
	connectionCheckInterval = 10 * time.Millisecond
	// graceMargin is how long before the end of the grace period, when the process
	// is killed, the requests that are still in flight are ended with an answer, and
	// lastAnswersTime is how long those answers may take before the process exits.
	graceMargin     = 400 * time.Millisecond
	lastAnswersTime = 200 * time.Millisecond
	// lateRequestMargin is how long after the last new connection a request may be read
	// and still be taken by an entry that stops, although it may last longer than the
	// entry does. With drainNoticePeriod it stays below 3 s, so that a request that is cut
	// at the end of the grace period was sent within 3 s of SIGTERM, even if the entry has
	// noticed the signal late.
	lateRequestMargin = 400 * time.Millisecond
	// headerTimeout bounds the time in which a client sends its request header. A
	// shorter limit of the configuration goes before it.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request. A smaller limit of the
	// configuration goes before it.
	maxHeaderBytes = 256 << 10
	// maxInternalHeaderBytes bounds the headers of readiness checks and of other entries'
	// calls, which have a few short fields.
	maxInternalHeaderBytes = 16 << 10
	// stalledClientTimeout is the time after which the connection of a client that
	// reads none of its response is closed.
	stalledClientTimeout = 5 * time.Second
	// confirmationMargin is the difference between the revocation timeout and the
	// lifetime of a confirmation, after which an entry stops serving keys: a watch
	// may miss a second of changes, and a request takes some time to reach a
	// target. The margin is at most half of the revocation timeout.
	confirmationMargin = 1500 * time.Millisecond
	// staleConfigAge is the age of the latest confirmation above which an unknown
	// route or key may have been added since, so that the request is refused as
	// not ready instead of unknown.
	staleConfigAge = 2 * time.Second
	// readAfterPause is the time after a pause of the process in which it reads what clients
	// have sent meanwhile.
	readAfterPause = 500 * time.Millisecond
	// settingsPollInterval is the time between two reads of the settings file,
	// which may change without a signal.
	settingsPollInterval = 2 * time.Second
)

// Gateway is a running entry.
type Gateway struct {
	settings instance.Settings
	options  Options
	// bounds are the bounds in force, which Reload replaces.
	bounds atomic.Pointer[instance.Bounds]
	// invalidSettings is the last error of the settings file, so that a repeated
	// error is logged once.
	invalidSettings string
	log             hclog.Logger
	store           *platform.Store
	follower        *follower.Follower
	fleet           *balance.Fleet
	pool            *upstream.Pool
	metrics         *entryMetrics
	clients         *clientConns
	peers           *entryPeers
	quarantine      *quarantineList
	targetLimits    *limitList
	refusals        *refusalList
	// guards has the guard of each listener, that of the clients first.
	guards []*process.Guard
	pauses *process.PauseWatch
	hedges *hedges

	traffic *http.Server
	// trafficListener accepts the connections of clients until the entry stops, and
	// trafficEnded is closed once it has accepted the last one.
	trafficListener net.Listener
	trafficEnded    chan struct{}
	ready           *http.Server
	// relay serves the store reads of other entries that cannot reach the store.
	relay *http.Server
	// readRoutes chooses whether this entry's store reads go to the store itself
	// or through another entry.
	readRoutes *membership.RelaySelector

	entryCount atomic.Int64
	draining   atomic.Bool
	// drainStart is when the entry began to stop; it is set before draining.
	drainStart time.Time
	// lastCall ends graceMargin before the grace period of an entry that stops.
	lastCall    context.Context
	endLastCall context.CancelFunc
	wasReady    atomic.Bool

	mu           sync.Mutex
	retryBudgets map[string]*retry.Share
	// shortages is keyed by service.
	shortages map[string]*shortage
	// retryDetectors has the retry detector of each route.
	retryDetectors map[string]*balance.RetryDetector

	stop       context.CancelFunc
	background sync.WaitGroup
}

// Listeners are the sockets of an entry.
type Listeners struct {
	// Traffic accepts the connections of clients.
	Traffic net.Listener
	// Ready accepts the platform's readiness checks.
	Ready net.Listener
	// Entries accepts the store reads of other entries, which this entry relays.
	Entries net.Listener
	// Operator serves metrics and the dump; it may be nil.
	Operator net.Listener
}

// Options are the dependencies of an entry and its balancing rule.
type Options struct {
	// ReadSettings reads the settings file.
	ReadSettings func() (instance.Settings, error)
	// DroppedLogLines returns how many log lines were dropped.
	DroppedLogLines func() uint64
	// Choice is the rule by which targets are chosen; empty means
	// balance.ShortestExpectedDelay.
	Choice balance.Choice
	// HedgeShare is the share of second requests, which hedge.CheckShare accepts; 0 sends
	// none.
	HedgeShare float64
}

// New starts an entry on its listeners.
func New(settings instance.Settings, log hclog.Logger, listeners Listeners, options Options) *Gateway {
	ctx, stop := context.WithCancel(context.Background())
	metricSet := metrics.NewSet()
	readRoutes := membership.NewRelaySelector(newRand())
	g := &Gateway{
		settings:       settings,
		options:        options,
		log:            log,
		readRoutes:     readRoutes,
		store:          newStore(settings.StoreAddress, readRoutes, log),
		fleet:          balance.NewFleet(newRand()),
		metrics:        newEntryMetrics(metricSet, options.DroppedLogLines),
		clients:        newClientConns(),
		retryBudgets:   map[string]*retry.Share{},
		shortages:      map[string]*shortage{},
		retryDetectors: map[string]*balance.RetryDetector{},
		pauses:         process.NewPauseWatch(time.Now()),
		trafficEnded:   make(chan struct{}),
		stop:           stop,
	}
	g.peers = newEntryPeers(net.JoinHostPort(settings.Address, strconv.Itoa(settings.FirstPort)), log)
	g.lastCall, g.endLastCall = context.WithCancel(context.Background())
	g.quarantine = newQuarantineList(settings.Name, g.peers, g.store, log)
	g.targetLimits = newLimitList(g.fleet, g.peers, g.metrics.loans, log)
	g.refusals = newRefusalList(settings.Name, g.peers, g.metrics, log)
	g.applyOptions(metricSet)
	g.bounds.Store(&settings.Bounds)
	g.setEntries(nil, initialEntryCount)
	g.pool = upstream.NewPool(g.metrics.connectionsOpened.Inc)
	g.follower = follower.New(g.store, settings.Start, follower.Sink{
		ReplaceTargets:    g.fleet.Replace,
		ApplyChanges:      g.fleet.ApplyChanges,
		SetOutOfService:   g.fleet.SetDataCentresOut,
		MergeTargets:      g.fleet.Merge,
		MergeOutOfService: g.fleet.MergeDataCentresOut,
		Applied:           g.applied,
	}, g.limits, log)
	g.addAgeMetrics(metricSet)
	listeners = g.guardListeners(listeners)
	g.ready = g.newServer(g.serveReady, maxInternalHeaderBytes)
	g.relay = g.newServer(g.entriesHandler().ServeHTTP, maxInternalHeaderBytes)
	g.traffic = g.newTrafficServer()
	g.trafficListener = process.NewWriteTimeoutListener(process.NewQueueDrainingListener(listeners.Traffic), stalledClientTimeout)
	g.background.Go(func() { g.serveListener(g.ready, listeners.Ready) })
	g.background.Go(func() { g.serveListener(g.relay, listeners.Entries) })
	g.background.Go(func() {
		defer close(g.trafficEnded)
		g.serveListener(g.traffic, &clientListener{Listener: g.guards[0].Listen(g.trafficListener), clients: g.clients})
	})
	g.background.Go(func() { process.Every(housekeepingInterval, ctx.Done(), g.housekeep) })
	g.background.Go(func() { process.Every(process.PauseWatchInterval, ctx.Done(), g.pauses.Tick) })
	g.background.Go(func() { g.maintainEntries(ctx) })
	g.background.Go(func() { g.pollSlowdowns(ctx) })
	g.background.Go(func() { g.quarantine.syncStore(ctx) })
	g.background.Go(func() { g.quarantine.exchange.exchangeRegularly(ctx, g.exchangeInterval) })
	g.background.Go(func() { g.quarantine.exchange.followNotices(ctx) })
	g.background.Go(func() { g.quarantine.exchange.tellChanges(ctx) })
	g.background.Go(func() { g.targetLimits.exchange.exchangeRegularly(ctx, g.exchangeInterval) })
	g.background.Go(func() { g.targetLimits.exchange.followNotices(ctx) })
	g.background.Go(func() { g.targetLimits.exchange.tellChanges(ctx) })
	g.background.Go(func() { g.refusals.notifyPeers(ctx) })
	g.background.Go(func() { process.Every(settingsPollInterval, ctx.Done(), func(time.Time) { g.Reload() }) })
	if listeners.Operator != nil {
		process.NewOperatorServer(listeners.Operator, metricSet, process.NewOperatorCallbacks(g.isReady, g.dump))
	}
	event.ProcessStarted.Log(log, "data-centre", settings.DataCentre, "traffic", settings.TrafficListen)
	return g
}

// applyOptions applies the balancing rule and the share of second requests.
func (g *Gateway) applyOptions(set *metrics.Set) {
	g.fleet.SetChoice(g.options.Choice)
	set.NewGauge("bluebellcrank_queue_length", func() float64 { return float64(g.fleet.QueueLength()) })
	g.hedges = newHedges(g.options.HedgeShare, g.fleet, set)
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// serveListener serves a listener until the server is closed.
func (g *Gateway) serveListener(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		event.ListenerFailed.Log(g.log, "error", err.Error())
	}
}

// exchangeInterval returns the time between two regular exchanges of a list with other
// entries under the settings in force.
func (g *Gateway) exchangeInterval() time.Duration {
	return g.bounds.Load().StabilityWindow / exchangesPerWindow
}

// Reload reads the settings file and applies its bounds. The last valid bounds
// stay in force while the file is invalid.
func (g *Gateway) Reload() {
	s, err := g.options.ReadSettings()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		if text := err.Error(); g.invalidSettings != text {
			g.invalidSettings = text
			event.SettingsInvalid.Log(g.log, "error", text)
		}
		return
	}
	g.invalidSettings = ""
	if *g.bounds.Load() == s.Bounds {
		return
	}
	g.bounds.Store(&s.Bounds)
	clear(g.retryBudgets)
	event.SettingsChanged.Log(g.log, "revocation-ms", s.Bounds.RevocationTimeout.Milliseconds(), "grace-ms", s.Bounds.GracePeriod.Milliseconds())
}

// housekeep closes idle connections, grants queued requests the slots that became
// free without a request ending, and logs changes of readiness.
func (g *Gateway) housekeep(now time.Time) {
	g.fleet.Poll(now)
	g.pool.Sweep(now)
	for _, guard := range g.guards {
		guard.LogCounts(now)
	}
	if t := g.follower.Table(); t != nil {
		g.closeConnections(t.Limits(), now)
	}
	if ready := g.isReady(); g.wasReady.Swap(ready) != ready {
		event.ReadinessChanged.Log(g.log, "ready", ready, "proof-age-ms", g.follower.ConfirmationAge(process.BootTime()).Milliseconds())
	}
}

// closeConnections closes the connections of clients that exceed a time limit. What arrived
// while the process stood still is read first.
func (g *Gateway) closeConnections(limits routing.Limits, now time.Time) {
	if g.pauses.HasPaused(now.Add(-readAfterPause), now) {
		return
	}
	if limits.IdleTimeout > 0 {
		g.clients.closeIdle(limits.IdleTimeout, now)
	}
	if limits.HeaderTimeout <= 0 {
		return
	}
	if closed := g.clients.closeSlow(limits.HeaderTimeout, now); closed > 0 {
		event.SlowClientsClosed.Log(g.log, "connections", closed, "limit-ms", limits.HeaderTimeout.Milliseconds())
	}
}

// isConfirmed reports whether the store has confirmed recently enough that the
// configuration is current. Otherwise a key may have been removed, so requests
// with keys must not be served.
func (g *Gateway) isConfirmed() bool {
	return g.follower.ConfirmationAge(process.BootTime()) <= g.limits().ConfirmationLifetime
}

// limits returns the follower's limits under the settings in force.
func (g *Gateway) limits() follower.Limits {
	b := g.bounds.Load()
	return follower.Limits{
		DrainPeriod:          b.DrainPeriod,
		ConfirmationLifetime: b.RevocationTimeout - min(confirmationMargin, b.RevocationTimeout/2),
		StabilityWindow:      b.StabilityWindow,
	}
}

// isReady reports whether the entry accepts clients: it is not draining, it has
// read the store, and its configuration is confirmed or requires no keys.
func (g *Gateway) isReady() bool {
	if g.draining.Load() || !g.follower.HasSynced() {
		return false
	}
	return !g.follower.Table().KeysRequired() || g.isConfirmed()
}

// serveReady answers a readiness check of the platform.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case !g.isReady():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// drainNotice returns how long an entry that stops still accepts connections.
func (g *Gateway) drainNotice() time.Duration {
	return min(drainNoticePeriod, g.bounds.Load().GracePeriod/3)
}

// sinceStop returns the time since this entry began to stop, or 0.
func (g *Gateway) sinceStop(now time.Time) time.Duration {
	if !g.draining.Load() {
		return 0
	}
	return now.Sub(g.drainStart)
}

// isTooLate reports whether a request that may last for some time was read so late that
// an entry that stops may end before it. Other entries serve it.
func (g *Gateway) isTooLate(duration time.Duration, now time.Time) bool {
	if !g.draining.Load() || now.Sub(g.drainStart) < g.drainNotice()+lateRequestMargin {
		return false
	}
	return now.Add(duration).After(g.drainStart.Add(g.bounds.Load().GracePeriod - graceMargin))
}

// Drain deregisters the entry, fails its readiness checks so that the platform
// directs clients to other entries, and returns when no request is in flight.
// graceMargin before the end of the grace period it ends those that are.
func (g *Gateway) Drain() {
	g.drainStart = time.Now()
	g.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), g.bounds.Load().GracePeriod-graceMargin)
	defer cancel()
	if err := g.store.Deregister(ctx, g.settings.Name); err != nil {
		event.StoreWriteFailed.Log(g.log, "error", err.Error())
	}
	time.Sleep(g.drainNotice() - time.Since(g.drainStart))
	// Shutdown of http.Server is not used: it drops a request that it reads after
	// its call.
	if err := g.trafficListener.Close(); err != nil {
		event.ListenerFailed.Log(g.log, "error", err.Error())
	}
	select {
	case <-g.trafficEnded:
	case <-ctx.Done():
	}
	if g.closeConnectionsUntil(ctx.Done()) {
		return
	}
	event.AnswerInterrupted.Log(g.log, "connections", g.clients.openCount(), "error", ctx.Err().Error())
	g.endLastCall()
	last, stop := context.WithTimeout(context.Background(), lastAnswersTime)
	defer stop()
	g.closeConnectionsUntil(last.Done())
}

// closeConnectionsUntil closes the connections that carry no request until none is left,
// and reports whether that was before done.
func (g *Gateway) closeConnectionsUntil(done <-chan struct{}) bool {
	for g.clients.closeUnused(time.Now()) > 0 {
		select {
		case <-time.After(connectionCheckInterval):
		case <-done:
			return false
		}
	}
	return true
}

// Close stops the entry at once and aborts the requests in flight.
func (g *Gateway) Close() {
	g.stop()
	g.endLastCall()
	_ = g.traffic.Close()
	_ = g.ready.Close()
	_ = g.relay.Close()
	g.follower.Close()
	g.background.Wait()
}

// spendRetry reports whether the service's retry budget allows one more attempt,
// and deducts it.
func (g *Gateway) spendRetry(service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(service).Spend(now)
}

// recordDeadline records the time until the deadline that the client of a route
// states. It reports whether the client is retrying, that is, has spent part of
// its time on an earlier attempt.
func (g *Gateway) recordDeadline(route string, untilDeadline time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	detector := valueOf(g.retryDetectors, route)
	detector.RecordDeadline(untilDeadline)
	return detector.IsRetry(untilDeadline)
}

// valueOf returns the value of a key in a map, and adds a pointer to a zero value
// if there is none.
func valueOf[T any](m map[string]*T, key string) *T {
	if m[key] == nil {
		m[key] = new(T)
	}
	return m[key]
}

// recordFirstAttempt counts the first attempt of a request in the service's retry
// budget.
func (g *Gateway) recordFirstAttempt(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(service).RecordFirstAttempt(now)
	g.hedges.recordFirstAttempt(service, now)
}

// retryBudget returns the retry budget of a service. The caller holds g.mu.
func (g *Gateway) retryBudget(service string) *retry.Share {
	budget := g.retryBudgets[service]
	if budget == nil {
		b := g.bounds.Load()
		budget = retry.NewShare(b.RetryRatio, b.RetryAllowance, b.RetryWindow)
		g.retryBudgets[service] = budget
	}
	budget.SetEntryCount(int(g.entryCount.Load()))
	return budget
}

// maxPerSecond returns the requests per second that all entries together send to a
// target of the service, in case it is cold; 0 means no limit. The limit applies to
// all targets of the service, since any of them may turn cold unnoticed.
func (g *Gateway) maxPerSecond(service *routing.Service) float64 {
	if service == nil || service.ColdPerSecond <= 0 {
		return 0
	}
	b := g.bounds.Load()
	const steadyShare = 0.8 // the remainder is left to entries that have just restarted
	return steadyShare * (service.ColdPerSecond*b.ColdRateFactor + b.ColdRateAllowance)
}
