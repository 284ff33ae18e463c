//go:build review

// Package lab2 is the load and fault driver of the cases 6 to 10. It starts gateways as the
// deploy file does, with the project's store stand-in and small servers of its own, and checks
// one rule from what clients and servers saw. It is built as a test binary, since other files
// may not contain names of the platform.
package lab2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	adapter "bluebellcrank/platform"
	"bluebellcrank/platform/standin"
)

const (
	// startTimeout bounds the start of a gateway until it reports that it is ready.
	startTimeout = 15 * time.Second
	// restartDelay is the time after which a gateway that has ended is started again.
	restartDelay = 250 * time.Millisecond
	host         = "ficu95.example"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	tenant       = "hule930"
)

// record writes what happened to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment on loopback addresses.
type world struct {
	*record
	dir       string
	network   string
	store     *standin.Store
	storeAddr string
	gateways  []*gateway
	random    *rand.Rand
	version   int
	closers   []func()
	ports     map[string]int
}

// errSetup marks failures of the case itself, which end it with status 2.
type errSetup struct{ error }

func must(err error) {
	if err != nil {
		panic(errSetup{err})
	}
}

// newWorld starts a store in a loopback network of its own.
func newWorld(r *record) *world {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	w := &world{record: r, dir: dir, store: standin.NewStore(), random: rand.New(rand.NewPCG(48, 2)), ports: map[string]int{}}
	w.closers = append(w.closers, func() {
		_ = os.RemoveAll(dir)
	})
	w.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	l, err := net.Listen("tcp", w.network+".250:0")
	must(err)
	w.storeAddr = l.Addr().String()
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(l) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return w
}

// close ends all processes and listeners.
func (w *world) close() {
	for _, g := range w.gateways {
		g.end()
	}
	for n := len(w.closers) - 1; n >= 0; n-- {
		w.closers[n]()
	}
}

// route describes a route of the configuration.
func route(name, kind, service string, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": host, "pathPrefix": "/" + name + "/", "routeKind": kind, "service": service,
		"timeoutMs": 8000, "targetLatencyMs": 500, "priority": 1, "maxAttempts": 2, "anonymous": false,
		"sessionAffinity": kind == "streaming", "streamResumption": false, "gapAimMs": 120,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// configure writes a new version of the configuration.
func (w *world) configure(services []string, routes ...map[string]any) {
	w.version++
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 656, "protocol": "h1", "tls": false, "coldStartS": 0})
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}}},
	})
}

// gateway is a process of the role entry.
type gateway struct {
	world                             *world
	name, ip, frontend, ready, config string

	mu      sync.Mutex
	cmd     *exec.Cmd
	isEnded bool
	done    chan struct{}
	starts  int
}

// freePort returns a port that is free at each address.
func freePort(ips ...string) int {
	for range 100 {
		l, err := net.Listen("tcp", ips[0]+":0")
		must(err)
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		isFree := true
		for _, ip := range ips[1:] {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				isFree = false
				break
			}
			_ = l.Close()
		}
		if isFree {
			return port
		}
	}
	panic(errSetup{fmt.Errorf("no free port")})
}

// startGateways starts gateways and waits until all of them are ready.
func (w *world) startGateways(count int) {
	var ips []string
	for n := range count {
		ips = append(ips, fmt.Sprintf("%s.%d", w.network, 10+n))
	}
	frontend, ready, internal := freePort(ips...), freePort(ips...), freePort(ips...)
	for n, ip := range ips {
		g := &gateway{
			world: w, name: fmt.Sprintf("edge-kolkata-%d", n+1), ip: ip, done: make(chan struct{}),
			frontend: fmt.Sprintf("%s:%d", ip, frontend), ready: fmt.Sprintf("%s:%d", ip, ready),
			config: filepath.Join(w.dir, fmt.Sprintf("edge-%d.json", n+1)),
		}
		content, err := json.Marshal(map[string]any{
			"nodeName": g.name, "role": "entry", "machineClass": "edge", "servedRoles": []string{"edge"}, "ip": ip,
			"zone": "kolkata", "region": "bengal", "zones": map[string]string{"kolkata": "bengal"},
			"listenAddresses":   map[string]string{"frontend": g.frontend, "ready": g.ready},
			"internalPortRange": []int{internal, internal}, "bootstrap": true,
			"limits":    map[string]any{"cpuShare": 0.208, "cpuCores": 1, "memoryMb": 206, "fileDescriptors": 2870, "linkMbps": 700.0, "diskMb": 0},
			"discovery": "platform", "heartbeatIntervalMs": 1200,
			"bounds": map[string]any{
				"seedLagS": 3, "addressReuseS": 2, "stabilityWindowMs": 3000, "ackTimeoutMs": 4000, "drainMs": 2000, "gracePeriodS": 8,
				"lossSlackMs": 200, "configPropagationMs": 2000, "revokeWhenPartitioned": true, "revocationMs": 5000, "retryBudgetRatio": 0.2,
				"budgetWindowS": 10, "retryBudgetExtra": 184, "coldOvershoot": 1.5, "coldTolerance": 5, "evacuationMs": 5000, "stall_ms": 1500,
			},
			"platform": map[string]any{"address": w.storeAddr, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "maxValueBytes": 1048576},
		})
		must(err)
		must(os.WriteFile(g.config, content, 0o600))
		w.gateways = append(w.gateways, g)
		g.start()
		go g.supervise()
	}
	for _, g := range w.gateways {
		g.awaitReady()
	}
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	log, err := os.OpenFile(g.config+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/bluebellcrank", "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), adapter.SettingsVariable + "=" + g.config}
	cmd.Stdout, cmd.Stderr = log, log
	must(cmd.Start())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd = cmd
	g.starts++
	g.world.printf("%s: started as process %d", g.name, cmd.Process.Pid)
}

// supervise starts the process again when it ends, as the platform does.
func (g *gateway) supervise() {
	defer close(g.done)
	for {
		g.mu.Lock()
		cmd := g.cmd
		g.mu.Unlock()
		err := cmd.Wait()
		g.world.printf("%s: process %d has ended: %v", g.name, cmd.Process.Pid, err)
		time.Sleep(restartDelay)
		g.mu.Lock()
		isEnded := g.isEnded
		g.mu.Unlock()
		if isEnded {
			return
		}
		g.start()
	}
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.world.printf("%s: signal %v to process %d", g.name, s, g.cmd.Process.Pid)
	_ = g.cmd.Process.Signal(s)
}

// end kills the process for good.
func (g *gateway) end() {
	g.mu.Lock()
	g.isEnded = true
	_ = g.cmd.Process.Kill()
	g.mu.Unlock()
	<-g.done
}

// awaitReady waits until the gateway reports that it is ready.
func (g *gateway) awaitReady() {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return
		}
	}
	panic(errSetup{fmt.Errorf("%s is not ready after %s", g.name, startTimeout)})
}

func (g *gateway) isReady() bool {
	res, err := http.Get("http://" + g.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// server is a server of a service. It serves one request at a time on a connection.
type server struct {
	world       *world
	id, service string
	address     string
	slots       int
	// answer writes the answer to a request that is run. It returns false if the connection
	// is to be closed.
	answer func(c net.Conn, r *http.Request, body []byte) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// startServer starts a server and registers it in the store.
func (w *world) startServer(id, service string, slots int, answer func(c net.Conn, r *http.Request, body []byte) bool) *server {
	l, err := net.Listen("tcp", w.network+".200:0")
	must(err)
	s := &server{world: w, id: id, service: service, address: l.Addr().String(), slots: slots, answer: answer, conns: map[net.Conn]bool{}}
	w.closers = append(w.closers, func() { _ = l.Close(); s.closeConns() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	w.store.Put("servers", id, map[string]any{
		"service": service, "address": s.address, "zone": "kolkata", "version": "v1", "slots": slots, "state": "serving",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return s
}

func (s *server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// serve serves the requests of a connection in turn.
func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
			continue
		}
		if !s.answer(c, r, body) {
			return
		}
	}
}

// signature returns the signature of an answer.
func (s *server) signature(id string) string { return "sig." + s.id + "." + id }

// head returns the head of a sound answer.
func (s *server) head(status int, id, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\n%s\r\n", status, http.StatusText(status), id, s.signature(id), more)
}

// client is one connection of a client.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, reader: bufio.NewReader(c)}, nil
}

// requestText returns a request as it is sent.
func requestText(method, path, id, body string, deadline time.Duration, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n", method, path, host, id, deadline.Milliseconds(), apiKey)
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// reply is what a client got for a request.
type reply struct {
	status    int
	header    http.Header
	body      string
	err       error
	isWhole   bool
	closed    bool
	hasAnswer bool
}

// read reads one answer.
func (c *client) read(method string, within time.Duration) reply {
	_ = c.SetReadDeadline(time.Now().Add(within))
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(body), err: err, isWhole: err == nil, closed: res.Close, hasAnswer: true}
}

var idMu sync.Mutex
var idRandom = rand.New(rand.NewPCG(7, uint64(time.Now().UnixNano())))

// newID returns the id of a client attempt.
func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	return fmt.Sprintf("%016x", idRandom.Uint64())
}
