package attempt

import (
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// The texts of these errors are part of the protocol, because the detail of a refusal
// contains them.
var (
	// ErrIncomplete reports that the answer ended before it was complete.
	ErrIncomplete = errors.New("attempt: answer broken off")
	// ErrBytesUnavailable reports that the agent does not hold the requested bytes
	// of the answer.
	ErrBytesUnavailable = errors.New("attempt: bytes no longer kept")
)

// Field is one header field of an answer.
type Field struct {
	Name  string
	Value string
}

// Head contains the status code and the header fields of a target's answer.
type Head struct {
	Status int
	Fields []Field
}

// Answer buffers a target's answer, so that readers can read the body while it
// arrives and read it again from any offset. It is safe for concurrent use.
type Answer struct {
	mu       sync.Mutex
	changed  *sync.Cond
	head     Head
	started  chan struct{}
	hasHead  bool
	body     []byte
	digest   *xxhash.Digest
	finished bool
	err      error
	maxBytes int
	memory   *Memory
}

// NewAnswer returns an empty answer that buffers at most maxBytes bytes of body, which
// count in the memory until the answer ends.
func NewAnswer(maxBytes int, memory *Memory) *Answer {
	a := &Answer{digest: xxhash.New(), maxBytes: maxBytes, memory: memory, started: make(chan struct{})}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// SetHead sets the head. Calls after the first one or after End have no effect.
func (a *Answer) SetHead(h Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasHead || a.finished {
		return
	}
	a.head = h
	a.hasHead = true
	close(a.started)
}

// Write appends to the body. It fails if the body would exceed the limit, and discards the
// body then, which may be one without end.
func (a *Answer) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.grow(len(a.body) + len(p)); err != nil {
		a.memory.release(cap(a.body))
		a.body = nil
		return 0, err
	}
	a.body = append(a.body, p...)
	_, _ = a.digest.Write(p)
	a.changed.Broadcast()
	return len(p), nil
}

// grow makes room for a body of a size. The caller holds a.mu.
func (a *Answer) grow(size int) error {
	if size > a.maxBytes {
		return errors.New("attempt: answer exceeds the limit of buffered bytes")
	}
	if size <= cap(a.body) {
		return nil
	}
	body, err := a.memory.grow(a.body, size)
	a.body = body
	return err
}

// End marks the answer as ended: complete if err is nil, incomplete otherwise.
// Calls after the first one have no effect.
func (a *Answer) End(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	a.err = err
	a.memory.release(cap(a.body))
	if !a.hasHead {
		close(a.started)
	}
	a.changed.Broadcast()
}

// Started returns a channel that is closed once the head is set or the answer has
// ended.
func (a *Answer) Started() <-chan struct{} { return a.started }

// Head returns the head, and whether there is one.
func (a *Answer) Head() (Head, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head, a.hasHead
}

// State returns the current length of the body, whether the answer has ended, and
// the error that End received.
func (a *Answer) State() (bytes int64, finished bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.body)), a.finished, a.err
}

// MemoryBytes returns the number of bytes of memory allocated for the body.
func (a *Answer) MemoryBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cap(a.body)
}

// Checksum returns the length and the digest of the body received so far. Once
// the answer is complete, they are the values sent in the trailers.
func (a *Answer) Checksum() Checksum {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Checksum{Length: int64(len(a.body)), Digest: a.digest.Sum64()}
}

// Reader returns a reader of the body from an offset. Read blocks until more of
// the body arrives or the answer ends. At the end of a complete answer Read calls
// end, if not nil, with the checksum and returns io.EOF.
func (a *Answer) Reader(offset int64, end func(Checksum)) io.ReadCloser {
	return &answerReader{answer: a, offset: offset, end: end}
}

type answerReader struct {
	answer *Answer
	offset int64
	end    func(Checksum)
	closed bool
}

// Read implements io.Reader.
func (r *answerReader) Read(p []byte) (int, error) {
	a := r.answer
	a.mu.Lock()
	for int64(len(a.body)) <= r.offset && !a.finished && !r.closed {
		a.changed.Wait()
	}
	if r.offset > int64(len(a.body)) {
		a.mu.Unlock()
		return 0, ErrBytesUnavailable
	}
	if n := copy(p, a.body[r.offset:]); n > 0 {
		a.mu.Unlock()
		r.offset += int64(n)
		return n, nil
	}
	finished, err := a.finished, a.err
	a.mu.Unlock()
	if !finished || err != nil {
		return 0, ErrIncomplete
	}
	if r.end != nil {
		r.end(a.Checksum())
	}
	return 0, io.EOF
}

// Close unblocks a waiting Read.
func (r *answerReader) Close() error {
	r.answer.mu.Lock()
	defer r.answer.mu.Unlock()
	r.closed = true
	r.answer.changed.Broadcast()
	return nil
}

// Checksum contains the length and the xxHash64 digest of a body.
type Checksum struct {
	Length int64
	Digest uint64
}

// LengthText returns the length as sent in the trailer, in decimal.
func (c Checksum) LengthText() string { return strconv.FormatInt(c.Length, 10) }

// DigestText returns the digest as sent in the trailer, in hexadecimal.
func (c Checksum) DigestText() string { return strconv.FormatUint(c.Digest, 16) }
