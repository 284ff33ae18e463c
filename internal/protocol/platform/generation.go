package platform

import (
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"
)

// generationHeader is the header in which each answer has the store's generation, and a
// conditional write that of the read on which it is based.
const generationHeader = "Store-Generation"

// anyGeneration is the generation of a store that names none, and of a position that
// holds in each.
const anyGeneration = -1

// Version is an object's version, assigned by the platform.
type Version int64

// Position is a version of an object in a generation of the store. A store that is
// restored from a copy rises by one generation, and gives out versions again.
type Position struct {
	Generation int64
	Version    Version
}

// Absent is the position of an object that does not exist, in any generation.
var Absent = Position{Generation: anyGeneration}

// generationBits is how far the generation of a fence is shifted.
const generationBits = 38

// Fence returns a number that rises with each write of the object, also after the store
// was restored.
func (p Position) Fence() int64 { return max(p.Generation, 0)<<generationBits + int64(p.Version) }

// After reports whether a position is later than another one.
func (p Position) After(other Position) bool {
	if p.Generation != other.Generation {
		return p.Generation > other.Generation
	}
	return p.Version > other.Version
}

// isBefore reports whether a position belongs to an earlier generation.
func (p Position) isBefore(generation int64) bool {
	return p.Generation != anyGeneration && p.Generation < generation
}

// generation is the newest generation of the store that an answer had. It is safe for
// concurrent use.
type generation struct {
	mu      sync.Mutex
	newest  int64
	changed chan struct{}
}

func newGeneration() *generation {
	return &generation{newest: anyGeneration, changed: make(chan struct{})}
}

func (g *generation) get() (int64, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newest, g.changed
}

// record records the generation of an answer, and reports whether the answer is of the
// newest one, or of a store that names none.
func (g *generation) record(answered int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if answered > g.newest {
		g.newest = answered
		close(g.changed)
		g.changed = make(chan struct{})
	}
	return answered == anyGeneration || answered == g.newest
}

func responseGeneration(resp *fasthttp.Response) int64 {
	g, err := strconv.ParseInt(string(resp.Header.Peek(generationHeader)), 10, 64)
	if err != nil || g < 0 {
		return anyGeneration
	}
	return g
}
