package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/state/instance"
	"bluebellcrank/platform/standin"
)

// world is an entry before stand-ins, as the platform would run it.
type world struct {
	t     *testing.T
	c     *qt.C
	store *standin.Store
	// storeAddress is where all reach the store, and cutOff has it turn the
	// world's first entry away.
	storeAddress string
	cutOff       atomic.Bool
	entriesPort  int
	gateway      *Gateway
	address      string
	client       *http.Client
	version      int
	// settings are what the settings file holds; nil for one that is broken.
	settings atomic.Pointer[instance.Settings]
}

type route struct {
	name, kind, service string
	targets             int
	timeoutMs           int
	resumable           bool
}

var (
	order  = route{name: "order", kind: "non_idempotent", service: "bells", targets: 1, timeoutMs: 1000}
	status = route{name: "status", kind: "idempotent", service: "bells", targets: 2, timeoutMs: 1000}
	draft  = route{name: "draft", kind: "streaming", service: "drafts", targets: 2, timeoutMs: 8000, resumable: true}
	// single streams may not be resumed.
	single = route{name: "single", kind: "streaming", service: "drafts", targets: 2, timeoutMs: 8000}
)

const testKey = "key-of-guild"

func newWorld(t *testing.T) *world {
	w := &world{t: t, c: qt.New(t), store: standin.NewStore(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	w.storeAddress = w.serve(w.store)
	w.configure(testKey, order, status, draft, single)
	w.gateway = w.addEntry("entry-1", "127.0.0.1", w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.cutOff.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.store.ServeHTTP(rw, r)
	})))
	w.address = w.gateway.settings.TrafficListen
	w.eventually("the entry is ready", w.gateway.isReady)
	return w
}

// serve serves a handler on an address that it returns.
func (w *world) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	w.t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// addEntry starts an entry on a loopback address; entries connect to each other
// at the same port.
func (w *world) addEntry(name, address, store string) *Gateway {
	l := Listeners{Traffic: w.listen(address, 0), Ready: w.listen(address, 0), Entries: w.listen(address, w.entriesPort)}
	w.entriesPort = l.Entries.Addr().(*net.TCPAddr).Port
	s := instance.Settings{
		Name: name, Address: address, DataCentre: "east", Bounds: instance.Bounds{}.Defaults(),
		TrafficListen: l.Traffic.Addr().String(), ReadyListen: l.Ready.Addr().String(),
		FirstPort: w.entriesPort, LastPort: w.entriesPort, StoreAddress: store,
	}
	w.settings.Store(&s)
	g := New(s, hclog.NewNullLogger(), l, Options{
		ReadSettings: func() (instance.Settings, error) {
			if s := w.settings.Load(); s != nil {
				return *s, nil
			}
			return instance.Settings{}, errors.New("broken")
		},
		DroppedLogLines: func() uint64 { return 0 },
	})
	w.t.Cleanup(g.Close)
	return g
}

func (w *world) listen(address string, port int) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(address, strconv.Itoa(port)))
	w.c.Assert(err, qt.IsNil)
	return l
}

// addTargetAs starts a target of a service and lists it.
func (w *world) addTargetAs(target *standin.Target, id, service string) string {
	s := httptest.NewServer(target)
	w.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	w.list(id, service, s.URL, "serving")
	return s.URL
}

// list writes a target's entry in the store.
func (w *world) list(id, service, url, state string) {
	w.store.Put("servers", id, map[string]any{
		"service": service, "address": strings.TrimPrefix(url, "http://"), "zone": "east", "slots": 8, "state": state,
	})
}

func (w *world) configure(key string, routes ...route) {
	w.version++
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": "guild.example", "pathPrefix": "/" + r.name + "/", "routeKind": r.kind,
			"service": r.service, "maxAttempts": r.targets, "timeoutMs": r.timeoutMs, "targetLatencyMs": 500,
			"streamResumption": r.resumable, "gapAimMs": 120,
		})
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": list,
		"services": []map[string]any{{"name": "bells"}, {"name": "drafts"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "guild", "apiKeys": []string{key}, "priority": 1}},
	})
}

func (w *world) eventually(what string, is func() bool) {
	for range 1000 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.c.Fatalf("not within 10 s: %s", what)
}

// request builds a request of a route with an attempt id.
func (w *world) request(r route, attempt, body string) *http.Request {
	q, err := http.NewRequest(http.MethodPost, "http://"+w.address+"/"+r.name+"/x%2Fy?q=1", strings.NewReader(body))
	w.c.Assert(err, qt.IsNil)
	q.Host = "guild.example"
	q.Header.Set("Attempt-Id", attempt)
	q.Header.Set("Deadline-Ms", "4000")
	q.Header.Set("Authorization", "Token "+testKey)
	return q
}

type reply struct {
	status int
	header http.Header
	body   string
	// broken says that the body did not come whole.
	broken bool
	// closes says that the answer ends its connection.
	closes bool
}

func (w *world) do(q *http.Request) reply {
	a, err := w.client.Do(q)
	if err != nil {
		return reply{broken: true}
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return reply{status: a.StatusCode, header: a.Header, body: string(body), broken: err != nil, closes: a.Close}
}

// contextWithCancel lets a client leave.
func contextWithCancel(q *http.Request) (context.Context, context.CancelFunc) {
	return context.WithCancel(q.Context())
}

// scripted answers the first request with raw bytes, or a reset where there
// are none, and later ones with events up to a number.
func scripted(runs *atomic.Int32, first string, last int) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, r *http.Request) {
		n := runs.Add(1)
		switch {
		case n > 1:
			standin.Events(last, 0)(rw, r)
		case first == "":
			standin.Reset(rw, r)
		default:
			standin.Raw(first)(rw, r)
		}
	}
}

// filler is a body of a size.
type filler struct{ left int }

func newFiller(size int) io.ReadCloser { return &filler{left: size} }

// Read implements io.Reader.
func (f *filler) Read(p []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), f.left)
	f.left -= n
	return n, nil
}

// Close implements io.Closer.
func (f *filler) Close() error { return nil }
