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

func TestCallersAreToldWhy(t *testing.T) {
	f := testFleet(t)
	must(t, f.addTarget("bells-1", "bells", "east"), f.addEntry("entry-1", "east", "--max-body=2000"), f.publish())
	config := strings.ReplaceAll(withKey(callerConfig), "HASTY", digestOf("hasty-key"))
	push(t, f, map[string]string{"10.yaml": config})
	must(t, f.ready("entry-1", "bells"))
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
		{"first order", "POST", "/bells/ring", `{"token":"a"}`, key, 200, ""},
		{"key with another body", "POST", "/bells/ring", `{"token":"b"}`, key, 422, "idempotency-key-reused"},
		{"first of the hasty", "GET", "/bells/x", "", map[string]string{"X-Api-Key": "hasty-key"}, 200, ""},
		{"second of the hasty", "GET", "/bells/x", "", map[string]string{"X-Api-Key": "hasty-key"}, 429, "rate-limited"},
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
				c.Check(got.id, qt.Not(qt.Equals), "")
			}
		})
	}
	t.Run("operators see them", func(t *testing.T) { operatorsSee(t, f) })
	t.Run("a slow caller", func(t *testing.T) { slowCaller(t, f) })
}

// operatorsSee reads the refusals back with the operators' commands.
func operatorsSee(t *testing.T, f *fleet) {
	c := qt.New(t)
	got, _ := f.send("entry-1", "GET", "/vault/secret", "", nil)
	var out string
	must(t, waitFor(func() bool {
		var err error
		out, err = f.operator("explain", got.id)
		return err == nil
	}, "the refusal is saved"))
	c.Check(out, qt.Contains, `account "parish", service "vault"`)
	c.Check(out, qt.Contains, "the account may not use the service")
	list, err := f.operator("refusals", "--account=parish")
	c.Assert(err, qt.IsNil)
	c.Check(list, qt.Contains, got.id)
	c.Check(list, qt.Contains, "0 lost for want of room")
	dump, err := f.operator("dump", "bells-1")
	c.Assert(err, qt.IsNil)
	c.Check(dump, qt.Contains, "target-up: true")
	for _, secret := range []string{demoKey, "hasty-key"} {
		c.Check(strings.Contains(list+dump+out, secret), qt.IsFalse)
	}
	_, err = f.operator("dump", "nobody")
	c.Check(err, qt.IsNotNil)
	for _, p := range f.procs {
		log, _ := os.ReadFile(p.log)
		c.Check(strings.Contains(string(log), demoKey) || strings.Contains(string(log), "hasty-key"), qt.IsFalse, qt.Commentf("%s logs a key", p.name))
	}
	operatorListener(t, f)
}

// operatorListener asks each daemon's listener for operators.
func operatorListener(t *testing.T, f *fleet) {
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
		status, body, err := fasthttp.Get(nil, "http://"+f.operators[tt.id]+tt.path)
		c.Assert(err, qt.IsNil)
		c.Check(status, qt.Equals, fasthttp.StatusOK, qt.Commentf("%s%s", tt.id, tt.path))
		c.Check(string(body), qt.Contains, tt.want)
	}
}

// slowCaller sends a header and no more; others are served meanwhile, and its
// connection is ended.
func slowCaller(t *testing.T, f *fleet) {
	c := qt.New(t)
	must(t, f.addEntry("entry-2", "east", "--read-timeout=300ms"), f.publish())
	must(t, f.ready("entry-2", "bells"))
	conn, err := net.Dial("tcp", f.instance("entry-2").Traffic)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET /bells/x HTTP/1.1\r\nHost: x\r\n"))
	c.Assert(err, qt.IsNil)
	_ = conn.SetReadDeadline(time.Now().Add(startTimeout))
	buffer := make([]byte, 1000)
	for err == nil {
		_, err = conn.Read(buffer)
	}
	c.Check(err.Error(), qt.Not(qt.Contains), "timeout")
	got, err := f.send("entry-2", "GET", "/bells/x", "", nil)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 200)
}

func TestRefusalsWhoseAnswerWasLost(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	oneBell(t, f)
	must(t, f.post("http://"+f.platform+"/faults", platformFaults{LoseAnswers: 1, LosePrefix: "refusals/"}))
	first, _ := f.send("entry-1", "GET", "/organ/x", "", nil)
	must(t, waitFor(func() bool {
		s, err := ask(f, f.instance("entry-1"))
		return err == nil && s.Pending == 0
	}, "the batch counts as written"))
	second, _ := f.send("entry-1", "GET", "/organ/x", "", nil)
	for _, id := range []string{first.id, second.id} {
		must(t, waitFor(func() bool { _, err := f.operator("explain", id); return err == nil }, "the refusal is saved"))
	}
	list, err := f.operator("refusals")
	c.Assert(err, qt.IsNil)
	c.Check(strings.Count(list, first.id), qt.Equals, 1)
}

func TestRefusalsOfAKilledProcess(t *testing.T) {
	f := testFleet(t)
	must(t, f.addTarget("bells-1", "bells", "east"), f.addEntry("entry-1", "east", "--refusal-interval=1m"), f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
	must(t, f.ready("entry-1", "bells"))
	got, _ := f.send("entry-1", "GET", "/organ/x", "", nil)
	must(t, waitFor(func() bool {
		s, err := ask(f, f.instance("bells-1"))
		return err == nil && s.Kept > 0
	}, "a peer keeps the refusal"))
	// The next one under this name knows nothing of it.
	f.proc("entry-1").kill()
	must(t, f.startEntry(f.instance("entry-1")))
	must(t, waitFor(func() bool {
		_, err := f.operator("explain", got.id)
		return err == nil
	}, "the peer wrote the refusal"))
}

func TestSecondSignal(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	must(t, f.addTarget("advisor-1", "advisor", "east", "--engine", "--token=50ms"), f.addEntry("entry-1", "east"), f.publish())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, f.ready("entry-1", "advisor"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.send("entry-1", "POST", "/advisor/x", `{"token":"long","max_tokens":100000}`, nil)
	}()
	must(t, waitFor(func() bool { return busiest(f) != "" }, "the stream has begun"))
	p := f.proc("entry-1")
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		c.Fatal("the first signal cut the stream off")
	case <-time.After(2 * time.Second):
	}
	p.signal(syscall.SIGTERM)
	c.Check(waitFor(func() bool { return !f.alive("entry-1") }, "the second signal ends it"), qt.IsNil)
	<-done
}

func TestRefusalsSurviveAnOutage(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	oneBell(t, f)
	must(t, f.post("http://"+f.platform+"/faults", platformFaults{Down: true}))
	got, _ := f.send("entry-1", "GET", "/organ/x", "", nil)
	c.Assert(got.reason, qt.Equals, "unknown-service")
	must(t, waitFor(func() bool {
		dump, err := ask(f, f.instance("bells-1"))
		return err == nil && dump.Kept > 0
	}, "a peer keeps the refusal"))
	f.proc("entry-1").kill()
	f.remove("entry-1")
	must(t, f.publish(), f.post("http://"+f.platform+"/faults", platformFaults{}))
	must(t, waitFor(func() bool {
		_, err := f.operator("explain", got.id)
		return err == nil
	}, "the peer wrote the refusal of a process that is gone"))
}
