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

// Member is a process's membership in the fleet. Control state is accessed only on
// the control loop. Request handlers read the configuration and the instance list as
// atomic snapshots.
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

	currentConfig atomic.Pointer[config.Config]
	list          atomic.Pointer[membership.List]
	isNewer       func(current, offered int64) bool
	onConfig      func(*config.Config)
	onList        func([]target.Instance)
	onRestored    func()

	isolation         *revision.IsolationDetector
	restoreClock      revision.RestoreClock
	wasIsolated       bool
	platformReachable bool
	refusals          *refusal.Log
	keptForPeers      map[string]keptRefusals
	backupPeer        atomic.Pointer[target.Instance]
	lastSaveAt        atomic.Int64 // when the last batch was sent, whether or not it was stored, in Unix nanoseconds
	idCounter         atomic.Uint64

	listReadMu sync.Mutex
	listTag    string
	// listGeneration is the store's generation at the last read of the list.
	listGeneration int64
	lastListRead   membership.List

	adoptMu sync.Mutex
	builder *config.Builder
	files   map[string]keptFile
	filesMu sync.RWMutex

	stop    chan struct{}
	workers sync.WaitGroup
}

// Options contains the settings, dependencies and callbacks of a Member.
type Options struct {
	settings   process.Settings
	role       target.Role
	log        hclog.Logger
	listener   net.Listener
	onConfig   func(*config.Config)
	onList     func([]target.Instance)
	onRestored func()
	status     func() peer.Status
	dump       func() string
	addMethods func(*peer.Mux)
	isNewer    func(current, offered int64) bool
}

// NewOptions returns options without callbacks.
func NewOptions(s process.Settings, role target.Role, log hclog.Logger, l net.Listener) Options {
	return Options{
		settings:   s,
		role:       role,
		log:        log,
		listener:   l,
		onConfig:   func(*config.Config) {},
		onList:     func([]target.Instance) {},
		onRestored: func() {},
		addMethods: func(*peer.Mux) {},
		isNewer:    IsNewer,
		status:     func() peer.Status { return peer.Status{} },
		dump:       func() string { return "" },
	}
}

// WithHooks sets the functions that are called on the control loop with each new
// configuration and each changed instance list.
func (o Options) WithHooks(onConfig func(*config.Config), onList func([]target.Instance)) Options {
	o.onConfig, o.onList = onConfig, onList
	return o
}

// WithRestoreHook sets the function that is called after each restore of the platform's
// store.
func (o Options) WithRestoreHook(onRestored func()) Options {
	o.onRestored = onRestored
	return o
}

// WithStatusAndDump sets the functions that return the process's status and dump.
func (o Options) WithStatusAndDump(status func() peer.Status, dump func() string) Options {
	o.status, o.dump = status, dump
	return o
}

// IsNewer reports whether an offered revision replaces the current one. Revisions
// only increase.
func IsNewer(current, offered int64) bool { return offered > current }

// WithRevisionComparison replaces IsNewer as the comparison of revisions.
func (o Options) WithRevisionComparison(isNewer func(current, offered int64) bool) Options {
	o.isNewer = isNewer
	return o
}

// WithMethods sets a function that adds the methods of the process's role.
func (o Options) WithMethods(addMethods func(*peer.Mux)) Options {
	o.addMethods = addMethods
	return o
}

// New returns a member that handles no calls and reads no lists until Start. Its
// control loop is already running.
func New(o Options) *Member {
	s := o.settings
	m := &Member{
		settings:          s,
		role:              o.role,
		incarnation:       strconv.FormatUint(rand.Uint64(), 36),
		log:               o.log,
		loop:              process.NewLoop(),
		platform:          platform.NewClient(s.Platform, s.PlatformTimeout),
		pool:              peer.NewPool(s.PeerTimeout),
		mux:               peer.NewMux(),
		listener:          o.listener,
		address:           o.listener.Addr().String(),
		isNewer:           o.isNewer,
		onConfig:          o.onConfig,
		onList:            o.onList,
		onRestored:        o.onRestored,
		isolation:         revision.NewIsolationDetector(),
		wasIsolated:       true,
		platformReachable: true,
		refusals:          refusal.NewLog(s.MaxKeptRefusals),
		keptForPeers:      map[string]keptRefusals{},
		builder:           config.NewBuilder(),
		files:             map[string]keptFile{},
		stop:              make(chan struct{}),
	}
	m.list.Store(&membership.List{})
	m.registerMethods(o)
	o.addMethods(m.mux)
	return m
}

// Start starts handling calls and exchanging state with peers and the platform. It
// must be called once, when the callbacks may be called.
func (m *Member) Start() {
	m.server = peer.Serve(m.listener, m.mux, m.pool.Bytes())
	m.startWorker(func() { process.Every(m.settings.ListInterval, m.stop, m.refreshList) })
	m.startWorker(m.watch)
	m.startWorker(m.watchGenerations)
	m.startWorker(func() { process.Every(m.settings.ExchangeInterval, m.stop, m.exchangeWithRandomPeer) })
	m.startWorker(func() { process.Every(m.settings.ExchangeInterval, m.stop, m.exchangeWithRemotePeer) })
	m.startWorker(func() { process.Every(m.settings.RefusalInterval, m.stop, m.saveRefusals) })
	m.startWorker(func() { process.Every(copyInterval, m.stop, m.copyNewRefusals) })
	m.startWorker(func() { m.refreshList(time.Now()) })
}

func (m *Member) startWorker(f func()) {
	m.workers.Add(1)
	go func() {
		defer m.workers.Done()
		f()
	}()
}

// Close writes a last batch of pending refusals and stops the member.
func (m *Member) Close() {
	close(m.stop)
	m.lastSaveAt.Store(0)
	m.saveRefusals(time.Now())
	m.server.Close()
	m.pool.Close()
	m.loop.Close()
}

// Loop returns the control loop.
func (m *Member) Loop() *process.Loop { return m.loop }

// Platform returns the platform client.
func (m *Member) Platform() *platform.Client { return m.platform }

// Pool returns the connections to peers.
func (m *Member) Pool() *peer.Pool { return m.pool }

// Address returns the address at which peers reach this process.
func (m *Member) Address() string { return m.address }

// Instance returns the ID of the instance that the process runs on.
func (m *Member) Instance() string { return m.settings.Instance }

// Incarnation returns the random ID of this run of the process.
func (m *Member) Incarnation() string { return m.incarnation }

// Config returns the current configuration, or nil if there is none yet.
func (m *Member) Config() *config.Config { return m.currentConfig.Load() }

// Revision returns the current revision, or 0 if there is none yet.
func (m *Member) Revision() int64 {
	if c := m.currentConfig.Load(); c != nil {
		return c.Revision()
	}
	return 0
}

// Instances returns the current copy of the instance list.
func (m *Member) Instances() []target.Instance { return m.list.Load().Instances() }

// NewID returns an ID that is unique across processes and their restarts.
func (m *Member) NewID() string {
	return m.incarnation + "-" + strconv.FormatUint(m.idCounter.Add(1), 36)
}

// BlockedReason returns the reason why this process accepts no new work at all, or ""
// if there is none. A process may still refuse work for reasons of its role, such as
// the state of its target.
func (m *Member) BlockedReason() refusal.Reason {
	c := m.currentConfig.Load()
	if c == nil {
		return refusal.NotReady
	}
	blocked := process.Call(m.loop, func(now time.Time) refusal.Reason { return m.BlockedReasonOnLoop(now) })
	return blocked
}

// BlockedReasonOnLoop is BlockedReason for callers that run on the control loop.
func (m *Member) BlockedReasonOnLoop(now time.Time) refusal.Reason {
	c := m.currentConfig.Load()
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

// checkIsolation reports whether this process is isolated, and logs an event when that
// changes. It must be called on the control loop.
func (m *Member) checkIsolation(now time.Time) bool {
	isolated := m.isolation.Isolated(now)
	if isolated != m.wasIsolated {
		m.wasIsolated = isolated
		e := event.IsolationEnded
		if isolated {
			e = event.Isolated
		}
		e.Log(m.log, "last-word-ms", m.isolation.ContactAge(now).Milliseconds())
	}
	return isolated
}

// recordPlatformResult records the error of the last call to the platform, or nil, and
// logs an event when the platform becomes unreachable or reachable.
func (m *Member) recordPlatformResult(err error) {
	isReachable := err == nil
	if isReachable != m.platformReachable {
		m.platformReachable = isReachable
		if isReachable {
			event.PlatformReachable.Log(m.log)
		} else {
			event.PlatformUnreachable.Log(m.log, "error", err)
		}
	}
}
