package process

import (
	"io"
	"sync/atomic"
)

// logBacklog is how many lines wait for a slow reader: some seconds of a busy
// entry.
const logBacklog = 2048

// BoundedWriter writes lines on a goroutine of its own and drops them while
// the other side does not read; it never blocks.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewBoundedWriter starts to write to w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, logBacklog)}
	go func() {
		for line := range b.lines {
			// There is nowhere to report that the log cannot be written.
			_, _ = w.Write(line)
		}
	}()
	return b
}

// Write implements io.Writer; p is copied.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }
