package rankagent

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/coordination/mapswitch"
	"bluebellcrank/internal/state/expert"
	"bluebellcrank/platform"
)

// rawEngine is the engine of one rank on raw connections.
type rawEngine struct {
	address string
	// losesArms has it drop the connections of arms; copies has its first connection write its
	// first answer once more where the next one is due.
	losesArms, copies bool

	mu                              sync.Mutex
	prepared, armed, held, released int64
	reads                           int
	bothRead                        chan struct{}
}

func newRawEngine(t *testing.T) *rawEngine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	e := &rawEngine{address: l.Addr().String(), bothRead: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *rawEngine) report() string {
	text := fmt.Sprintf(`{"group":{"name":"g","epoch":1,"state":"open"},"size":3,"step":10,"expertMap":1,"preloaded":%d,"enabled":%d`, e.prepared, e.armed)
	if e.held != 0 {
		text += fmt.Sprintf(`,"held":%d`, e.held)
	}
	return text + "}"
}

func (e *rawEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, copied, number := bufio.NewReader(conn), "", 0
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		e.mu.Lock()
		status, text, extra := 202, "", ""
		if request.Method == http.MethodGet {
			status = 200
			if e.reads++; e.reads <= 2 {
				number = e.reads
				isLast := number == 2
				e.mu.Unlock()
				if isLast {
					close(e.bothRead)
					time.Sleep(30 * time.Millisecond) // its connection is idle last
				} else {
					<-e.bothRead
				}
				e.mu.Lock()
			}
			text = e.report()
			if e.copies && e.armed != 0 && number == 2 {
				extra = "Connection: close\r\n"
			}
		} else {
			status = e.order(body)
		}
		e.mu.Unlock()
		if status == 0 {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(text), text)
		_, _ = io.WriteString(conn, copied+answer)
		copied = ""
		if e.copies && number == 1 {
			copied = answer
		}
		if extra != "" {
			return
		}
	}
}

func (e *rawEngine) state() (released, armed int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.released, e.armed
}

// order carries out an order. The caller holds e.mu.
func (e *rawEngine) order(body []byte) int {
	var o struct {
		Operation     string
		Version, Step int64
	}
	if json.Unmarshal(body, &o) != nil {
		return 400
	}
	switch o.Operation {
	case "prepare":
		if e.armed != 0 || o.Version <= e.prepared {
			return 409
		}
		e.prepared = o.Version
	case "arm":
		if e.losesArms {
			return 0
		}
		if e.armed != 0 || o.Version != e.prepared {
			return 409
		}
		e.armed = o.Version
	case "disarm":
		e.armed = 0
	case "retention":
		e.held = o.Step
	case "go":
		e.released, e.held = e.held, 0
	}
	return 202
}

// TestCopiedReportSplitsNoGroup aborts a change while one rank is armed, whose engine
// writes an earlier report once more.
func TestCopiedReportSplitsNoGroup(t *testing.T) {
	for _, copies := range []bool{false, true} {
		t.Run(fmt.Sprint("copies ", copies), func(t *testing.T) {
			c := qt.New(t)
			raw := []*rawEngine{newRawEngine(t), newRawEngine(t), newRawEngine(t)}
			raw[2].losesArms, raw[1].copies = true, copies
			var engines []*platform.Engine
			for _, e := range raw {
				engine := platform.NewEngine(e.address, time.Second)
				defer engine.Close()
				engines = append(engines, engine)
				var reads sync.WaitGroup // two leaders sample at once
				for range 2 {
					reads.Go(func() { _, _ = engine.Report(t.Context()) })
				}
				reads.Wait()
				time.Sleep(20 * time.Millisecond)
			}
			now := time.Now()
			limits := mapswitch.Limits{PrepareTimeout: time.Second, ArmTimeout: time.Second}
			s := mapswitch.New(1, 5, mapswitch.Roles{Coordinator: 0, Holder: 2, Absent: mapswitch.NoRank}, 3, 0, limits, now)
			for range 60 {
				if s.Ended() {
					break
				}
				for _, o := range s.Orders(now) {
					// As Agent.sendToEngine does it.
					err := applyOrder(t.Context(), engines[o.Rank], orderRequest{Order: o, Epoch: 1}, expert.Layout{{{0}}})
					answered := err == nil || errors.Is(err, platform.ErrOrderRefused)
					report, err := engines[o.Rank].Report(t.Context())
					t.Logf("%s rank %d %s v%d step %d: answered %v, prepared %d armed %d held %d, %v", s.Stage(), o.Rank, o.Kind, o.Version, o.Step, answered, report.Prepared, report.Armed, report.Held, err)
					if err != nil {
						s.RecordMissingReport(o)
					} else {
						s.RecordReport(o, report, answered, now)
					}
					if released, _ := raw[2].state(); released != 0 {
						var armed []int64
						for _, e := range raw {
							_, version := e.state()
							armed = append(armed, version)
						}
						c.Assert(armed[0] == armed[1] && armed[1] == armed[2], qt.IsTrue, qt.Commentf("step %d released while the ranks are armed as %v", released, armed))
					}
				}
				now = now.Add(100 * time.Millisecond)
			}
			c.Check(s.Ended(), qt.IsTrue)
		})
	}
}
