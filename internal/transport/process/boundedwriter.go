package process

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is the number of lines that are queued for a slow reader. A busy
// entry logs that many in a few seconds.
const maxQueuedLines = 2048

// BoundedWriter writes log lines in the background. It never blocks its callers: it
// drops lines while the queue is full because the other side does not read. It is
// safe for concurrent use.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewBoundedWriter returns a writer and starts the goroutine that writes the queued
// lines to w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range b.lines {
			// An error is ignored because there is no other place to report it.
			_, _ = w.Write(line)
		}
	}()
	return b
}

// Write implements io.Writer. It queues a copy of p, or drops p if the queue is full,
// and never fails.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }
