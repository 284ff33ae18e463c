package main

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/state/target"
)

type platformCmd struct {
	Listen string `default:"127.0.0.1:7000"`
}

// platformFaults are set at run time by POST /faults.
type platformFaults struct {
	Down        bool   `json:"down"`
	SlowMs      int    `json:"slow-ms"`
	LoseAnswers int    `json:"lose-answers"`
	LosePrefix  string `json:"lose-prefix"`
	StaleReads  int    `json:"stale-reads"`
	ListLagMs   int    `json:"list-lag-ms"`
}

type storedObject struct {
	value   []byte
	version int64
	before  *storedObject
}

type listAt struct {
	at   time.Time
	list []target.Instance
}

// platform is the object API and the instance list, in memory.
type platform struct {
	mu      sync.Mutex
	changed *sync.Cond
	objects map[string]*storedObject
	version int64
	lists   []listAt
	faults  platformFaults
	reads   int
	writes  int
}

// Run implements the subcommand.
func (c *platformCmd) Run() error {
	p := &platform{objects: map[string]*storedObject{}}
	p.changed = sync.NewCond(&p.mu)
	s := &fasthttp.Server{Handler: p.serve, MaxRequestBodySize: 64 << 20, StreamRequestBody: false}
	return s.ListenAndServe(c.Listen)
}

func (p *platform) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/faults" {
		p.setFaults(ctx)
		return
	}
	if path == "/calls" {
		p.mu.Lock()
		defer p.mu.Unlock()
		answerJSON(ctx, map[string]int{"reads": p.reads, "writes": p.writes})
		return
	}
	if ctx.IsPost() && path == "/instances" {
		p.setList(ctx)
		return
	}
	p.mu.Lock()
	f := p.faults
	if ctx.IsGet() {
		p.reads++
	} else {
		p.writes++
	}
	p.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
	if f.Down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	switch {
	case path == "/instances":
		p.list(ctx)
	case path == "/objects":
		p.keys(ctx)
	case strings.HasPrefix(path, "/watch/"):
		p.watch(ctx, strings.TrimPrefix(path, "/watch/"))
	case strings.HasPrefix(path, "/objects/"):
		p.object(ctx, strings.TrimPrefix(path, "/objects/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *platform) setFaults(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = platformFaults{}
	if err := json.Unmarshal(ctx.PostBody(), &p.faults); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
	p.changed.Broadcast()
}

func (p *platform) setList(ctx *fasthttp.RequestCtx) {
	var list []target.Instance
	if err := json.Unmarshal(ctx.PostBody(), &list); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, listAt{at: time.Now(), list: list})
}

// list answers with the list as it was a lag ago.
func (p *platform) list(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := time.Now().Add(-time.Duration(p.faults.ListLagMs) * time.Millisecond)
	out := []target.Instance{}
	for n, l := range p.lists {
		if n == 0 || !l.at.After(old) {
			out = l.list
		}
	}
	answerJSON(ctx, out)
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(ctx.Response.Body()), 36))
	if string(ctx.Request.Header.Peek("If-None-Match")) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
	ctx.Response.Header.Set("ETag", tag)
}

func (p *platform) keys(ctx *fasthttp.RequestCtx) {
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []string{}
	for k := range p.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	answerJSON(ctx, out)
}

func (p *platform) watch(ctx *fasthttp.RequestCtx, key string) {
	after, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	wait, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("wait-ms")))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(until), p.changed.Broadcast)
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		o := p.objects[key]
		if p.faults.Down {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		if o != nil && o.before != nil && p.faults.StaleReads > 0 {
			p.faults.StaleReads--
			answerObject(ctx, o.before)
			return
		}
		if o != nil && o.version > after || !time.Now().Before(until) {
			answerObject(ctx, o)
			return
		}
		p.changed.Wait()
	}
}

func (p *platform) object(ctx *fasthttp.RequestCtx, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[key]
	if ctx.IsGet() {
		if p.faults.StaleReads > 0 && o != nil && o.before != nil {
			p.faults.StaleReads--
			o = o.before
		}
		answerObject(ctx, o)
		return
	}
	if !holds(ctx, o) {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	if ctx.IsDelete() {
		delete(p.objects, key)
		return
	}
	p.version++
	next := &storedObject{value: append([]byte(nil), ctx.PostBody()...), version: p.version}
	if o != nil {
		next.before = &storedObject{value: o.value, version: o.version}
	}
	p.objects[key] = next
	p.changed.Broadcast()
	if p.faults.LoseAnswers > 0 && strings.HasPrefix(key, p.faults.LosePrefix) {
		p.faults.LoseAnswers--
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	answerObject(ctx, next)
}

// holds checks If-None-Match and If-Match.
func holds(ctx *fasthttp.RequestCtx, o *storedObject) bool {
	if string(ctx.Request.Header.Peek("If-None-Match")) == "*" {
		return o == nil
	}
	want := string(ctx.Request.Header.Peek("If-Match"))
	return o != nil && want == strconv.Quote(strconv.FormatInt(o.version, 10))
}

func answerObject(ctx *fasthttp.RequestCtx, o *storedObject) {
	if o == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set("ETag", strconv.Quote(strconv.FormatInt(o.version, 10)))
	ctx.SetBody(o.value)
}

func answerJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
