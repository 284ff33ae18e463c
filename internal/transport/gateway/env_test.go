package gateway

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/instance"
	"bluebellcrank/platform/standin"
)

// testEnv runs entries against stand-ins of the store and of targets.
type testEnv struct {
	t     *testing.T
	c     *qt.C
	store *standin.Store
	// storeAddress is the address of the store. While storeBlocked is set, the
	// store refuses the requests of the first entry.
	storeAddress string
	storeBlocked atomic.Bool
	// openedConns counts the connections to the first entry's store, and
	// silentConns is the number of those that carry nothing any more.
	openedConns, silentConns atomic.Int64
	entriesPort              int
	gateway                  *Gateway
	address                  string
	client                   *http.Client
	version                  int
	// accepted has the client addresses of the connections that entries accepted.
	accepted sync.Map
	// dataCentre replaces the data centre "east" of the entries that are added next.
	dataCentre string
	// traffic replaces the listener for the clients of the entries that are added next.
	traffic net.Listener
	// pauses is where the entries that are added next stand still.
	pauses pausePoint
	// memoryMB and descriptors are in the settings of the entries that are added next.
	memoryMB, descriptors int
	// log has the log lines of all entries.
	log lockedBuffer
	// settings is the content of the settings file; nil stands for an invalid file.
	settings atomic.Pointer[instance.Settings]
	// hedgeShare is the share of second requests of the entries that are added next.
	hedgeShare float64
}

// recordingListener records the client address of each connection that it accepts.
type recordingListener struct {
	*net.TCPListener
	accepted *sync.Map
}

// Accept implements net.Listener.
func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil {
		l.accepted.Store(conn.RemoteAddr().String(), true)
	}
	return conn, err
}

// lockedBuffer is a buffer for several goroutines.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// text returns what was written.
func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// logged returns the fields of the log lines of an event.
func (env *testEnv) logged(e event.Event) []map[string]any {
	env.log.mu.Lock()
	defer env.log.mu.Unlock()
	var out []map[string]any
	for line := range bytes.Lines(env.log.buffer.Bytes()) {
		fields := map[string]any{}
		env.c.Assert(json.Unmarshal(line, &fields), qt.IsNil)
		if fields["event"] == float64(e.Number()) {
			out = append(out, fields)
		}
	}
	return out
}

// route is a route of the test configuration.
type route struct {
	name, kind, service string
	maxTargets          int
	timeoutMs           int
	resumable           bool
	// firstByteMs is when an answer should begin; 500 if it is not set.
	firstByteMs int
}

var (
	order  = route{name: "order", kind: "non_idempotent", service: "bells", maxTargets: 1, timeoutMs: 1000}
	status = route{name: "status", kind: "idempotent", service: "bells", maxTargets: 2, timeoutMs: 1000}
	draft  = route{name: "draft", kind: "streaming", service: "drafts", maxTargets: 2, timeoutMs: 8000, resumable: true}
	// single is a route whose streams may not be resumed.
	single = route{name: "single", kind: "streaming", service: "drafts", maxTargets: 2, timeoutMs: 8000}
)

const testKey = "key-of-guild"

// newTestEnv starts the first entry and waits until it is ready.
func newTestEnv(t *testing.T) *testEnv { return newHedgingEnv(t, 0) }

// newHedgingEnv is newTestEnv with a share of second requests.
func newHedgingEnv(t *testing.T, share float64) *testEnv {
	env := &testEnv{t: t, c: qt.New(t), store: standin.NewStore(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}, hedgeShare: share}
	env.storeAddress = env.serve(env.store)
	env.configure(testKey, order, status, draft, single)
	env.gateway = env.addEntry("entry-1", "127.0.0.1", env.serveFirstStore())
	env.address = env.gateway.settings.TrafficListen
	env.eventually("the entry is ready", env.gateway.isReady)
	env.eventually("the list of entries is known", func() bool { return env.gateway.entryCount.Load() == 1 })
	return env
}

// serve serves a handler and returns its address.
func (env *testEnv) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	env.t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// connNumber is the key of a connection's number in the context of its requests.
type connNumber struct{}

// serveFirstStore serves the store to the first entry and returns its address.
func (env *testEnv) serveFirstStore() string {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if env.storeBlocked.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		answer := httptest.NewRecorder()
		env.store.ServeHTTP(answer, r)
		if r.Context().Value(connNumber{}).(int64) <= env.silentConns.Load() {
			<-r.Context().Done()
			return
		}
		maps.Copy(rw.Header(), answer.Header())
		rw.WriteHeader(answer.Code)
		_, _ = rw.Write(answer.Body.Bytes())
	}))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connNumber{}, env.openedConns.Add(1))
	}
	s.Start()
	env.t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// silenceStore has the open connections from the first entry to the store carry
// nothing any more.
func (env *testEnv) silenceStore() { env.silentConns.Store(env.openedConns.Load()) }

// addEntry starts an entry on a loopback address. All entries use the same port
// for connections between them.
func (env *testEnv) addEntry(name, address, store string) *Gateway {
	l := Listeners{Traffic: &recordingListener{TCPListener: env.listen(address, 0).(*net.TCPListener), accepted: &env.accepted}, Ready: env.listen(address, 0), Entries: env.listen(address, env.entriesPort)}
	if env.traffic != nil {
		l.Traffic = env.traffic
	}
	env.entriesPort = l.Entries.Addr().(*net.TCPAddr).Port
	if env.pauses != neverPauses {
		l.Traffic, l.Entries = &pausingListener{l.Traffic, env.pauses}, &pausingListener{l.Entries, env.pauses}
	}
	s := instance.Settings{
		Name: name, Address: address, DataCentre: cmp.Or(env.dataCentre, "east"), Bounds: instance.Bounds{}.Defaults(),
		TrafficListen: l.Traffic.Addr().String(), ReadyListen: l.Ready.Addr().String(),
		FirstPort: env.entriesPort, LastPort: env.entriesPort, StoreAddress: store,
		MemoryMB: env.memoryMB, MaxOpenFiles: env.descriptors,
	}
	env.settings.Store(&s)
	g := New(s, hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &env.log}), l, Options{
		ReadSettings: func() (instance.Settings, error) {
			if s := env.settings.Load(); s != nil {
				return *s, nil
			}
			return instance.Settings{}, errors.New("broken")
		},
		DroppedLogLines: func() uint64 { return 0 },
		HedgeShare:      env.hedgeShare,
	})
	env.t.Cleanup(g.Close)
	return g
}

func (env *testEnv) listen(address string, port int) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(address, strconv.Itoa(port)))
	env.c.Assert(err, qt.IsNil)
	return l
}

// addTarget starts a target, lists it for a service and returns its URL.
func (env *testEnv) addTarget(target *standin.Target, id, service string) string {
	s := httptest.NewServer(target)
	env.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	env.putTarget(id, service, s.URL, "serving")
	return s.URL
}

// putTarget writes a target's object to the store.
func (env *testEnv) putTarget(id, service, url, state string) {
	env.store.Put("servers", id, map[string]any{
		"service": service, "address": strings.TrimPrefix(url, "http://"), "zone": "east", "slots": 8, "state": state,
	})
}

// configure writes the next version of the configuration, with one account and
// its key.
func (env *testEnv) configure(key string, routes ...route) {
	env.version++
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": "guild.example", "pathPrefix": "/" + r.name + "/", "routeKind": r.kind,
			"service": r.service, "maxAttempts": r.maxTargets, "timeoutMs": r.timeoutMs, "targetLatencyMs": cmp.Or(r.firstByteMs, 500),
			"streamResumption": r.resumable, "gapAimMs": 120,
		})
	}
	env.store.Put("config", "main", map[string]any{
		"version": env.version, "routes": list,
		"services": []map[string]any{{"name": "bells"}, {"name": "drafts"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "guild", "apiKeys": []string{key}, "priority": 1}},
	})
}

// eventually waits until a condition is true, at most 10 s.
func (env *testEnv) eventually(description string, condition func() bool) {
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	env.c.Fatalf("not within 10 s: %s", description)
}

// request returns a request to a route with an attempt ID.
func (env *testEnv) request(r route, attempt, body string) *http.Request {
	q, err := http.NewRequest(http.MethodPost, "http://"+env.address+"/"+r.name+"/x%2Fy?q=1", strings.NewReader(body))
	env.c.Assert(err, qt.IsNil)
	q.Host = "guild.example"
	q.Header.Set("Attempt-Id", attempt)
	q.Header.Set("Deadline-Ms", "4000")
	q.Header.Set("Authorization", "Token "+testKey)
	return q
}

// reply is the answer that a client gets.
type reply struct {
	status int
	header http.Header
	body   string
	// broken is true if the body ended early or the request failed.
	broken bool
	// closes is true if the answer closes its connection.
	closes bool
}

// do sends a request and reads its answer.
func (env *testEnv) do(request *http.Request) reply {
	a, err := env.client.Do(request)
	if err != nil {
		return reply{broken: true}
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return reply{status: a.StatusCode, header: a.Header, body: string(body), broken: err != nil, closes: a.Close}
}

// contextWithCancel returns a context whose cancellation disconnects the client of
// a request.
func contextWithCancel(request *http.Request) (context.Context, context.CancelFunc) {
	return context.WithCancel(request.Context())
}

// scriptedAnswer returns a handler that answers the first request with raw bytes,
// or with a reset if there are none, and later ones with events up to lastEvent.
func scriptedAnswer(runs *atomic.Int32, first string, lastEvent int) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, r *http.Request) {
		n := runs.Add(1)
		switch {
		case n > 1:
			standin.Events(lastEvent, 0)(rw, r)
		case first == "":
			standin.Reset(rw, r)
		default:
			standin.Raw(first)(rw, r)
		}
	}
}

// sizedBody is a request body of a given size with arbitrary content.
type sizedBody struct{ remaining int }

func newSizedBody(size int) io.ReadCloser { return &sizedBody{remaining: size} }

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.remaining)
	b.remaining -= n
	return n, nil
}

// Close implements io.Closer.
func (b *sizedBody) Close() error { return nil }
