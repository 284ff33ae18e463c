package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
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
	// housekeeping is the time between looks at idle connections and queues.
	housekeeping = 250 * time.Millisecond
	// rotationTime is how long callers still come after this entry says that
	// it stops: two missed questions, one a second, and a margin.
	rotationTime = 2500 * time.Millisecond
	// graceMargin is the time before the kill at which the process ends.
	graceMargin = 400 * time.Millisecond
	// headerTimeout is how long a client may take for a header until the
	// configuration says so.
	headerTimeout = 5 * time.Second
	// slowReader ends the connection of a client that reads nothing.
	slowReader = 5 * time.Second
	// proofMargin is how much sooner than the bound for removed keys an entry
	// without proof stops serving keys: a watch may miss a second of changes,
	// and a request takes some time to a target. It is half of a bound that is
	// short.
	proofMargin = 1500 * time.Millisecond
	// staleAfter is the age of the configuration from which a missing route
	// or key may be news that has not arrived.
	staleAfter = 2 * time.Second
	// settingsEvery is the time between two looks at the settings file, which
	// may change without a signal.
	settingsEvery = 2 * time.Second
)

// Gateway is a running entry.
type Gateway struct {
	settings instance.Settings
	seams    Options
	// bounds are those of the settings in force.
	bounds atomic.Pointer[instance.Bounds]
	// invalid is the last fault of the settings file, so that it is logged
	// once.
	invalid  string
	log      hclog.Logger
	store    *platform.Store
	follower *follower.Follower
	fleet    *balance.Fleet
	pool     *upstream.Pool
	metrics  *meters
	clients  *clientConns

	traffic *http.Server
	ready   *http.Server
	// passing passes reads of the store on for entries that it does not answer.
	passing *http.Server
	detour  *membership.RelaySelector

	entries  atomic.Int64
	draining atomic.Bool
	wasReady atomic.Bool

	mu     sync.Mutex
	shares map[string]*retry.Share
	// outages are those of each service.
	outages map[string]*balance.Outage
	// deadlines are those that the callers of each route state.
	deadlines map[string]*balance.RetryDetector

	stop   context.CancelFunc
	ending sync.WaitGroup
}

// Listeners are an entry's sockets.
type Listeners struct {
	// Traffic is where callers connect.
	Traffic net.Listener
	// Ready is where the platform asks for readiness.
	Ready net.Listener
	// Entries is where other entries connect.
	Entries net.Listener
	// Operator serves metrics; nil for none.
	Operator net.Listener
}

// Options are what an entry takes from its process.
type Options struct {
	// ReadSettings reads the settings file anew.
	ReadSettings func() (instance.Settings, error)
	// DroppedLogLines returns how many lines of the log were dropped.
	DroppedLogLines func() uint64
	// Choice is the rule by which targets are chosen; empty for ByPace.
	Choice balance.Choice
}

// New starts an entry.
func New(s instance.Settings, log hclog.Logger, l Listeners, seams Options) *Gateway {
	ctx, stop := context.WithCancel(context.Background())
	set := metrics.NewSet()
	detour := membership.NewRelaySelector(newRand())
	ended := func(way string, answered bool, now time.Time) {
		if detour.RecordRead(way, answered, now) {
			event.StoreReadsRelayed.Log(log, "straight", answered)
		}
	}
	g := &Gateway{
		settings:  s,
		seams:     seams,
		log:       log,
		detour:    detour,
		store:     platform.NewRelayedStore(s.StoreAddress, platform.ReadPaths{Choose: detour.Paths, RecordCall: ended}),
		fleet:     balance.NewFleet(newRand()),
		metrics:   newMeters(set, seams.DroppedLogLines),
		clients:   newClientConns(),
		shares:    map[string]*retry.Share{},
		outages:   map[string]*balance.Outage{},
		deadlines: map[string]*balance.RetryDetector{},
		stop:      stop,
	}
	g.fleet.SetChoice(seams.Choice)
	g.bounds.Store(&s.Bounds)
	g.setEntries(entriesUnknown)
	g.pool = upstream.NewPool(g.metrics.opened.Inc)
	g.follower = follower.New(g.store, follower.Sink{
		ReplaceTargets:  g.fleet.Replace,
		ApplyChanges:    g.fleet.ApplyChanges,
		SetOutOfService: g.fleet.SetDataCentresOut,
	}, g.limits, log)
	g.ready = &http.Server{Handler: http.HandlerFunc(g.answerReady), ReadHeaderTimeout: headerTimeout}
	g.passing = &http.Server{Handler: http.HandlerFunc(g.passOn), ReadHeaderTimeout: headerTimeout}
	g.traffic = &http.Server{
		Handler:           http.HandlerFunc(g.serve),
		ReadHeaderTimeout: headerTimeout,
		ConnState:         g.clients.changed,
	}
	g.ending.Go(func() { g.run(g.ready, l.Ready) })
	g.ending.Go(func() { g.run(g.passing, l.Entries) })
	g.ending.Go(func() { g.run(g.traffic, process.SlowWriters(l.Traffic, slowReader)) })
	g.ending.Go(func() { process.Every(housekeeping, ctx.Done(), g.keepHouse) })
	g.ending.Go(func() { g.followEntries(ctx) })
	g.ending.Go(func() { g.followPaces(ctx) })
	g.ending.Go(func() { process.Every(settingsEvery, ctx.Done(), func(time.Time) { g.Reload() }) })
	if l.Operator != nil {
		process.NewOperator(l.Operator, set, process.NewView(g.isReady, g.dump))
	}
	event.ProcessStarted.Log(log, "data-centre", s.DataCentre, "traffic", s.TrafficListen)
	return g
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (g *Gateway) run(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
		event.ListenerFailed.Log(g.log, "error", err.Error())
	}
}

// Reload takes the bounds of a changed settings file; the last good ones stay
// in force while the file cannot be used.
func (g *Gateway) Reload() {
	s, err := g.seams.ReadSettings()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		if text := err.Error(); g.invalid != text {
			g.invalid = text
			event.SettingsInvalid.Log(g.log, "error", text)
		}
		return
	}
	g.invalid = ""
	if *g.bounds.Load() == s.Bounds {
		return
	}
	g.bounds.Store(&s.Bounds)
	clear(g.shares)
	event.SettingsChanged.Log(g.log, "revocation-ms", s.Bounds.RevocationTimeout.Milliseconds(), "grace-ms", s.Bounds.GracePeriod.Milliseconds())
}

func (g *Gateway) keepHouse(now time.Time) {
	g.fleet.Poll(now)
	g.pool.Sweep(now)
	if t := g.follower.Table(); t != nil && t.Limits().IdleTimeout > 0 {
		g.clients.closeIdle(t.Limits().IdleTimeout, now)
	}
	if ready := g.isReady(); g.wasReady.Swap(ready) != ready {
		event.ReadinessChanged.Log(g.log, "ready", ready, "proof-age-ms", g.follower.ConfirmationAge(process.BootTime()).Milliseconds())
	}
}

// proven reports whether keys can still be served: the store said recently
// enough that the configuration is the newest one.
func (g *Gateway) proven() bool {
	return g.follower.ConfirmationAge(process.BootTime()) <= g.limits().ConfirmationLifetime
}

// limits are what the settings in force allow the follower.
func (g *Gateway) limits() follower.Limits {
	b := g.bounds.Load()
	return follower.Limits{DrainPeriod: b.DrainPeriod, ConfirmationLifetime: b.RevocationTimeout - min(proofMargin, b.RevocationTimeout/2)}
}

func (g *Gateway) isReady() bool {
	if g.draining.Load() || !g.follower.HasSynced() {
		return false
	}
	return !g.follower.Table().KeysRequired() || g.proven()
}

func (g *Gateway) answerReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case !g.isReady():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Drain sends callers elsewhere and returns when nothing is in flight or the
// kill is near.
func (g *Gateway) Drain() {
	began := time.Now()
	g.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), g.bounds.Load().GracePeriod-graceMargin)
	defer cancel()
	if err := g.store.Deregister(ctx, g.settings.Name); err != nil {
		event.StoreWriteFailed.Log(g.log, "error", err.Error())
	}
	time.Sleep(min(rotationTime, g.bounds.Load().GracePeriod/3) - time.Since(began))
	if err := g.traffic.Shutdown(ctx); err != nil {
		event.AnswerInterrupted.Log(g.log, "error", err.Error())
	}
}

// Close ends at once.
func (g *Gateway) Close() {
	g.stop()
	_ = g.traffic.Close()
	_ = g.ready.Close()
	_ = g.passing.Close()
	g.follower.Close()
	g.ending.Wait()
}

// spend takes one repeated send to a service from this entry's share.
func (g *Gateway) spend(service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.share(service).Spend(now)
}

// hasReturned reports whether a caller of a route has made an earlier
// attempt.
func (g *Gateway) hasReturned(route string, left time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := valueOf(g.deadlines, route)
	d.RecordDeadline(left)
	return d.IsRetry(left)
}

// absent notes that a service has no target, and returns the bounds of the time
// after which its callers are asked back.
func (g *Gateway) absent(service string, now time.Time) (soonest, latest time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := valueOf(g.outages, service)
	o.RecordNoTarget(now)
	return o.RetryAfter(now)
}

// valueOf returns a key's value in a map, a new one where there is none.
func valueOf[T any](m map[string]*T, key string) *T {
	if m[key] == nil {
		m[key] = new(T)
	}
	return m[key]
}

func (g *Gateway) first(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share(service).RecordFirstAttempt(now)
}

func (g *Gateway) share(service string) *retry.Share {
	s := g.shares[service]
	if s == nil {
		b := g.bounds.Load()
		s = retry.NewShare(b.RetryRatio, b.RetryAllowance, b.RetryWindow)
		g.shares[service] = s
	}
	s.SetEntries(int(g.entries.Load()))
	return s
}

// perTarget is this entry's part of the rate that a cold target bears, kept
// for all targets of the service since any may turn cold unnoticed.
func (g *Gateway) perTarget(s *routing.Service) int {
	if s == nil || s.ColdPerSecond <= 0 {
		return 0
	}
	b := g.bounds.Load()
	const share = 0.8 // the rest is for entries that have just restarted
	return max(1, int(share*(s.ColdPerSecond*b.ColdRateFactor+b.ColdRateAllowance)/float64(g.entries.Load())))
}
