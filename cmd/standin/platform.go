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

// platformFaults are the injected faults; POST /faults replaces all of them.
type platformFaults struct {
	// Down makes every API call fail with status 503.
	Down bool `json:"down"`
	// SlowMs delays every API call.
	SlowMs int `json:"slow-ms"`
	// LoseAnswers is the number of further writes of keys under LosePrefix that are
	// applied, but answered with status 503.
	LoseAnswers int    `json:"lose-answers"`
	LosePrefix  string `json:"lose-prefix"`
	// StaleReads is the number of further reads and watches that return the previous
	// version of an object.
	StaleReads int `json:"stale-reads"`
	// ListLagMs is the delay in milliseconds after which a published instance list
	// is served.
	ListLagMs int `json:"list-lag-ms"`
}

// storedObject is one version of an object and the version before it.
type storedObject struct {
	value    []byte
	version  int64
	previous *storedObject
}

// publishedList is an instance list and the time at which it was published.
type publishedList struct {
	publishedAt time.Time
	instances   []target.Instance
}

// platform serves the object API and the instance list from memory.
type platform struct {
	mu      sync.Mutex
	changed *sync.Cond
	objects map[string]*storedObject
	version int64
	lists   []publishedList
	// generation counts the restores, and copy is the one that the next restore uses.
	generation int64
	copy       *storeCopy
	// watches changes when all watches that wait are ended.
	watches int
	faults  platformFaults
	// readCount and writeCount count the GET calls and all other calls of the object
	// API and the instance list.
	readCount  int
	writeCount int
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
	if ctx.IsPost() && path == "/copy" {
		p.takeCopy()
		return
	}
	if ctx.IsPost() && path == "/restore" {
		p.restore(ctx)
		return
	}
	if path == "/calls" {
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(ctx, map[string]int{"reads": p.readCount, "writes": p.writeCount})
		return
	}
	if ctx.IsPost() && path == "/instances" {
		p.setInstances(ctx)
		return
	}
	p.mu.Lock()
	faults := p.faults
	if ctx.IsGet() {
		p.readCount++
	} else {
		p.writeCount++
	}
	p.mu.Unlock()
	time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
	if faults.Down {
		defer p.lockFor(ctx)()
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	switch {
	case path == "/instances":
		p.serveInstances(ctx)
	case path == "/objects":
		p.serveKeys(ctx)
	case strings.HasPrefix(path, "/watch/"):
		p.serveWatch(ctx, strings.TrimPrefix(path, "/watch/"))
	case strings.HasPrefix(path, "/objects/"):
		p.serveObject(ctx, strings.TrimPrefix(path, "/objects/"))
	default:
		defer p.lockFor(ctx)()
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

func (p *platform) setInstances(ctx *fasthttp.RequestCtx) {
	var instances []target.Instance
	if err := json.Unmarshal(ctx.PostBody(), &instances); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, publishedList{publishedAt: time.Now(), instances: instances})
}

// serveInstances answers with the instance list that was current ListLagMs ago. The
// first published list is served without this delay.
func (p *platform) serveInstances(ctx *fasthttp.RequestCtx) {
	defer p.lockFor(ctx)()
	cutoff := time.Now().Add(-time.Duration(p.faults.ListLagMs) * time.Millisecond)
	instances := []target.Instance{}
	for n, l := range p.lists {
		if n == 0 || !l.publishedAt.After(cutoff) {
			instances = l.instances
		}
	}
	writeJSON(ctx, instances)
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(ctx.Response.Body()), 36))
	if string(ctx.Request.Header.Peek("If-None-Match")) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
	ctx.Response.Header.Set("ETag", tag)
}

// serveKeys lists the keys of objects under a prefix.
func (p *platform) serveKeys(ctx *fasthttp.RequestCtx) {
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	defer p.lockFor(ctx)()
	keys := []string{}
	for k := range p.objects {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	writeJSON(ctx, keys)
}

// serveWatch answers with an object once it is newer than the version "after", or
// when the wait time has passed. Faults make it fail, or answer at once with the
// previous version.
func (p *platform) serveWatch(ctx *fasthttp.RequestCtx, key string) {
	after, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	wait, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("wait-ms")))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(deadline), p.changed.Broadcast)
	defer timer.Stop()
	defer p.lockFor(ctx)()
	watches := p.watches
	for {
		o := p.objects[key]
		if p.faults.Down || p.watches != watches {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		if o != nil && o.previous != nil && p.faults.StaleReads > 0 {
			p.faults.StaleReads--
			writeObject(ctx, o.previous)
			return
		}
		if o != nil && o.version > after || !time.Now().Before(deadline) {
			writeObject(ctx, o)
			return
		}
		p.changed.Wait()
	}
}

// serveObject reads, conditionally writes or conditionally deletes an object.
func (p *platform) serveObject(ctx *fasthttp.RequestCtx, key string) {
	defer p.lockFor(ctx)()
	o := p.objects[key]
	if ctx.IsGet() {
		if p.faults.StaleReads > 0 && o != nil && o.previous != nil {
			p.faults.StaleReads--
			o = o.previous
		}
		writeObject(ctx, o)
		return
	}
	if !p.isOfGeneration(ctx) || !preconditionHolds(ctx, o) {
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
		next.previous = &storedObject{value: o.value, version: o.version}
	}
	p.objects[key] = next
	p.changed.Broadcast()
	if p.faults.LoseAnswers > 0 && strings.HasPrefix(key, p.faults.LosePrefix) {
		p.faults.LoseAnswers--
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	writeObject(ctx, next)
}

// preconditionHolds reports whether an object satisfies the If-None-Match or
// If-Match header of a write. A write without either header never does.
func preconditionHolds(ctx *fasthttp.RequestCtx, o *storedObject) bool {
	if string(ctx.Request.Header.Peek("If-None-Match")) == "*" {
		return o == nil
	}
	want := string(ctx.Request.Header.Peek("If-Match"))
	return o != nil && want == strconv.Quote(strconv.FormatInt(o.version, 10))
}

// writeObject answers with an object and its version as ETag, or with status 404
// if there is none.
func writeObject(ctx *fasthttp.RequestCtx, o *storedObject) {
	if o == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set("ETag", strconv.Quote(strconv.FormatInt(o.version, 10)))
	ctx.SetBody(o.value)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
