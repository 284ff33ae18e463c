package attempt

import (
	"errors"
	"io"
	"sync"
)

// errNoMemory is the error of an answer that is too large for the memory that all answers
// have together.
var errNoMemory = errors.New("attempt: answer exceeds its share of the memory of answers that are being received")

// Memory limits the bytes of the answers that are being received at the same time. Up to
// the limit each answer gets what it needs; above it only those get more that have less
// than an equal share, so that answers without end do not displace others. It is safe for
// concurrent use.
type Memory struct {
	limit int

	mu      sync.Mutex
	used    int
	answers int
}

// NewMemory returns a Memory with a limit in bytes.
func NewMemory(limit int) *Memory { return &Memory{limit: limit} }

// minCapacity is the smallest capacity of a body in bytes.
const minCapacity = 512

// grow returns a body with at least twice its capacity, and with room for a size. The
// difference is reserved.
func (m *Memory) grow(body []byte, size int) ([]byte, error) {
	capacity := max(minCapacity, 2*cap(body), size)
	if err := m.reserve(capacity-cap(body), cap(body)); err != nil {
		return body, err
	}
	grown := make([]byte, len(body), capacity)
	copy(grown, body)
	return grown, nil
}

// reserve adds n bytes to a body that has already reserved some.
func (m *Memory) reserve(n, reserved int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	answers := m.answers
	if reserved == 0 {
		answers++
	}
	if m.used+n > m.limit && reserved+n > m.limit/answers {
		return errNoMemory
	}
	m.answers = answers
	m.used += n
	return nil
}

// release returns the bytes that a body has reserved.
func (m *Memory) release(reserved int) {
	if reserved == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= reserved
	m.answers--
}

// ReadAll reads a body to its end, which may be as large as the memory allows.
func (m *Memory) ReadAll(r io.Reader) ([]byte, error) {
	var body []byte
	defer func() { m.release(cap(body)) }()
	for {
		if len(body) == cap(body) {
			var err error
			if body, err = m.grow(body, len(body)+1); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
