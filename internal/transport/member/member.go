package member

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/membership"
	"bluebellcrank/internal/coordination/revision"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

// Member is one process in the fleet. Its control state belongs to the loop;
// traffic reads the configuration and the instance list as snapshots.
type Member struct {
	settings    process.Settings
	role        target.Role
	incarnation string
	log         hclog.Logger
	loop        *process.Loop
	platform    *platform.Client
	pool        *peer.Pool
	mux         *peer.Mux
	server      *peer.Server
	listener    net.Listener
	address     string

	current  atomic.Pointer[config.Config]
	list     atomic.Pointer[membership.List]
	newer    func(current, offered int64) bool
	onConfig func(*config.Config)
	onList   func([]target.Instance)

	trust    *revision.IsolationDetector
	isolated bool
	platOK   bool
	refusals *refusal.Log
	kept     map[string]keptRefusals
	keeper   atomic.Pointer[target.Instance]
	saved    atomic.Int64 // when the last batch went out, in Unix nanoseconds
	serial   atomic.Uint64

	listing  sync.Mutex
	listTag  string
	listRead membership.List

	adopting sync.Mutex
	builder  *config.Builder
	files    map[string]keptFile
	filesMu  sync.RWMutex

	stop    chan struct{}
	workers sync.WaitGroup
}

// Options are the parts that a member is made of.
type Options struct {
	settings process.Settings
	role     target.Role
	log      hclog.Logger
	listener net.Listener
	onConfig func(*config.Config)
	onList   func([]target.Instance)
	status   func() peer.Status
	dump     func() string
	extend   func(*peer.Mux)
	newer    func(current, offered int64) bool
}

// NewOptions returns options without hooks.
func NewOptions(s process.Settings, role target.Role, log hclog.Logger, l net.Listener) Options {
	return Options{
		settings: s,
		role:     role,
		log:      log,
		listener: l,
		onConfig: func(*config.Config) {},
		onList:   func([]target.Instance) {},
		extend:   func(*peer.Mux) {},
		newer:    IsNewer,
		status:   func() peer.Status { return peer.Status{} },
		dump:     func() string { return "" },
	}
}

// WithHooks sets what is called, on the control thread, with a new
// configuration and a new instance list.
func (o Options) WithHooks(onConfig func(*config.Config), onList func([]target.Instance)) Options {
	o.onConfig, o.onList = onConfig, onList
	return o
}

// WithStatusAndDump sets how the process describes itself.
func (o Options) WithStatusAndDump(status func() peer.Status, dump func() string) Options {
	o.status, o.dump = status, dump
	return o
}

// IsNewer reports whether an offered revision replaces the current one;
// revisions only go up.
func IsNewer(current, offered int64) bool { return offered > current }

// WithRevisionComparison replaces the comparison of revisions.
func (o Options) WithRevisionComparison(newer func(current, offered int64) bool) Options {
	o.newer = newer
	return o
}

// WithMethods adds the role's own methods to those that peers can call.
func (o Options) WithMethods(extend func(*peer.Mux)) Options {
	o.extend = extend
	return o
}

// New starts a member.
func New(o Options) *Member {
	s := o.settings
	m := &Member{
		settings:    s,
		role:        o.role,
		incarnation: strconv.FormatUint(rand.Uint64(), 36),
		log:         o.log,
		loop:        process.NewLoop(),
		platform:    platform.NewClient(s.Platform, s.PlatformTimeout),
		pool:        peer.NewPool(s.PeerTimeout),
		mux:         peer.NewMux(),
		listener:    o.listener,
		address:     o.listener.Addr().String(),
		newer:       o.newer,
		onConfig:    o.onConfig,
		onList:      o.onList,
		trust:       revision.NewIsolationDetector(),
		isolated:    true,
		platOK:      true,
		refusals:    refusal.NewLog(s.RefusalsKept),
		kept:        map[string]keptRefusals{},
		builder:     config.NewBuilder(),
		files:       map[string]keptFile{},
		stop:        make(chan struct{}),
	}
	m.list.Store(&membership.List{})
	m.handle(o)
	o.extend(m.mux)
	return m
}

// Start begins to answer peers and to follow them and the platform; the owner
// calls it once its hooks may be called.
func (m *Member) Start() {
	m.server = peer.Serve(m.listener, m.mux, m.pool.Bytes())
	m.work(func() { process.Every(m.settings.ListEvery, m.stop, m.refreshList) })
	m.work(m.watch)
	m.work(func() { process.Every(m.settings.ExchangeEvery, m.stop, m.exchangeNear) })
	m.work(func() { process.Every(m.settings.ExchangeEvery, m.stop, m.exchangeFar) })
	m.work(func() { process.Every(m.settings.RefusalBatch, m.stop, m.saveRefusals) })
	m.work(func() { process.Every(copyEvery, m.stop, m.copyFresh) })
	m.work(func() { m.refreshList(time.Now()) })
}

func (m *Member) work(f func()) {
	m.workers.Add(1)
	go func() {
		defer m.workers.Done()
		f()
	}()
}

// Close leaves the fleet; what refusals are left is written first.
func (m *Member) Close() {
	close(m.stop)
	m.saved.Store(0)
	m.saveRefusals(time.Now())
	m.server.Close()
	m.pool.Close()
	m.loop.Close()
}

// Loop returns the control thread.
func (m *Member) Loop() *process.Loop { return m.loop }

// Platform returns the client of the platform.
func (m *Member) Platform() *platform.Client { return m.platform }

// Pool returns the connections to peers.
func (m *Member) Pool() *peer.Pool { return m.pool }

// Address returns where peers reach this process.
func (m *Member) Address() string { return m.address }

// Instance returns the id of the instance that the process runs on.
func (m *Member) Instance() string { return m.settings.Instance }

// Incarnation returns the random name of this run of the process.
func (m *Member) Incarnation() string { return m.incarnation }

// Config returns the configuration in force, or nil before there is one.
func (m *Member) Config() *config.Config { return m.current.Load() }

// Revision returns the revision in force, 0 before there is one.
func (m *Member) Revision() int64 {
	if c := m.current.Load(); c != nil {
		return c.Revision()
	}
	return 0
}

// Instances returns the instance list as last read.
func (m *Member) Instances() []target.Instance { return m.list.Load().Instances() }

// NewID returns an id that no other process and no other run makes.
func (m *Member) NewID() string {
	return m.incarnation + "-" + strconv.FormatUint(m.serial.Add(1), 36)
}

// BlockedReason returns why this process takes no new work at all, or "".
func (m *Member) BlockedReason() refusal.Reason {
	c := m.current.Load()
	if c == nil {
		return refusal.NotReady
	}
	blocked := process.Ask(m.loop, func(now time.Time) refusal.Reason { return m.BlockedReasonOnLoop(now) })
	return blocked
}

// BlockedReasonOnLoop is Blocked for callers on the control thread.
func (m *Member) BlockedReasonOnLoop(now time.Time) refusal.Reason {
	c := m.current.Load()
	switch {
	case c == nil:
		return refusal.NotReady
	case !c.IsDataCentreInService(m.settings.DataCentre):
		return refusal.OutOfService
	case m.checkIsolation(now):
		return refusal.Isolated
	}
	return ""
}

func (m *Member) checkIsolation(now time.Time) bool {
	isolated := m.trust.Isolated(now)
	if isolated != m.isolated {
		m.isolated = isolated
		e := event.IsolationEnded
		if isolated {
			e = event.Isolated
		}
		e.Log(m.log, "last-word-ms", m.trust.ContactAge(now).Milliseconds())
	}
	return isolated
}

// heardPlatform logs the platform's coming and going.
func (m *Member) heardPlatform(err error) {
	ok := err == nil
	if ok != m.platOK {
		m.platOK = ok
		if ok {
			event.PlatformReachable.Log(m.log)
		} else {
			event.PlatformUnreachable.Log(m.log, "error", err)
		}
	}
}
