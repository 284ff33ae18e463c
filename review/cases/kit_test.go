//go:build review

package cases

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
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bluebellcrank/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// operatorPort is the default port of a process for metrics.
const operatorPort = "9464"

// Kit is the deployment of one case.
type Kit struct {
	Store     *standin.Store
	StoreAddr string
	dir       string
	block     string
	ports     [3]string
	record    *os.File
	recordMu  sync.Mutex
	began     time.Time
	processes []*Process
	listeners []net.Listener
	// children are other processes that the case started, which Close ends as well.
	childrenMu sync.Mutex
	children   []*os.Process
	// Trouble tells whether the case injects its disruption.
	Trouble bool
}

// New prepares a deployment whose record is written to the file record.txt of a folder.
func New(caseDir string) (*Kit, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	k := &Kit{Store: standin.NewStore(), dir: dir, record: record, began: time.Now(), Trouble: os.Getenv("TROUBLE") != "0"}
	for try := 0; ; try++ {
		k.block = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if err = k.choosePorts(); err == nil {
			break
		}
		if try == 20 {
			return nil, err
		}
	}
	l, err := k.Listen(1)
	if err != nil {
		return nil, err
	}
	k.StoreAddr = l.Addr().String()
	go func() { _ = http.Serve(l, k.Store) }()
	go k.endEarly()
	return k, nil
}

// maxRunTime is the longest time of a case.
const maxRunTime = 115 * time.Second

// endEarly ends the case and all its processes at a signal, or once it takes too long.
func (k *Kit) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	k.endProcesses()
	_ = os.RemoveAll(k.dir)
	os.Exit(NotRun)
}

// endProcesses kills all processes that the case started.
func (k *Kit) endProcesses() {
	for _, p := range k.processes {
		p.Signal(syscall.SIGKILL)
		p.Signal(syscall.SIGCONT)
	}
	k.childrenMu.Lock()
	defer k.childrenMu.Unlock()
	for _, c := range k.children {
		_ = c.Kill() // an error means that it has ended
	}
}

// choosePorts finds ports that are free at the first addresses of the block.
func (k *Kit) choosePorts() error {
	if l, err := net.Listen("tcp", k.block+"11:"+operatorPort); err != nil {
		return err
	} else {
		_ = l.Close()
	}
	for n := range k.ports {
		l, err := net.Listen("tcp", k.block+"11:0")
		if err != nil {
			return err
		}
		_, k.ports[n], _ = net.SplitHostPort(l.Addr().String())
		defer func() { _ = l.Close() }()
	}
	return nil
}

// Listen opens a listener on a free port of the deployment's address number host.
func (k *Kit) Listen(host int) (net.Listener, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", k.block, host))
	if err == nil {
		k.listeners = append(k.listeners, l)
	}
	return l, err
}

// Record writes one line to the case's record.
func (k *Kit) Record(format string, values ...any) {
	k.recordMu.Lock()
	defer k.recordMu.Unlock()
	_, _ = fmt.Fprintf(k.record, "%8.3f  %s\n", time.Since(k.began).Seconds(), fmt.Sprintf(format, values...))
}

// Process is one process of the product.
type Process struct {
	Name, Traffic, Ready string
	// Log is the path of what the process writes.
	Log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// bounds are those of the users' small sites.
var bounds = map[string]any{
	"seedLagS": 3, "addressReuseS": 2, "stabilityWindowMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000,
	"gracePeriodS": 8, "lossSlackMs": 200, "configPropagationMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000,
	"revokeWhenPartitioned": true, "revocationMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 184,
	"coldOvershoot": 1.5, "coldTolerance": 5, "evacuationMs": 5000, "recoveryS": 12, "eventDelayMs": 120, "retryAfterS": 0,
	"stall_ms": 1500, "fencingEnforced": false,
}

// StartEntry starts the entry number n, from 0, with the command of the deploy file. Its
// store calls go to storeAddr.
func (k *Kit) StartEntry(n int, storeAddr string) (*Process, error) {
	ip := fmt.Sprintf("%s%d", k.block, 11+n)
	p := &Process{Name: fmt.Sprintf("edge-%d", n), Traffic: net.JoinHostPort(ip, k.ports[0]), Ready: net.JoinHostPort(ip, k.ports[1])}
	internal, _ := strconv.Atoi(k.ports[2])
	content, err := json.Marshal(map[string]any{
		"nodeName": p.Name, "role": "entry", "machineClass": "edge", "servedRoles": []string{"edge"},
		"ip": ip, "zone": "east", "region": "home", "zones": map[string]string{"east": "home"},
		"listenAddresses":   map[string]string{"frontend": p.Traffic, "ready": p.Ready},
		"internalPortRange": []int{internal, internal + 15}, "seedNodes": []string{}, "bootstrap": true,
		"limits":              map[string]any{"cpuShare": 0.208, "cpuCores": 1, "memoryMb": 206, "fileDescriptors": 2870, "linkMbps": 700.0, "diskMb": 0},
		"heartbeatIntervalMs": 1200, "bounds": bounds,
		"platform": map[string]any{"address": storeAddr, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "maxValueBytes": 1048576},
	})
	if err != nil {
		return nil, err
	}
	return p, k.start(p, content, "gateway")
}

func (k *Kit) start(p *Process, settings []byte, command string) error {
	path := filepath.Join(k.dir, p.Name+".json")
	if err := os.WriteFile(path, settings, 0o644); err != nil {
		return err
	}
	p.Log = filepath.Join(k.dir, p.Name+".log")
	log, err := os.OpenFile(p.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command("target/bluebellcrank", command)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BLUEBELLCRANK_CONFIG=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	k.processes = append(k.processes, p)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// IsReady reports whether the process answers its readiness check with 200.
func (p *Process) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + p.Ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// WaitReady waits until all processes are ready.
func WaitReady(processes ...*Process) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := true
		for _, p := range processes {
			ready = ready && p.IsReady()
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("not all processes became ready within 15 s")
}

// Close ends all processes that the kit started, and appends the log of each to the
// record if withLogs is set.
func (k *Kit) Close(withLogs bool) {
	k.endProcesses()
	for _, p := range k.processes {
		<-p.done
	}
	for _, l := range k.listeners {
		_ = l.Close()
	}
	if withLogs {
		for _, p := range k.processes {
			content, _ := os.ReadFile(p.Log)
			_, _ = fmt.Fprintf(k.record, "\nlog of %s:\n%s", p.Name, content)
		}
	}
	_ = k.record.Close()
	_ = os.RemoveAll(k.dir)
}

// Route describes one route of the configuration.
type Route struct {
	Name, Kind, Service string
	Attempts, TimeoutMs int
	Resumable           bool
}

// Host is the host of all routes; the path of a route is its name between slashes.
const Host = "review.example"

// Configure writes a version of the configuration with one tenant and its keys.
func (k *Kit) Configure(version int, keys []string, routes ...Route) {
	var list []any
	services := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "host": Host, "pathPrefix": "/" + r.Name + "/", "routeKind": r.Kind, "service": r.Service,
			"maxAttempts": r.Attempts, "timeoutMs": r.TimeoutMs, "targetLatencyMs": 500, "gapAimMs": 120, "streamResumption": r.Resumable, "priority": 1,
		})
		services[r.Service] = true
	}
	var serviceList []any
	for name := range services {
		serviceList = append(serviceList, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 200})
	}
	k.Store.Put("config", "main", map[string]any{
		"version": version, "routes": list, "services": serviceList,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 2000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "guild", "apiKeys": keys}},
	})
}

// Backend is a server of a service that speaks raw HTTP/1.1.
type Backend struct {
	ID, Service, Address string
	born                 int64
	// Serve answers one request that expects this server. It reports whether the
	// connection stays open.
	Serve func(c net.Conn, r *http.Request, body []byte) bool
}

// AddBackend starts a server and registers it in the store.
func (k *Kit) AddBackend(host int, b *Backend) error {
	l, err := k.Listen(host)
	if err != nil {
		return err
	}
	b.Address, b.born = l.Addr().String(), time.Now().UnixMilli()
	k.Register(b, "serving")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serveConn(c)
		}
	}()
	return nil
}

// Register writes the server's entry in the store.
func (k *Kit) Register(b *Backend, state string) {
	k.Store.Put("servers", b.ID, map[string]any{
		"service": b.Service, "address": b.Address, "zone": "east", "version": "1", "slots": 12, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": b.born,
	})
}

func (b *Backend) serveConn(c net.Conn) {
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
		if want := r.Header.Get("Expected-Instance"); want != "" && want != b.ID {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", b.ID)
			continue
		}
		if !b.Serve(c, r, body) {
			return
		}
	}
}

// Reset makes the close of a connection a reset.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

// Reply is what a client got.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	// Complete is set if the whole answer came in.
	Complete bool
	Err      error
}

// Client is a client with one connection at a time, which it keeps.
type Client struct {
	Address string
	conn    net.Conn
	reader  *bufio.Reader
}

// Send sends a request and reads its answer. It never sends a request twice.
func (c *Client) Send(method, path, attempt, key string, deadline time.Duration, body string, extra ...string) Reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address, time.Second)
		if err != nil {
			return Reply{Err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n", method, path, Host, attempt, deadline.Milliseconds(), key)
	for _, line := range extra {
		out.WriteString(line + "\r\n")
	}
	if body != "" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c.conn, out.String()); err != nil {
		c.Close()
		return Reply{Err: err}
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.Close()
		return Reply{Err: err}
	}
	text, err := io.ReadAll(answer.Body)
	reply := Reply{Status: answer.StatusCode, Header: answer.Header, Body: string(text), Complete: err == nil, Err: err}
	if err != nil || answer.Close {
		c.Close()
	}
	return reply
}

// Close closes the client's connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// StartAgent starts the agent beside an engine, with the command of the deploy file.
func (k *Kit) StartAgent(n int, engine, service string) (*Process, error) {
	ip := k.AgentIP(n)
	p := &Process{Name: fmt.Sprintf("side-%d", n)}
	internal, _ := strconv.Atoi(k.ports[2])
	content, err := json.Marshal(map[string]any{
		"nodeName": p.Name, "role": "agent", "machineClass": "side", "servedRoles": []string{"side"},
		"ip": ip, "zone": "east", "region": "home", "zones": map[string]string{"east": "home"}, "app": engine, "service": service,
		"listenAddresses":   map[string]string{},
		"internalPortRange": []int{internal, internal + 15}, "seedNodes": []string{}, "bootstrap": true,
		"limits":              map[string]any{"cpuShare": 0.24, "cpuCores": 1, "memoryMb": 152, "fileDescriptors": 2048, "linkMbps": 20.0, "diskMb": 0},
		"heartbeatIntervalMs": 1200, "bounds": bounds,
		"platform": map[string]any{"address": k.StoreAddr, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "maxValueBytes": 1048576},
	})
	if err != nil {
		return nil, err
	}
	return p, k.start(p, content, "rank")
}

// AgentIP returns the address of the side machine number n, which an engine shares.
func (k *Kit) AgentIP(n int) string { return fmt.Sprintf("%s%d", k.block, 40+n) }

// AgentHost returns the number of that address for Listen.
func AgentHost(n int) int { return 40 + n }

// Restart starts a process again that has ended or is killed now.
func (k *Kit) Restart(p *Process, command string) error {
	p.Signal(syscall.SIGKILL)
	<-p.done
	log, err := os.OpenFile(p.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/bluebellcrank", command)
	cmd.Env, cmd.Stdout, cmd.Stderr = p.cmd.Env, log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.cmd, p.done = cmd, done
	return nil
}
