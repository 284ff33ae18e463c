package attempt

import (
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// ErrMismatch says that an answer is not the one its trailers describe.
var ErrMismatch = errors.New("attempt: answer does not match its digest")

// Source reads the rest of an answer from an offset over a connection of its
// own; the trailers are there once Read has returned io.EOF.
type Source interface {
	io.ReadCloser
	Trailers() (length, digest string)
}

// VerifyingReader delivers an answer only if all of it came: it resumes after a lost
// connection and compares length and digest at the end.
type VerifyingReader struct {
	source Source
	whole  func(bool) bool
	resume func(offset int64) (Source, error)
	digest *xxhash.Digest
	offset int64
	ended  error
}

// NewVerifyingReader starts at a source; resume opens another at an offset, and says
// for good that there is none by an error. Whole gets the comparison at the
// end and returns the one that holds.
func NewVerifyingReader(s Source, whole func(bool) bool, resume func(offset int64) (Source, error)) *VerifyingReader {
	return &VerifyingReader{source: s, whole: whole, resume: resume, digest: xxhash.New()}
}

// Read implements io.Reader; it returns io.EOF only behind a whole answer.
func (c *VerifyingReader) Read(p []byte) (int, error) {
	for c.ended == nil {
		n, err := c.source.Read(p)
		if n > 0 {
			_, _ = c.digest.Write(p[:n])
			c.offset += int64(n)
			return n, nil
		}
		if errors.Is(err, io.EOF) {
			c.ended = c.compare()
			break
		}
		if err != nil {
			c.ended = c.reopen()
		}
	}
	return 0, c.ended
}

func (c *VerifyingReader) compare() error {
	length, digest := c.source.Trailers()
	p := Checksum{Length: c.offset, Digest: c.digest.Sum64()}
	if !c.whole(length == p.LengthText() && digest == p.DigestText()) {
		return fmt.Errorf("%w: length %s, want %s", ErrMismatch, p.LengthText(), length)
	}
	return io.EOF
}

func (c *VerifyingReader) reopen() error {
	_ = c.source.Close()
	s, err := c.resume(c.offset)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIncomplete, err)
	}
	c.source = s
	return nil
}

// Verified reports whether the answer was read to its end and matched.
func (c *VerifyingReader) Verified() bool { return errors.Is(c.ended, io.EOF) }

// Offset returns how many bytes were read.
func (c *VerifyingReader) Offset() int64 { return c.offset }

// Close closes the present source.
func (c *VerifyingReader) Close() error { return c.source.Close() }
