package main

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"
)

// generationHeader is the header in which each answer of the platform has the store's
// generation, and a conditional write that of the read on which it is based.
const generationHeader = "Store-Generation"

// storeCopy is the content of the store at the time of a copy.
type storeCopy struct {
	objects map[string]*storedObject
	version int64
	lists   []publishedList
}

// restoreOptions are the options of POST /restore.
type restoreOptions struct {
	// EndWatches makes the watches that wait fail; otherwise they go on.
	EndWatches bool `json:"end-watches"`
}

// takeCopy copies the store for the next restore.
func (p *platform) takeCopy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copy = &storeCopy{objects: maps.Clone(p.objects), version: p.version, lists: slices.Clone(p.lists)}
}

// restore puts the store back to the copy. What was written since is gone, and its
// versions are given out again.
func (p *platform) restore(ctx *fasthttp.RequestCtx) {
	var options restoreOptions
	if body := ctx.PostBody(); len(body) > 0 {
		if err := json.Unmarshal(body, &options); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.copy == nil {
		ctx.Error("no copy has been taken", fasthttp.StatusConflict)
		return
	}
	p.objects, p.version, p.lists = maps.Clone(p.copy.objects), p.copy.version, slices.Clone(p.copy.lists)
	p.generation++
	if options.EndWatches {
		p.watches++
	}
	p.changed.Broadcast()
}

// lockFor locks the store for an answer. The returned function adds the generation to the
// answer and unlocks the store.
func (p *platform) lockFor(ctx *fasthttp.RequestCtx) func() {
	p.mu.Lock()
	return func() {
		ctx.Response.Header.Set(generationHeader, strconv.FormatInt(p.generation, 10))
		p.mu.Unlock()
	}
}

// isOfGeneration reports whether a write is based on a read of the current generation,
// or names none.
func (p *platform) isOfGeneration(ctx *fasthttp.RequestCtx) bool {
	based := string(ctx.Request.Header.Peek(generationHeader))
	return based == "" || based == strconv.FormatInt(p.generation, 10)
}
