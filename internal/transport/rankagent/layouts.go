package rankagent

import (
	"sync"

	"bluebellcrank/internal/state/expert"
)

// maxKnownLayouts is how many layouts an agent remembers: the current one, that of
// a change in progress, and those of two changes that were not made.
const maxKnownLayouts = 4

// layoutCache holds the layouts that an agent received last. It is safe for
// concurrent use.
type layoutCache struct {
	mu      sync.Mutex
	digests []uint64
	layouts []expert.Layout
}

// add records a layout under its digest and drops the oldest one if there are too
// many.
func (c *layoutCache) add(digest uint64, l expert.Layout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, d := range c.digests {
		if d == digest {
			c.digests = append(c.digests[:n], c.digests[n+1:]...)
			c.layouts = append(c.layouts[:n], c.layouts[n+1:]...)
			break
		}
	}
	c.digests, c.layouts = append(c.digests, digest), append(c.layouts, l)
	if len(c.digests) > maxKnownLayouts {
		c.digests, c.layouts = c.digests[1:], c.layouts[1:]
	}
}

// find returns the layout with a digest, or nil. The layout must not be changed.
func (c *layoutCache) find(digest uint64) expert.Layout {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, d := range c.digests {
		if d == digest {
			return c.layouts[n]
		}
	}
	return nil
}
