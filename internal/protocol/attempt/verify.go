package attempt

import (
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// ErrMismatch reports that an answer is not the expected one, for example because
// its length or digest differs from the trailers.
var ErrMismatch = errors.New("attempt: answer does not match its digest")

// Source reads an answer from an offset over one connection. Trailers is valid
// once Read has returned io.EOF.
type Source interface {
	io.ReadCloser
	Trailers() (length, digest string)
}

// VerifyingReader reads an answer, resumes it from another source after a lost
// connection, and compares its length and digest with the trailers at the end. It
// is not safe for concurrent use.
type VerifyingReader struct {
	source    Source
	safeguard func(bool) bool
	resume    func(offset int64) (Source, error)
	digest    *xxhash.Digest
	offset    int64
	endErr    error
}

// NewVerifyingReader returns a reader that begins with a source. After a lost
// connection it calls resume to open another source at an offset; an error from
// resume ends the answer. The function safeguard receives whether length and
// digest match and returns the result to apply, so that a test variant can disable
// the check.
func NewVerifyingReader(s Source, safeguard func(bool) bool, resume func(offset int64) (Source, error)) *VerifyingReader {
	return &VerifyingReader{source: s, safeguard: safeguard, resume: resume, digest: xxhash.New()}
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete answer
// that matches its trailers.
func (r *VerifyingReader) Read(p []byte) (int, error) {
	for r.endErr == nil {
		n, err := r.source.Read(p)
		if n > 0 {
			_, _ = r.digest.Write(p[:n])
			r.offset += int64(n)
			return n, nil
		}
		if errors.Is(err, io.EOF) {
			r.endErr = r.compare()
			break
		}
		if err != nil {
			r.endErr = r.reopen()
		}
	}
	return 0, r.endErr
}

func (r *VerifyingReader) compare() error {
	length, digest := r.source.Trailers()
	sum := Checksum{Length: r.offset, Digest: r.digest.Sum64()}
	if !r.safeguard(length == sum.LengthText() && digest == sum.DigestText()) {
		return fmt.Errorf("%w: length %s, want %s", ErrMismatch, sum.LengthText(), length)
	}
	return io.EOF
}

func (r *VerifyingReader) reopen() error {
	_ = r.source.Close()
	s, err := r.resume(r.offset)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIncomplete, err)
	}
	r.source = s
	return nil
}

// Verified reports whether the answer was read to its end and matched its trailers.
func (r *VerifyingReader) Verified() bool { return errors.Is(r.endErr, io.EOF) }

// Offset returns the number of bytes read so far.
func (r *VerifyingReader) Offset() int64 { return r.offset }

// Close closes the current source.
func (r *VerifyingReader) Close() error { return r.source.Close() }
