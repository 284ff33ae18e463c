//go:build review

package lab3

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"bluebellcrank/platform/standin"
)

const (
	trafficPort  = 8227
	readyPort    = 8220
	internalPort = 7340
	host         = "orders.example"
	apiKey       = "key-of-the-guild"
	tenant       = "guild"
)

// world is one small deployment: a store, its servers and the processes under test.
type world struct {
	dir, prefix string
	store       *standin.Store
	storeServer *http.Server
	storeAddr   string
	// entryStoreAddr is where entries reach the store, if that is not its own address.
	entryStoreAddr string
	bounds         map[string]any
	entries        []*entry
	// keys are the API keys of the tenant.
	keys []string

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

// entry is one process of the role that serves clients.
type entry struct {
	w                  *world
	name, ip, settings string
	cmd                *exec.Cmd
	ended              chan struct{}
}

// newWorld starts the store on a loopback network that nothing else uses.
func newWorld(record *os.File) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: standin.NewStore(), record: record, began: time.Now(), keys: []string{apiKey}, bounds: map[string]any{
		"seedLagS": 3, "addressReuseS": 2, "stabilityWindowMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
		"drainMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200, "configPropagationMs": 2000, "rollbackSlackMs": 250,
		"outerMs": 5000, "revokeWhenPartitioned": true, "revocationMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
		"retryBudgetExtra": 184, "coldOvershoot": 1.5, "coldTolerance": 5, "evacuationMs": 5000, "recoveryS": 12,
		"eventDelayMs": 120, "retryAfterS": 0, "stall_ms": 1500, "fencingEnforced": false,
	}}
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(60), 1+rand.IntN(250))
		l, err := net.Listen("tcp", w.prefix+"7:8223")
		if err != nil {
			continue
		}
		w.storeAddr = l.Addr().String()
		w.storeServer = &http.Server{Handler: w.store}
		go func() { _ = w.storeServer.Serve(l) }()
		return w, nil
	}
	return nil, errors.New("no free loopback network")
}

// logf adds a line to the record.
func (w *world) logf(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// listen returns a listener on an address of the deployment.
func (w *world) listen(n int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("%s%d:0", w.prefix, n))
}

// putConfig writes a version of the configuration as the operator does.
func (w *world) putConfig(version int, routes, services []map[string]any, idleTimeoutMs int) {
	w.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeoutMs},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": w.keys, "priority": 1}},
	})
	w.logf("operator: configuration %d is acknowledged", version)
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, attempts, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 500,
		"priority": 1, "service": service, "maxAttempts": attempts, "anonymous": false, "sessionAffinity": false,
		"streamResumption": kind == "streaming", "gapAimMs": 120,
	}
}

// service returns a service of the configuration.
func service(name string, coldPerS float64) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 656, "protocol": "h1", "tls": false, "coldStartS": 60, "coldPerS": coldPerS}
}

// register writes the entry of a server into the store.
func (w *world) register(id, service, address string, slots, coldMs int, born time.Time) {
	w.registerAs(id, service, address, slots, coldMs, born, "serving")
}

// registerAs writes the entry of a server in a state into the store.
func (w *world) registerAs(id, service, address string, slots, coldMs int, born time.Time, state string) {
	w.store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": "kolkata", "version": "v1", "slots": slots, "state": state,
		"coldRemainingMs": coldMs, "sequence": 1, "born": born.UnixMilli(),
	})
}

// settingsOf returns the settings of an entry.
func (w *world) settingsOf(e *entry) map[string]any {
	return map[string]any{
		"nodeName": e.name, "role": "entry", "machineClass": "edge", "servedRoles": []string{"edge"},
		"ip": e.ip, "zone": "kolkata", "region": "bengal", "zones": map[string]string{"kolkata": "bengal"},
		"listenAddresses":   map[string]string{"frontend": fmt.Sprintf("%s:%d", e.ip, trafficPort), "ready": fmt.Sprintf("%s:%d", e.ip, readyPort)},
		"internalPortRange": []int{internalPort, internalPort + 15}, "seedNodes": []string{}, "bootstrap": true, "failureCounted": false,
		"limits":        map[string]any{"cpuShare": 0.208, "cpuCores": 1, "memoryMb": 206, "fileDescriptors": 2870, "linkMbps": 700.0, "diskMb": 0},
		"dataDirectory": nil, "discovery": "platform", "entryPoint": "virtual_ip", "heartbeatIntervalMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"},
		"faultTolerance": map[string]any{"machineFailures": 2, "zones": 1, "regionFailures": 0},
		"bounds":         w.bounds,
		"platform":       map[string]any{"address": cmp.Or(w.entryStoreAddr, w.storeAddr), "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "maxValueBytes": 1048576, "minTtlMs": 1000},
	}
}

// writeSettings writes the settings file of an entry.
func (w *world) writeSettings(e *entry) error {
	data, err := json.Marshal(w.settingsOf(e))
	if err != nil {
		return err
	}
	if err := os.WriteFile(e.settings+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(e.settings+".new", e.settings)
}

// startEntry starts a process with the command of the deploy file.
func (w *world) startEntry(n int) (*entry, error) {
	e := &entry{w: w, name: fmt.Sprintf("edge-kolkata-%d", n), ip: fmt.Sprintf("%s%d", w.prefix, 40+n)}
	e.settings = filepath.Join(w.dir, e.name+".json")
	if err := w.writeSettings(e); err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		return nil, err
	}
	w.entries = append(w.entries, e)
	return e, nil
}

// start starts the process.
func (e *entry) start() error {
	out, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	e.cmd = exec.Command("target/bluebellcrank", "gateway")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.w.dir, "BLUEBELLCRANK_CONFIG=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := e.cmd, make(chan struct{})
	e.ended = ended
	go func() { _ = cmd.Wait(); close(ended) }()
	e.w.logf("%s starts", e.name)
	return nil
}

// restart starts the process again, after it was killed.
func (e *entry) restart() error {
	<-e.ended
	return e.start()
}

// waitReady waits until the entry answers the platform's readiness question with 200.
func (e *entry) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", e.ip, readyPort))
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			e.w.logf("%s is ready", e.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", e.name, limit)
}

// traffic returns the address for clients.
func (e *entry) traffic() string { return fmt.Sprintf("%s:%d", e.ip, trafficPort) }

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.w.logf("%s gets %s", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, e := range w.entries {
		_ = e.cmd.Process.Kill()
		<-e.ended
	}
	_ = w.storeServer.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}
