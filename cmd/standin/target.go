package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

type targetCmd struct {
	Listen  string        `default:"127.0.0.1:7100"`
	Engine  bool          `help:"Stream tokens, as a model engine does."`
	Token   time.Duration `default:"5ms" help:"Time to produce a token, or a plain answer."`
	Cold    int           `default:"4" help:"Concurrent requests that a cold target can process."`
	Warm    int           `default:"64" help:"Concurrent requests that a warm target can process."`
	WarmUp  int           `default:"64" help:"Completed requests until the target is warm."`
	Fragile bool          `help:"Crash when more requests run than the target can process."`
	RunLog  string        `help:"File to which each run is appended; kept across restarts."`
}

// targetFaults are the injected faults; POST /faults replaces all of them.
type targetFaults struct {
	// CrashOn crashes the process when a request's body contains this text.
	CrashOn string `json:"crash-on"`
	// Crossed is the number of requests that get the answer of another request.
	Crossed int `json:"crossed"`
	// CutAt is the number of bytes after which each answer is cut off, or 0.
	CutAt int `json:"cut-at"`
	// Cold makes the target cold again.
	Cold bool `json:"cold"`
	// Leaving makes the target report, with its load, that it is leaving.
	Leaving bool `json:"leaving"`
	// HangMs is the delay of each answer in milliseconds.
	HangMs int `json:"hang-ms"`
	// Burst is the number of stream events that follow each other without a gap.
	Burst int `json:"burst"`
	// Failing makes a plain service answer with status 500.
	Failing bool `json:"failing"`
}

// runRecord is one line of the run log, from which tests learn which requests ran.
// Boot identifies the process of the target. Label comes from the request body.
// Overloaded means that more requests were running than the target's capacity.
type runRecord struct {
	Time       time.Time `json:"time"`
	Boot       string    `json:"boot"`
	ID         string    `json:"id"`
	Path       string    `json:"path"`
	Label      string    `json:"token"`
	Running    int       `json:"running"`
	Capacity   int       `json:"bearable"`
	Overloaded bool      `json:"fell"`
}

// fakeTarget simulates a model engine or a plain service.
type fakeTarget struct {
	cmd       targetCmd
	bootID    string
	mu        sync.Mutex
	running   int
	completed int
	faults    targetFaults
	runLog    *os.File
}

// Run implements the subcommand.
func (c *targetCmd) Run() error {
	t := &fakeTarget{cmd: *c, bootID: strconv.FormatUint(rand.Uint64(), 36)}
	if c.RunLog != "" {
		f, err := os.OpenFile(c.RunLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		t.runLog = f
	}
	s := &fasthttp.Server{Handler: t.serve, MaxRequestBodySize: 64 << 20}
	return s.ListenAndServe(c.Listen)
}

func (t *fakeTarget) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/load":
		t.mu.Lock()
		defer t.mu.Unlock()
		writeJSON(ctx, map[string]any{"boot": t.bootID, "running": t.running, "leaving": t.faults.Leaving})
		return
	case "/faults":
		t.mu.Lock()
		defer t.mu.Unlock()
		t.faults = targetFaults{}
		if err := json.Unmarshal(ctx.PostBody(), &t.faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		}
		if t.faults.Cold {
			t.completed = 0
		}
		return
	}
	faults := t.beginRun(ctx)
	t.respond(ctx, faults)
}

// beginRun appends a record to the run log, before a fault can crash the process,
// and returns the faults that apply to this run. The capacity grows from Cold to
// Warm with the number of completed requests.
func (t *fakeTarget) beginRun(ctx *fasthttp.RequestCtx) targetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	capacity := t.cmd.Cold + (t.cmd.Warm-t.cmd.Cold)*min(t.completed, t.cmd.WarmUp)/t.cmd.WarmUp
	overloaded := t.running > capacity
	r := runRecord{
		Time: time.Now(), Boot: t.bootID, Path: string(ctx.Path()), Running: t.running, Capacity: capacity, Overloaded: overloaded,
		ID: string(ctx.Request.Header.Peek("X-Request-Id")), Label: parseLabel(ctx.PostBody()),
	}
	if t.runLog != nil {
		line, _ := json.Marshal(r)
		_, _ = t.runLog.Write(append(line, '\n'))
	}
	if overloaded && t.cmd.Fragile || t.faults.CrashOn != "" && strings.Contains(string(ctx.PostBody()), t.faults.CrashOn) {
		os.Exit(3)
	}
	faults := t.faults
	if t.faults.Crossed > 0 {
		t.faults.Crossed--
	}
	return faults
}

func (t *fakeTarget) endRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.completed++
}

// parseLabel returns the "token" field of a request body, a label of the request.
// Answers contain the label, so that tests can tell the answers to different
// requests apart.
func parseLabel(body []byte) string {
	var r struct {
		Label string `json:"token"`
	}
	_ = json.Unmarshal(body, &r)
	return r.Label
}

// parseMaxTokens returns the number of tokens that a request body asks for, 8 by
// default.
func parseMaxTokens(body []byte) int {
	r := struct {
		MaxTokens int `json:"max_tokens"`
	}{MaxTokens: 8}
	_ = json.Unmarshal(body, &r)
	return r.MaxTokens
}

// streamEvent returns one event of a streamed answer. The event depends only on the
// label of the request and the index, so that a caller can check it.
func streamEvent(label string, index int) string {
	return fmt.Sprintf("data: {\"token\":%q,\"n\":%d}\n\n", label, index)
}

// streamedAnswer returns the complete streamed answer of an engine.
func streamedAnswer(label string, count int) string {
	var b strings.Builder
	for i := range count {
		b.WriteString(streamEvent(label, i))
	}
	return b.String() + doneEvent
}

const doneEvent = "data: [DONE]\n\n"

// plainAnswer returns the complete answer of a plain service.
func plainAnswer(label string) string { return fmt.Sprintf("{\"done\":%q}\n", label) }

// respond writes the answer to a request under the given faults.
func (t *fakeTarget) respond(ctx *fasthttp.RequestCtx, faults targetFaults) {
	body := ctx.PostBody()
	label, count := parseLabel(body), parseMaxTokens(body)
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if faults.Crossed > 0 {
		label, id = "another", "another"
	}
	ctx.Response.Header.Set("X-Request-Id", id)
	time.Sleep(time.Duration(faults.HangMs) * time.Millisecond)
	if string(ctx.Path()) == "/empty" {
		defer t.endRun()
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	if !t.cmd.Engine {
		defer t.endRun()
		time.Sleep(t.cmd.Token)
		ctx.SetContentType("application/json")
		if faults.Failing {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		text := plainAnswer(label)
		ctx.SetBodyString(text)
		if faults.CutAt > 0 && faults.CutAt < len(text) {
			cutPlainAnswer(ctx, id, text, faults.CutAt)
		}
		return
	}
	if faults.CutAt > 0 {
		defer t.endRun()
		cutStream(ctx, id, streamedAnswer(label, count)[:faults.CutAt])
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer t.endRun()
		t.writeStream(w, label, count, faults)
	})
}

// writeStream writes count events and the final event, and waits the time of one
// token before each event or, with the fault Burst, before each burst of events.
func (t *fakeTarget) writeStream(w *bufio.Writer, label string, count int, faults targetFaults) {
	for i := range count {
		if i%max(faults.Burst, 1) == 0 {
			time.Sleep(t.cmd.Token)
		}
		event := streamEvent(label, i)
		if _, err := w.WriteString(event); err != nil || w.Flush() != nil {
			return
		}
	}
	_, _ = w.WriteString(doneEvent)
	_ = w.Flush()
}
