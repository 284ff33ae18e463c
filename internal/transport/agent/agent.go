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
	"bluebellcrank/internal/coordination/claim"
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
	tickInterval      = 20 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// maxDeliveryWait is how long Drain waits for an entry to read an answer after
	// the run has ended.
	maxDeliveryWait = 3 * time.Second
	// shutdownTimeout is how long Drain waits for open connections to close.
	shutdownTimeout = time.Second
	maxBodyBytes    = 32 << 20
	maxHeaderBytes  = 32 << 10
)

// Agent is the daemon of one target. The fields of the first group do not change
// after New, those of the second group are used on the control loop only, and those
// of the third group are safe for concurrent use.
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

	gate              *admission.Gate
	warmth            *admission.Warmth
	wasWarm           bool
	jobs              map[string]*job
	jobsByTicket      map[uint64]*job
	lastTicket        uint64
	closedAttempts    map[string]closedAttempt
	suspects          *retry.Suspects
	keptClaims        *claim.Kept
	newClaims         []claim.Entry // not yet copied to another agent
	isLeaving         bool
	isListed          bool
	isTargetUp        bool
	missedLoadReports int
	keptBytes         int
	// answerMemory is that of the answers that are being received.
	answerMemory *attempt.Memory

	report      atomic.Pointer[target.Report]
	watchedConn atomic.Pointer[net.Conn]
}

// New starts an agent on the listeners. The agent refuses requests until it has a
// configuration and the target responds. The guards are those of DefaultGuards except
// in tests.
func New(s Settings, g Guards, log hclog.Logger, l process.Listeners) *Agent {
	a := &Agent{
		settings:       s,
		log:            log,
		client:         attempt.NewClient(s.TargetReadTimeout),
		answerMemory:   attempt.NewMemory(max(s.MaxAnswerBytes, s.MaxKeptBytes/2)),
		traffic:        l.Traffic,
		metrics:        metrics.NewSet(),
		guards:         g,
		stop:           make(chan struct{}),
		gate:           admission.NewGate(0, 0),
		warmth:         admission.NewWarmth(admission.NewBounds(1, 1, 1)),
		jobs:           map[string]*job{},
		jobsByTicket:   map[uint64]*job{},
		closedAttempts: map[string]closedAttempt{},
		suspects:       retry.NewSuspects(),
		keptClaims:     claim.NewKept(),
	}
	options := member.NewOptions(s.Settings, target.Agent, log, l.Peer).
		WithHooks(a.applyConfig, a.applyInstanceList).
		WithStatusAndDump(a.status, a.dump).
		WithRestoreHook(a.rewriteClaims).
		WithRevisionComparison(g.IsNewer).
		WithMethods(a.addMethods)
	a.report.Store(&target.Report{Instance: s.Instance, Service: s.Service, DataCentre: s.DataCentre, Refusing: string(refusal.NotReady)})
	a.member = member.New(options)
	a.server = &fasthttp.Server{
		Handler:               a.handle,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	a.operator = process.NewOperatorServer(l.Operator, a.metrics, process.NewOperatorCallbacks(a.isReady, a.dump))
	member.RegisterMetrics(a.metrics, a.member)
	if s.Ranks.Group != "" {
		a.group = rankgroup.Join(s.Ranks, s.Target, a.member, log)
	}
	a.member.Start()
	go a.pollLoad()
	go a.watchConnection()
	go process.Every(claimCopyInterval, a.stop, a.copyNewClaims)
	go process.Every(tickInterval, a.stop, func(time.Time) { a.member.Loop().Post(a.tick) })
	go func() {
		if err := a.server.Serve(l.Traffic); err != nil {
			event.ListenerFailed.Log(log, "error", err)
		}
	}()
	event.ProcessStarted.Log(log, "role", target.Agent, "traffic", l.Traffic.Addr().String(), "peer", a.member.Address(), "target", s.Target)
	return a
}

// discardLogger discards the lines that the server library logs about single
// connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Drain refuses new work and returns once no request is in flight and no answer is
// being read. It waits up to maxDeliveryWait for an entry to read a finished answer.
func (a *Agent) Drain() {
	a.member.Loop().Post(func(time.Time) { a.startLeaving("signal") })
	for {
		time.Sleep(drainPollInterval)
		if process.Call(a.member.Loop(), a.isIdle) {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = a.server.ShutdownWithContext(ctx)
}

// startLeaving refuses new work from now on and logs the cause. It runs on the
// control loop.
func (a *Agent) startLeaving(cause string) {
	if a.isLeaving {
		return
	}
	a.isLeaving = true
	event.TargetLeaving.Log(a.log, "by", cause)
}

// isIdle reports whether a drain need not wait for any job. It runs on the control
// loop.
func (a *Agent) isIdle(now time.Time) bool {
	allIdle := true
	for _, j := range a.jobs {
		allIdle = allIdle && j.isIdle(now, maxDeliveryWait)
	}
	return a.guards.IsIdle(allIdle)
}

// Close stops the agent without waiting for requests in flight.
func (a *Agent) Close() {
	_ = a.traffic.Close()
	close(a.stop)
	if a.group != nil {
		a.group.Close()
	}
	a.operator.Close()
	a.member.Close()
}
