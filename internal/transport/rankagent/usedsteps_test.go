package rankagent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/state/expert"
	"bluebellcrank/internal/state/routing"
	"bluebellcrank/platform"
)

// TestLeaderBoundsUsedSteps checks that a leader begins no change before it can choose a
// step that no other process may have used.
func TestLeaderBoundsUsedSteps(t *testing.T) {
	sample := func(acquisition, epoch, step int64) *sampleReply {
		return &sampleReply{Granted: true, Acquisition: acquisition, Report: &expert.RankReport{Epoch: epoch, Step: step}}
	}
	before := []*sampleReply{sample(1, 1, 10), sample(2, 1, 10)}
	tests := []struct {
		name    string
		leader  *leader
		samples []*sampleReply
		used    int64
		want    bool
	}{
		{"a pass has begun since", nil, []*sampleReply{sample(1, 1, 11), sample(2, 1, 11)}, 0, true},
		{"no pass has begun since", nil, []*sampleReply{sample(1, 1, 10), sample(2, 1, 10)}, 0, false},
		{"only some ranks report the next pass", nil, []*sampleReply{sample(1, 1, 10), sample(2, 1, 11)}, 0, true},
		{"its own change used a later step", nil, []*sampleReply{sample(1, 1, 11), sample(2, 1, 11)}, 18, false},
		{"another leader has had a lock", nil, []*sampleReply{sample(1, 1, 11), sample(3, 1, 11)}, 0, false},
		{"an agent does not tell its acquisition", nil, []*sampleReply{sample(1, 1, 11), sample(0, 1, 11)}, 0, false},
		{"the group has formed anew", nil, []*sampleReply{sample(1, 2, 11), sample(2, 2, 11)}, 0, false},
		{"a new process", newLeader(nil), []*sampleReply{sample(1, 1, 11), sample(2, 1, 11)}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l := newLeader(nil)
			l.samples = before
			l.boundUsedSteps(1)
			c.Assert(l.usedSteps.AllowsChange(l.currentStep()), qt.IsFalse)
			if tt.leader != nil {
				l = tt.leader
			}
			l.usedSteps.Record(tt.used)
			l.samples = tt.samples
			l.boundUsedSteps(tt.samples[0].Report.Epoch)
			c.Check(l.usedSteps.AllowsChange(l.currentStep()), qt.Equals, tt.want)
		})
	}
}

// TestCopiedReportDoesNotBoundUsedSteps guards against a step that another leader has used.
func TestCopiedReportDoesNotBoundUsedSteps(t *testing.T) {
	// A copy is on every second sample, after an even or an odd number of them.
	for _, samples := range []int{2, 3} {
		t.Run(fmt.Sprint(samples, " samples before"), func(t *testing.T) { checkUsedSteps(t, samples) })
	}
}

// copyingEngine serves an engine that writes each answer once more where the next one is due, and
// returns its address.
func copyingEngine(c *qt.C, step *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r, copied := bufio.NewReader(conn), ""
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			text := fmt.Sprintf(`{"group":{"name":"g","epoch":1,"state":"open"},"size":1,"step":%d}`, step.Load())
			if strings.HasSuffix(request.URL.Path, "picked") {
				text = `{"expertMap":{"version":0,"experts":[[0]]},"counts":[1]}`
			}
			answer := fmt.Sprintf("HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			_, _ = io.WriteString(conn, copied+answer)
			copied = answer
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// checkUsedSteps has another leader hold the lock after a number of samples.
func checkUsedSteps(t *testing.T, samples int) {
	c := qt.New(t)
	var step atomic.Int64
	step.Store(10)
	a := &Agent{log: hclog.NewNullLogger(), engine: platform.NewEngine(copyingEngine(c, &step), time.Second)}
	defer a.engine.Close()
	a.settings.Name = "leader"
	leader := newLeader(a)
	leader.profile = &routing.EngineProfile{LayerSets: 1, Experts: 1}
	leader.addresses, leader.self.Group = []string{"self"}, "g"
	for range samples {
		c.Assert(leader.sampleAll(t.Context()), qt.IsTrue)
	}
	const otherRank, steps = 5, 20
	c.Assert(a.lock.acquire("other", otherRank, false, time.Now().Add(time.Hour)).granted, qt.IsTrue)
	step.Add(steps)
	for range 2 {
		c.Assert(leader.sampleAll(t.Context()), qt.IsTrue)
	}
	if leader.currentStep() != step.Load() {
		c.Assert(leader.sampleAll(t.Context()), qt.IsTrue)
	}
	c.Assert(leader.currentStep(), qt.Equals, step.Load())
	c.Check(leader.usedSteps.AllowsChange(leader.currentStep()), qt.IsFalse, qt.Commentf("steps up to %d count as used", leader.usedSteps.Last()))
	step.Add(1)
	for range 3 {
		c.Assert(leader.sampleAll(t.Context()), qt.IsTrue)
	}
	c.Check(leader.usedSteps.AllowsChange(leader.currentStep()), qt.IsTrue)
}
