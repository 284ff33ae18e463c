package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/target"
)

const (
	waitTimeout  = time.Minute
	stopTimeout  = time.Minute
	pollInterval = 20 * time.Millisecond
)

// fleet runs a platform, targets, agents and entries as separate processes on
// the loopback interface.
type fleet struct {
	dir             string
	daemonBinary    string
	standinBinary   string
	platformAddress string
	procs           []*proc
	procByName      map[string]*proc
	mu              sync.Mutex
	// instances is the list that publishInstances sends to the platform, with the
	// instances' own addresses.
	instances []target.Instance
	// publishedInstances contains the instances behind relays, by ID, with the
	// relays' addresses.
	publishedInstances map[string]target.Instance
	// targetAddresses contains the address of each agent's target, by instance ID.
	targetAddresses    map[string]string
	client             *fasthttp.Client
	peerPool           *peer.Pool
	disabledAgentGuard string
	disabledEntryGuard string
	useRelays          bool
	// relayControls contains the control address of each relay, by process name.
	relayControls map[string]string
	// operatorAddresses contains the operator listener of each instance, by ID.
	operatorAddresses map[string]string
}

func newFleet(dir, binary, standin string) (*fleet, error) {
	f := &fleet{
		dir: dir, daemonBinary: binary, standinBinary: standin,
		procByName: map[string]*proc{}, targetAddresses: map[string]string{}, relayControls: map[string]string{}, operatorAddresses: map[string]string{}, publishedInstances: map[string]target.Instance{},
		peerPool: peer.NewPool(2 * time.Second),
		client:   &fasthttp.Client{MaxIdemponentCallAttempts: 1, ReadTimeout: time.Minute},
	}
	f.platformAddress = freeAddress()
	if err := f.startProcess("platform", standin, "platform", "--listen="+f.platformAddress); err != nil {
		return nil, err
	}
	return f, waitFor(func() bool { return f.isReachable(f.platformAddress) }, "platform is reachable")
}

// The ports of a fleet are below the kernel's ephemeral range, so that no
// outgoing connection occupies one while its process does not listen on it.
const (
	firstPort = 20_000
	portCount = 12_000
)

// nextPort is shared by tests that run in parallel.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(portCount)) }

// reservations has a socket for each port that freeAddress has returned. They are
// closed with the process.
var reservations struct {
	mu      sync.Mutex
	sockets []net.Listener
}

// freeAddress returns a loopback address on which nothing listens. No other call, of
// this process or of others, returns its port until this process ends.
func freeAddress() string {
	for range portCount {
		port := firstPort + nextPort.Add(1)%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if reservePort(port) && isFree(address) {
			return address
		}
	}
	panic("no free port")
}

// reservePort reserves a port for this process, and reports whether it was not reserved
// yet. The reservation is an abstract Unix socket, whose name only one process may have.
func reservePort(port int64) bool {
	socket, err := net.Listen("unix", fmt.Sprintf("@bluebellcrank-port-%d", port))
	if err != nil {
		return false
	}
	reservations.mu.Lock()
	defer reservations.mu.Unlock()
	reservations.sockets = append(reservations.sockets, socket)
	return true
}

// isFree reports whether a process may listen on an address.
func isFree(address string) bool {
	// A process that is forked meanwhile would keep the socket open until it runs its
	// program.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// waitFor polls a condition until it is true, at most for waitTimeout.
func waitFor(condition func() bool, description string) error {
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: condition not met within %s", description, waitTimeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (f *fleet) isReachable(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// startProcess runs a program in the background and appends its output to a log
// file.
func (f *fleet) startProcess(name, binary string, args ...string) error {
	logPath := filepath.Join(f.dir, name+".log")
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &proc{name: name, cmd: cmd, logPath: logPath, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs = append(f.procs, p)
	f.procByName[name] = p
	return nil
}

// proc returns the most recently started process with a name.
func (f *fleet) proc(name string) *proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procByName[name]
}

// addTarget starts a target and its agent; the extra flags are passed to the
// target.
func (f *fleet) addTarget(id, service, centre string, extra ...string) error {
	f.targetAddresses[id] = freeAddress()
	if err := f.startTarget(id, extra...); err != nil {
		return err
	}
	i := target.Instance{ID: id, Role: target.Agent, Service: service, DataCentre: centre, Peer: freeAddress(), Traffic: freeAddress()}
	f.instances = append(f.instances, i)
	if err := f.startAgent(i); err != nil {
		return err
	}
	return f.addRelays(i)
}

// addRelays starts a relay to the traffic address and one to the peer address of
// an agent, and records the relays' addresses, which publishInstances publishes in
// place of the agent's own. It does nothing in a fleet without relays.
func (f *fleet) addRelays(i target.Instance) error {
	if !f.useRelays {
		return nil
	}
	published := i
	for _, p := range []struct {
		name    string
		address *string
	}{{"traffic", &published.Traffic}, {"peer", &published.Peer}} {
		listen, control := freeAddress(), freeAddress()
		name := "relay-" + p.name + "-" + i.ID
		if err := f.startProcess(name, f.standinBinary, "relay", "--listen="+listen, "--to="+*p.address, "--control="+control); err != nil {
			return err
		}
		*p.address = listen
		f.relayControls[name] = control
	}
	f.publishedInstances[i.ID] = published
	return nil
}

func (f *fleet) startTarget(id string, extra ...string) error {
	args := append([]string{"target", "--listen=" + f.targetAddresses[id], "--run-log=" + f.runLogPath(id)}, extra...)
	return f.startProcess("target-"+id, f.standinBinary, args...)
}

func (f *fleet) runLogPath(id string) string { return filepath.Join(f.dir, "runs-"+id) }

// startAgent starts the agent of an instance; the extra flags are passed to the
// agent.
func (f *fleet) startAgent(i target.Instance, extra ...string) error {
	args := append([]string{"agent", "--service=" + i.Service, "--target=" + f.targetAddresses[i.ID]}, f.commonArgs(i)...)
	return f.startDaemon(i.ID, f.disabledAgentGuard, append(args, extra...))
}

// addRankGroup starts a rank group and one agent for each rank; the extra flags
// are passed to the agents.
func (f *fleet) addRankGroup(group string, ranks int, centre string, extra ...string) error {
	args := []string{"rankgroup", "--log=" + f.runLogPath(group)}
	first := len(f.instances)
	for n := range ranks {
		id := fmt.Sprintf("%s-%d", group, n)
		f.targetAddresses[id] = freeAddress()
		args = append(args, "--listen="+f.targetAddresses[id])
		f.instances = append(f.instances, target.Instance{
			ID: id, Role: target.Agent, Service: "advisor", DataCentre: centre,
			Peer: freeAddress(), Traffic: freeAddress(), Group: group, Rank: n,
		})
	}
	if err := f.startProcess(group, f.standinBinary, args...); err != nil {
		return err
	}
	for _, i := range f.instances[first:] {
		if err := f.startRank(i, ranks, extra...); err != nil {
			return err
		}
		if err := f.addRelays(i); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startRank(i target.Instance, ranks int, extra ...string) error {
	return f.startAgent(i, append([]string{"--group=" + i.Group, fmt.Sprintf("--rank=%d", i.Rank), fmt.Sprintf("--ranks=%d", ranks)}, extra...)...)
}

// startDaemon starts a daemon or, if a guard is named, a test variant of the daemon
// with that guard disabled.
func (f *fleet) startDaemon(name, guard string, args []string) error {
	if guard == "" {
		return f.startProcess(name, f.daemonBinary, args...)
	}
	return f.startProcess(name, f.standinBinary, append([]string{"twin", args[0], "--guard=" + guard}, args[1:]...)...)
}

// commonArgs returns the flags that agents and entries share. The seed peer is the
// first other instance.
func (f *fleet) commonArgs(i target.Instance) []string {
	if f.operatorAddresses[i.ID] == "" {
		f.operatorAddresses[i.ID] = freeAddress()
	}
	args := []string{
		"--operator-listen=" + f.operatorAddresses[i.ID],
		"--instance=" + i.ID, "--data-centre=" + i.DataCentre, "--platform=http://" + f.platformAddress,
		"--peer-listen=" + i.Peer, "--traffic-listen=" + i.Traffic,
	}
	for _, s := range f.instances {
		if s.ID != i.ID {
			args = append(args, "--seeds="+s.Peer)
			break
		}
	}
	return args
}

func (f *fleet) addEntry(id, centre string, extra ...string) error {
	i := target.Instance{ID: id, Role: target.Entry, DataCentre: centre, Peer: freeAddress(), Traffic: freeAddress()}
	f.instances = append(f.instances, i)
	return f.startEntry(i, extra...)
}

func (f *fleet) startEntry(i target.Instance, extra ...string) error {
	return f.startDaemon(i.ID, f.disabledEntryGuard, append(append([]string{"entry"}, f.commonArgs(i)...), extra...))
}

// markLeaving marks an instance as leaving in the next published list.
func (f *fleet) markLeaving(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.instances {
		if f.instances[n].ID == id {
			f.instances[n].Leaving = true
		}
	}
}

// removeInstance removes an instance from the next published list.
func (f *fleet) removeInstance(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = slices.DeleteFunc(f.instances, func(i target.Instance) bool { return i.ID == id })
}

func (f *fleet) instance(id string) target.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		if i.ID == id {
			return i
		}
	}
	panic("unknown instance " + id)
}

// publishInstances sends the instance list to the platform. Instances behind relays
// are published with the relays' addresses.
func (f *fleet) publishInstances() error {
	list := make([]target.Instance, 0, len(f.instances))
	for _, i := range f.instances {
		if published, found := f.publishedInstances[i.ID]; found {
			published.Leaving = i.Leaving
			i = published
		}
		list = append(list, i)
	}
	return f.postJSON("http://"+f.platformAddress+"/instances", list)
}

func (f *fleet) postJSON(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.SetRequestURI(url)
	req.SetBody(body)
	if err := f.client.DoTimeout(req, resp, waitTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("POST %s: status %d, want 200", url, resp.StatusCode())
	}
	return nil
}

// runOperatorCommand runs an operator command of bluebellcrank against the fleet's
// platform and returns its standard output and standard error.
func (f *fleet) runOperatorCommand(args ...string) (string, error) {
	cmd := exec.Command(f.daemonBinary, append(args, "--platform=http://"+f.platformAddress)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return out.String(), err
}

// waitReady waits until an entry serves each of the named services.
func (f *fleet) waitReady(entry string, services ...string) error {
	for _, s := range services {
		isServed := func() bool {
			r, err := f.send(entry, "GET", "/"+s+"/ready", "", map[string]string{})
			return err == nil && r.status == fasthttp.StatusOK
		}
		if err := waitFor(isServed, "service "+s+" is served by "+entry); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills every process that still runs, paused ones included.
func (f *fleet) killAll() {
	for n := len(f.procs) - 1; n >= 0; n-- {
		p := f.procs[n]
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}
