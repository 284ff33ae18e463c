package attempt

import (
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

var (
	// ErrIncomplete says that the answer ended before it was whole.
	ErrIncomplete = errors.New("attempt: answer broken off")
	// ErrBytesUnavailable says that the bytes asked for are no longer kept.
	ErrBytesUnavailable = errors.New("attempt: bytes no longer kept")
)

// Field is one header of an answer.
type Field struct {
	Name  string
	Value string
}

// Head is the status and the headers of a target's answer.
type Head struct {
	Status int
	Fields []Field
}

// Answer keeps what a target has answered until its reader has all of it.
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
	limit    int
}

// NewAnswer returns an empty answer that keeps at most limit bytes.
func NewAnswer(limit int) *Answer {
	a := &Answer{digest: xxhash.New(), limit: limit, started: make(chan struct{})}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// SetHead records the head; it is called once.
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

// Write appends to the body; it fails over the limit.
func (a *Answer) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.body)+len(p) > a.limit {
		return 0, errors.New("attempt: answer over the limit of bytes kept")
	}
	a.body = append(a.body, p...)
	_, _ = a.digest.Write(p)
	a.changed.Broadcast()
	return len(p), nil
}

// End closes the answer: whole for a nil error, broken off otherwise.
func (a *Answer) End(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	a.err = err
	if !a.hasHead {
		close(a.started)
	}
	a.changed.Broadcast()
}

// Started is closed once there is a head or the answer has ended.
func (a *Answer) Started() <-chan struct{} { return a.started }

// Head returns the head, and whether there is one.
func (a *Answer) Head() (Head, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head, a.hasHead
}

// State returns the body's length, whether the answer has ended, and the
// error with which it was broken off.
func (a *Answer) State() (bytes int64, finished bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.body)), a.finished, a.err
}

// MemoryBytes returns how many bytes of memory the body takes.
func (a *Answer) MemoryBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cap(a.body)
}

// Checksum returns the length and the digest of the whole body, as they stand
// in the trailers.
func (a *Answer) Checksum() Checksum {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Checksum{Length: int64(len(a.body)), Digest: a.digest.Sum64()}
}

// Reader returns the body from an offset; it waits for more until the answer
// has ended, and calls end once at the end of a whole answer.
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

// Close wakes a waiting Read.
func (r *answerReader) Close() error {
	r.answer.mu.Lock()
	defer r.answer.mu.Unlock()
	r.closed = true
	r.answer.changed.Broadcast()
	return nil
}

// Checksum is the length and the xxHash64 digest of a whole body.
type Checksum struct {
	Length int64
	Digest uint64
}

// LengthText returns the length as it stands in a trailer.
func (p Checksum) LengthText() string { return strconv.FormatInt(p.Length, 10) }

// DigestText returns the digest as it stands in a trailer.
func (p Checksum) DigestText() string { return strconv.FormatUint(p.Digest, 16) }
