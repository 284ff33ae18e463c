package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

const callerConfig = `
services:
  bells: {kind: plain, cold-limit: 4, warm-limit: 8, warm-up: 16, timeout: 2s, non-idempotent: [POST /ring]}
  vault: {kind: plain}
data-centres: {east: {}}
accounts:
  parish: {services: [bells], keys: ["DIGEST"]}
  hasty: {services: [bells], requests-per-second: 1, keys: ["HASTY"]}
`

// TestCallersAreToldWhy checks the status, reason and effect of each kind of
// refusal.
func TestCallersAreToldWhy(t *testing.T) {
	f := testFleet(t)
	must(t, f.addTarget("bells-1", "bells", "east"), f.addEntry("entry-1", "east", "--max-body=2000"), f.publishInstances())
	config := strings.ReplaceAll(withKey(callerConfig), "HASTY", digestOf("hasty-key"))
	push(t, f, map[string]string{"10.yaml": config})
	must(t, f.waitReady("entry-1", "bells"))
	big := fmt.Sprintf(`{"token":%q}`, strings.Repeat("x", 4000))
	key := map[string]string{"Idempotency-Key": "k1"}
	tests := []struct {
		name, method, path, body string
		headers                  map[string]string
		status                   int
		reason                   string
	}{
		{"no key", "GET", "/bells/x", "", map[string]string{"X-Api-Key": ""}, 401, "unauthorized"},
		{"unknown key", "GET", "/bells/x", "", map[string]string{"X-Api-Key": "nobody"}, 401, "unauthorized"},
		{"foreign service", "GET", "/vault/x", "", nil, 403, "forbidden"},
		{"unknown service", "GET", "/organ/x", "", nil, 404, "unknown-service"},
		{"no idempotency key", "POST", "/bells/ring", "{}", nil, 400, "idempotency-key-missing"},
		{"bad timeout", "GET", "/bells/x", "", map[string]string{"Request-Timeout-Ms": "soon"}, 400, "bad-request"},
		{"long idempotency key", "POST", "/bells/ring", "{}", map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "bad-request"},
		{"body too large", "GET", "/bells/x", big, nil, 413, "too-large"},
		{"no body", "GET", "/bells/empty", "", nil, 204, ""},
		{"head", "HEAD", "/bells/x", "", nil, 200, ""},
		{"header too large", "GET", "/bells/x", "", map[string]string{"X-Long": strings.Repeat("x", 40_000)}, 413, "too-large"},
		{"first request with a key", "POST", "/bells/ring", `{"token":"a"}`, key, 200, ""},
		{"key with another body", "POST", "/bells/ring", `{"token":"b"}`, key, 422, "idempotency-key-reused"},
		{"first request at a limit of one per second", "GET", "/bells/x", "", map[string]string{"X-Api-Key": "hasty-key"}, 200, ""},
		{"second request at a limit of one per second", "GET", "/bells/x", "", map[string]string{"X-Api-Key": "hasty-key"}, 429, "rate-limited"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got, err := f.send("entry-1", tt.method, tt.path, tt.body, tt.headers)
			c.Assert(err, qt.IsNil)
			c.Check(got.status, qt.Equals, tt.status, qt.Commentf("%s", got.body))
			c.Check(got.reason, qt.Equals, tt.reason)
			if tt.reason != "" {
				c.Check(got.effect, qt.Equals, "not-run")
				c.Check(got.refusalID, qt.Not(qt.Equals), "")
			}
		})
	}
	t.Run("operator commands show refusals", func(t *testing.T) { checkOperatorCommands(t, f) })
	t.Run("a slow caller", func(t *testing.T) { checkSlowCaller(t, f) })
}

// checkOperatorCommands checks that operator commands show a refusal, and that
// neither their output nor any log contains an API key.
func checkOperatorCommands(t *testing.T, f *fleet) {
	c := qt.New(t)
	got, _ := f.send("entry-1", "GET", "/vault/secret", "", nil)
	var out string
	must(t, waitFor(func() bool {
		var err error
		out, err = f.runOperatorCommand("explain", got.refusalID)
		return err == nil
	}, "the refusal is stored"))
	c.Check(out, qt.Contains, `account "parish", service "vault"`)
	c.Check(out, qt.Contains, "the account may not use the service")
	list, err := f.runOperatorCommand("refusals", "--account=parish")
	c.Assert(err, qt.IsNil)
	c.Check(list, qt.Contains, got.refusalID)
	c.Check(list, qt.Contains, "0 dropped because buffers were full")
	dump, err := f.runOperatorCommand("dump", "bells-1")
	c.Assert(err, qt.IsNil)
	c.Check(dump, qt.Contains, "target-up: true")
	for _, secret := range []string{demoKey, "hasty-key"} {
		c.Check(strings.Contains(list+dump+out, secret), qt.IsFalse)
	}
	_, err = f.runOperatorCommand("dump", "nobody")
	c.Check(err, qt.IsNotNil)
	for _, p := range f.procs {
		log, _ := os.ReadFile(p.logPath)
		c.Check(strings.Contains(string(log), demoKey) || strings.Contains(string(log), "hasty-key"), qt.IsFalse, qt.Commentf("%s logs a key", p.name))
	}
	checkOperatorListener(t, f)
}

// checkOperatorListener checks the pages of the daemons' operator listeners.
func checkOperatorListener(t *testing.T, f *fleet) {
	c := qt.New(t)
	tests := []struct{ id, path, want string }{
		{"entry-1", "/healthz", "ok"},
		{"entry-1", "/readyz", "ready"},
		{"entry-1", "/metrics", "bluebellcrank_requests_total "},
		{"entry-1", "/dump", "in-flight: "},
		{"bells-1", "/readyz", "ready"},
		{"bells-1", "/metrics", "bluebellcrank_revision 1"},
		{"bells-1", "/dump", "target-up: true"},
	}
	for _, tt := range tests {
		status, body, err := fasthttp.Get(nil, "http://"+f.operatorAddresses[tt.id]+tt.path)
		c.Assert(err, qt.IsNil)
		c.Check(status, qt.Equals, fasthttp.StatusOK, qt.Commentf("%s%s", tt.id, tt.path))
		c.Check(string(body), qt.Contains, tt.want)
	}
}

// checkSlowCaller sends an incomplete header: the entry must close the connection
// after its read timeout and go on serving other callers.
func checkSlowCaller(t *testing.T, f *fleet) {
	c := qt.New(t)
	must(t, f.addEntry("entry-2", "east", "--read-timeout=300ms"), f.publishInstances())
	must(t, f.waitReady("entry-2", "bells"))
	conn, err := net.Dial("tcp", f.instance("entry-2").Traffic)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET /bells/x HTTP/1.1\r\nHost: x\r\n"))
	c.Assert(err, qt.IsNil)
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	buffer := make([]byte, 1000)
	for err == nil {
		_, err = conn.Read(buffer)
	}
	c.Check(err.Error(), qt.Not(qt.Contains), "timeout")
	got, err := f.send("entry-2", "GET", "/bells/x", "", nil)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 200)
}

// TestRefusalsWhoseAnswerWasLost makes the platform store a batch of refusals but
// answer with an error: after the retry, each refusal must be listed once.
func TestRefusalsWhoseAnswerWasLost(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	startOneTarget(t, f)
	must(t, f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{LoseAnswers: 1, LosePrefix: "refusals/"}))
	first, _ := f.send("entry-1", "GET", "/organ/x", "", nil)
	must(t, waitFor(func() bool {
		s, err := queryStatus(f, f.instance("entry-1"))
		return err == nil && s.Pending == 0
	}, "no refusal is pending"))
	second, _ := f.send("entry-1", "GET", "/organ/x", "", nil)
	for _, id := range []string{first.refusalID, second.refusalID} {
		must(t, waitFor(func() bool { _, err := f.runOperatorCommand("explain", id); return err == nil }, "the refusal is stored"))
	}
	list, err := f.runOperatorCommand("refusals")
	c.Assert(err, qt.IsNil)
	c.Check(strings.Count(list, first.refusalID), qt.Equals, 1)
}

// TestRefusalsOfAKilledProcess kills an entry before it stores a refusal: the
// backup peer must store it.
func TestRefusalsOfAKilledProcess(t *testing.T) {
	f := testFleet(t)
	must(t, f.addTarget("bells-1", "bells", "east"), f.addEntry("entry-1", "east", "--refusal-interval=1m"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
	must(t, f.waitReady("entry-1", "bells"))
	got, _ := f.send("entry-1", "GET", "/organ/x", "", nil)
	must(t, waitFor(func() bool {
		s, err := queryStatus(f, f.instance("bells-1"))
		return err == nil && s.Kept > 0
	}, "a peer has a copy of the refusal"))
	// The new process of this instance has no copy of the refusal.
	f.proc("entry-1").kill()
	must(t, f.startEntry(f.instance("entry-1")))
	must(t, waitFor(func() bool {
		_, err := f.runOperatorCommand("explain", got.refusalID)
		return err == nil
	}, "the peer has stored the refusal"))
}

// TestSecondSignal checks that the first SIGTERM waits for an open stream and the
// second ends the process despite the stream.
func TestSecondSignal(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	must(t, f.addTarget("advisor-1", "advisor", "east", "--engine", "--token=50ms"), f.addEntry("entry-1", "east"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, f.waitReady("entry-1", "advisor"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.send("entry-1", "POST", "/advisor/x", `{"token":"long","max_tokens":100000}`, nil)
	}()
	must(t, waitFor(func() bool { return busiestAgent(f) != "" }, "the stream has started"))
	p := f.proc("entry-1")
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		c.Fatal("the entry ended at the first signal, with a stream open")
	case <-time.After(2 * time.Second):
	}
	p.signal(syscall.SIGTERM)
	c.Check(waitFor(func() bool { return !f.isAlive("entry-1") }, "the entry has ended after the second signal"), qt.IsNil)
	<-done
}

// TestRefusalsSurviveAnOutage refuses a request while the platform is down and
// then removes the entry: its backup peer must store the refusal.
func TestRefusalsSurviveAnOutage(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	startOneTarget(t, f)
	must(t, f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{Down: true}))
	got, _ := f.send("entry-1", "GET", "/organ/x", "", nil)
	c.Assert(got.reason, qt.Equals, "unknown-service")
	must(t, waitFor(func() bool {
		dump, err := queryStatus(f, f.instance("bells-1"))
		return err == nil && dump.Kept > 0
	}, "a peer has a copy of the refusal"))
	f.proc("entry-1").kill()
	f.removeInstance("entry-1")
	must(t, f.publishInstances(), f.postJSON("http://"+f.platformAddress+"/faults", platformFaults{}))
	must(t, waitFor(func() bool {
		_, err := f.runOperatorCommand("explain", got.refusalID)
		return err == nil
	}, "the peer has stored the refusal of the removed instance"))
}
