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
	Engine  bool          `help:"Stream tokens."`
	Token   time.Duration `default:"5ms" help:"Time for a token, or for a plain answer."`
	Cold    int           `default:"4" help:"Requests borne just after the start."`
	Warm    int           `default:"64" help:"Requests borne when warm."`
	WarmUp  int           `default:"64" help:"Requests that it takes to become warm."`
	Fragile bool          `help:"Fall over when more runs than is borne."`
	RunLog  string        `help:"File to which each run is appended; it outlives the process."`
}

// targetFaults are set at run time by POST /faults.
type targetFaults struct {
	CrashOn string `json:"crash-on"`
	Crossed int    `json:"crossed"`
	CutAt   int    `json:"cut-at"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
	HangMs  int    `json:"hang-ms"`
	Burst   int    `json:"burst"`
	Failing bool   `json:"failing"`
}

// run is one line of the run log: the truth about what ran.
type run struct {
	Time     time.Time `json:"time"`
	Boot     string    `json:"boot"`
	ID       string    `json:"id"`
	Path     string    `json:"path"`
	Token    string    `json:"token"`
	Running  int       `json:"running"`
	Bearable int       `json:"bearable"`
	Fell     bool      `json:"fell"`
}

// fakeTarget is a model engine or a plain service.
type fakeTarget struct {
	cmd     targetCmd
	boot    string
	mu      sync.Mutex
	running int
	done    int
	faults  targetFaults
	log     *os.File
}

// Run implements the subcommand.
func (c *targetCmd) Run() error {
	t := &fakeTarget{cmd: *c, boot: strconv.FormatUint(rand.Uint64(), 36)}
	if c.RunLog != "" {
		f, err := os.OpenFile(c.RunLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		t.log = f
	}
	s := &fasthttp.Server{Handler: t.serve, MaxRequestBodySize: 64 << 20}
	return s.ListenAndServe(c.Listen)
}

func (t *fakeTarget) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/load":
		t.mu.Lock()
		defer t.mu.Unlock()
		answerJSON(ctx, map[string]any{"boot": t.boot, "running": t.running, "leaving": t.faults.Leaving})
		return
	case "/faults":
		t.mu.Lock()
		defer t.mu.Unlock()
		t.faults = targetFaults{}
		if err := json.Unmarshal(ctx.PostBody(), &t.faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		}
		if t.faults.Cold {
			t.done = 0
		}
		return
	}
	f := t.begin(ctx)
	t.answer(ctx, f)
}

// begin writes the run log before anything else happens.
func (t *fakeTarget) begin(ctx *fasthttp.RequestCtx) targetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	bearable := t.cmd.Cold + (t.cmd.Warm-t.cmd.Cold)*min(t.done, t.cmd.WarmUp)/t.cmd.WarmUp
	fell := t.running > bearable
	r := run{
		Time: time.Now(), Boot: t.boot, Path: string(ctx.Path()), Running: t.running, Bearable: bearable, Fell: fell,
		ID: string(ctx.Request.Header.Peek("X-Request-Id")), Token: tokenOf(ctx.PostBody()),
	}
	if t.log != nil {
		line, _ := json.Marshal(r)
		_, _ = t.log.Write(append(line, '\n'))
	}
	if fell && t.cmd.Fragile || t.faults.CrashOn != "" && strings.Contains(string(ctx.PostBody()), t.faults.CrashOn) {
		os.Exit(3)
	}
	f := t.faults
	if t.faults.Crossed > 0 {
		t.faults.Crossed--
	}
	return f
}

func (t *fakeTarget) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.done++
}

// tokenOf is what makes one request's answer differ from another's.
func tokenOf(body []byte) string {
	var r struct {
		Token string `json:"token"`
	}
	_ = json.Unmarshal(body, &r)
	return r.Token
}

func tokensOf(body []byte) int {
	r := struct {
		MaxTokens int `json:"max_tokens"`
	}{MaxTokens: 8}
	_ = json.Unmarshal(body, &r)
	return r.MaxTokens
}

// chunk is one event of a streamed answer; a caller can work out each.
func chunk(token string, n int) string {
	return fmt.Sprintf("data: {\"token\":%q,\"n\":%d}\n\n", token, n)
}

// wholeAnswer is the whole stream of an engine.
func wholeAnswer(token string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(chunk(token, i))
	}
	return b.String() + lastChunk
}

const lastChunk = "data: [DONE]\n\n"

// plainAnswer is the whole answer of a plain service.
func plainAnswer(token string) string { return fmt.Sprintf("{\"done\":%q}\n", token) }

func (t *fakeTarget) answer(ctx *fasthttp.RequestCtx, f targetFaults) {
	body := ctx.PostBody()
	token, n := tokenOf(body), tokensOf(body)
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if f.Crossed > 0 {
		token, id = "another", "another"
	}
	ctx.Response.Header.Set("X-Request-Id", id)
	time.Sleep(time.Duration(f.HangMs) * time.Millisecond)
	if string(ctx.Path()) == "/empty" {
		defer t.end()
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	if !t.cmd.Engine {
		defer t.end()
		time.Sleep(t.cmd.Token)
		ctx.SetContentType("application/json")
		if f.Failing {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		text := plainAnswer(token)
		ctx.SetBodyString(text)
		if f.CutAt > 0 && f.CutAt < len(text) {
			cutPlain(ctx, id, text, f.CutAt)
		}
		return
	}
	if f.CutAt > 0 {
		defer t.end()
		cutStream(ctx, id, wholeAnswer(token, n)[:f.CutAt])
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer t.end()
		t.stream(w, token, n, f)
	})
}

// stream writes n tokens, burst of them at a time.
func (t *fakeTarget) stream(w *bufio.Writer, token string, n int, f targetFaults) {
	for i := range n {
		if i%max(f.Burst, 1) == 0 {
			time.Sleep(t.cmd.Token)
		}
		c := chunk(token, i)
		if _, err := w.WriteString(c); err != nil || w.Flush() != nil {
			return
		}
	}
	_, _ = w.WriteString(lastChunk)
	_ = w.Flush()
}
