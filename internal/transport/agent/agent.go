package agent

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/coordination/admission"
	"bluebellcrank/internal/coordination/retry"
	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/member"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/internal/transport/rankgroup"
)

const (
	tickEvery    = 20 * time.Millisecond
	drainEvery   = 20 * time.Millisecond
	drainWait    = 3 * time.Second
	closeWait    = time.Second
	maxBodyBytes = 32 << 20
	headerBytes  = 32 << 10
)

// Agent is the daemon. The fields of the second group belong to the control
// thread.
type Agent struct {
	settings Settings
	log      hclog.Logger
	member   *member.Member
	client   *attempt.Client
	server   *fasthttp.Server
	traffic  net.Listener
	operator *process.OperatorServer
	group    *rankgroup.Group
	metrics  *metrics.Set
	guards   Guards
	stop     chan struct{}

	gate     *admission.Gate
	warmth   *admission.Warmth
	wasWarm  bool
	jobs     map[string]*job
	byTicket map[uint64]*job
	tickets  uint64
	closed   map[string]closedAttempt
	suspects *retry.Suspects
	leaving  bool
	listed   bool
	targetUp bool
	misses   int
	kept     int

	report  atomic.Pointer[target.Report]
	watched atomic.Pointer[net.Conn]
}

// New starts an agent on its listeners.
func New(s Settings, g Guards, log hclog.Logger, l process.Listeners) *Agent {
	a := &Agent{
		settings: s,
		log:      log,
		client:   attempt.NewClient(s.TargetReadTimeout),
		traffic:  l.Traffic,
		metrics:  metrics.NewSet(),
		guards:   g,
		stop:     make(chan struct{}),
		gate:     admission.NewGate(0, 0),
		warmth:   admission.NewWarmth(admission.NewBounds(1, 1, 1)),
		jobs:     map[string]*job{},
		byTicket: map[uint64]*job{},
		closed:   map[string]closedAttempt{},
		suspects: retry.NewSuspects(),
	}
	options := member.NewOptions(s.Settings, target.Agent, log, l.Peer).
		WithHooks(a.configure, a.list).
		WithStatusAndDump(a.status, a.dump).
		WithRevisionComparison(g.IsNewer).
		WithMethods(a.methods)
	a.report.Store(&target.Report{Instance: s.Instance, Service: s.Service, DataCentre: s.DataCentre, Refusing: string(refusal.NotReady)})
	a.member = member.New(options)
	a.server = &fasthttp.Server{
		Handler:               a.serve,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        headerBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		Logger:                quiet{},
	}
	a.operator = process.NewOperatorServer(l.Operator, a.metrics, process.NewOperatorCallbacks(a.ready, a.dump))
	member.RegisterMetrics(a.metrics, a.member)
	if s.Ranks.Group != "" {
		a.group = rankgroup.Join(s.Ranks, s.Target, a.member, log)
	}
	a.member.Start()
	go a.poll()
	go a.watchConnection()
	go process.Every(tickEvery, a.stop, func(time.Time) { a.member.Loop().Post(a.tick) })
	go func() {
		if err := a.server.Serve(l.Traffic); err != nil {
			event.ListenerFailed.Log(log, "error", err)
		}
	}()
	event.ProcessStarted.Log(log, "role", target.Agent, "traffic", l.Traffic.Addr().String(), "peer", a.member.Address(), "target", s.Target)
	return a
}

// quiet drops the server library's own lines about single connections.
type quiet struct{}

// Printf implements the library's logger.
func (quiet) Printf(string, ...any) {}

// Drain refuses new work and returns when no request is in flight.
func (a *Agent) Drain() {
	a.member.Loop().Post(func(time.Time) { a.leave("signal") })
	for {
		time.Sleep(drainEvery)
		if process.Call(a.member.Loop(), a.idle) {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	_ = a.server.ShutdownWithContext(ctx)
}

// leave is called on the control thread.
func (a *Agent) leave(why string) {
	if a.leaving {
		return
	}
	a.leaving = true
	event.TargetLeaving.Log(a.log, "by", why)
}

func (a *Agent) idle(now time.Time) bool {
	idle := true
	for _, j := range a.jobs {
		idle = idle && j.idle(now, drainWait)
	}
	return a.guards.IsIdle(idle)
}

// Close stops at once.
func (a *Agent) Close() {
	_ = a.traffic.Close()
	close(a.stop)
	if a.group != nil {
		a.group.Close()
	}
	a.operator.Close()
	a.member.Close()
}
