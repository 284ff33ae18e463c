package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/retry"
	"bluebellcrank/internal/protocol/attempt"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/member"
	"bluebellcrank/internal/transport/process"
)

const (
	idleTimeout  = time.Minute
	drainTimeout = 24 * time.Hour
)

// Entry is the daemon. The fields budget, suspects and pollers are accessed only on
// the control loop. Request handlers read the table as an atomic snapshot.
type Entry struct {
	settings Settings
	log      hclog.Logger
	member   *member.Member
	client   *attempt.Client
	// answers is the memory of the answers that are being received.
	answers  *attempt.Memory
	app      *fiber.App
	operator *process.OperatorServer
	metrics  *metrics.Set
	counters counters
	guards   Guards
	stop     chan struct{}

	table        atomic.Pointer[table]
	inFlight     atomic.Int64
	suspectCount atomic.Int64
	isLeaving    atomic.Bool

	budget   *retry.Budget
	suspects *retry.Suspects
	pollers  map[string]*reportPoller
}

// counters contains the entry's metrics.
type counters struct {
	requests   *metrics.Counter
	refused    *metrics.Counter
	retries    *metrics.Counter
	resumed    *metrics.Counter
	answerHead *metrics.Histogram
}

func newCounters(s *metrics.Set) counters {
	return counters{
		requests:   s.NewCounter("bluebellcrank_requests_total"),
		refused:    s.NewCounter("bluebellcrank_refused_total"),
		retries:    s.NewCounter("bluebellcrank_retries_total"),
		resumed:    s.NewCounter("bluebellcrank_answers_resumed_total"),
		answerHead: s.NewHistogram("bluebellcrank_answer_head_seconds"),
	}
}

// New starts an entry on its listeners. The guards are those of DefaultGuards except
// in tests.
func New(s Settings, g Guards, log hclog.Logger, l process.Listeners) *Entry {
	set := metrics.NewSet()
	e := &Entry{
		settings: s,
		log:      log,
		guards:   g,
		client:   attempt.NewClient(s.AgentSilence),
		answers:  attempt.NewMemory(s.AnswerBytes),
		metrics:  set,
		counters: newCounters(set),
		stop:     make(chan struct{}),
		budget:   retry.NewBudget(),
		suspects: retry.NewSuspects(),
		pollers:  map[string]*reportPoller{},
	}
	e.table.Store(newTable())
	options := member.NewOptions(s.Settings, target.Entry, log, l.Peer).
		WithHooks(e.onConfig, e.onInstanceList).
		WithStatusAndDump(e.status, e.dump).
		WithRevisionComparison(g.IsNewer).
		WithMethods(e.addMethods)
	e.member = member.New(options)
	e.app = fiber.New(fiber.Config{
		BodyLimit:                    s.MaxBody,
		ReadBufferSize:               s.MaxHeader,
		ReadTimeout:                  s.ReadTimeout,
		IdleTimeout:                  idleTimeout,
		ErrorHandler:                 e.handleError,
		DisableDefaultContentType:    true,
		DisablePreParseMultipartForm: true,
	})
	e.app.Use(e.serve)
	e.operator = process.NewOperatorServer(l.Operator, set, process.NewOperatorCallbacks(e.isReady, e.dump))
	member.RegisterMetrics(e.metrics, e.member)
	e.member.Start()
	go func() {
		listener := process.NewWriteTimeoutListener(l.Traffic, s.WriteTimeout)
		if err := e.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			event.ListenerFailed.Log(log, "error", err)
		}
	}()
	event.ProcessStarted.Log(log, "role", target.Entry, "traffic", l.Traffic.Addr().String(), "peer", e.member.Address())
	return e
}

// Drain reports the entry as not ready, waits for the linger time so that the
// platform's load balancer notices, stops accepting requests, and returns when no
// request is in flight or drainTimeout has passed.
func (e *Entry) Drain() {
	e.isLeaving.Store(true)
	time.Sleep(e.settings.Linger)
	if !e.guards.MustDrain(true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	_ = e.app.ShutdownWithContext(ctx)
}

// Close stops the entry without waiting for requests in flight.
func (e *Entry) Close() {
	close(e.stop)
	e.operator.Close()
	e.member.Close()
}

func (e *Entry) isReady() bool {
	return !e.isLeaving.Load() && e.member.Config() != nil
}

// addMethods registers the methods that peers can call.
func (e *Entry) addMethods(m *peer.Mux) {
	peer.Handle(m, peer.MethodSuspect, func(_ context.Context, s peer.Suspect) (peer.Empty, error) {
		process.Call(e.member.Loop(), func(now time.Time) struct{} {
			e.suspects.MergeReport(s.Fingerprint, s.Deaths, time.Duration(s.AgeMs)*time.Millisecond, now)
			e.suspectCount.Store(int64(e.suspects.Len()))
			return struct{}{}
		})
		return peer.Empty{}, nil
	})
}
