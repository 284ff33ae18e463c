package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAnswersOutlastPausesOfTheirAgent pauses the only agent of a service while it serves
// requests, for longer than any time-out between entry and agent.
func TestAnswersOutlastPausesOfTheirAgent(t *testing.T) {
	const (
		pause    = 3 * time.Second
		requests = 3 // of each kind
		tokens   = 60
	)
	f := testFleet(t)
	must(t, f.addTarget("advisor-1", "advisor", "east", "--engine", tokenTimeFlag))
	must(t, f.addTarget("bells-1", "bells", "east", "--token=800ms"))
	must(t, f.addEntry("entry-1", "east"), f.publishInstances())
	push(t, f, map[string]string{"10.yaml": withKey(testConfig)})
	must(t, f.waitReady("entry-1", "advisor", "bells"))
	tests := []struct {
		name, method, path, body string
		isKeyed                  bool
		want                     func(label string) string
	}{
		{"stream", "POST", "/advisor/v1/completions", `{"token":%q,"max_tokens":60}`, false, func(label string) string { return wantStream(label, tokens) }},
		{"order", "POST", "/bells/ring", `{"token":%q}`, true, plainAnswer},
		{"read", "GET", "/bells/tower", `{"token":%q}`, false, plainAnswer},
	}
	var all sync.WaitGroup
	got := make([][requests]reply, len(tests))
	label := func(name string, n int) string { return fmt.Sprintf("%s-%d", name, n) }
	for n, tt := range tests {
		for k := range requests {
			all.Go(func() {
				headers := map[string]string{}
				if tt.isKeyed {
					headers["Idempotency-Key"] = label(tt.name, k)
				}
				got[n][k], _ = f.send("entry-1", tt.method, tt.path, fmt.Sprintf(tt.body, label(tt.name, k)), headers)
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, id := range []string{"advisor-1", "bells-1"} {
		f.proc(id).signal(syscall.SIGSTOP)
		defer f.proc(id).signal(syscall.SIGCONT)
	}
	time.Sleep(pause)
	for _, id := range []string{"advisor-1", "bells-1"} {
		f.proc(id).signal(syscall.SIGCONT)
	}
	all.Wait()
	c := qt.New(t)
	for n, tt := range tests {
		for k, r := range got[n] {
			c.Check(r.err, qt.IsNil, qt.Commentf(tt.name))
			c.Check(r.status, qt.Equals, 200, qt.Commentf("%s: %s", tt.name, r.reason))
			c.Check(r.body == tt.want(label(tt.name, k)), qt.IsTrue, qt.Commentf("%s: %d bytes", tt.name, len(r.body)))
		}
	}
}
