package attempt

import (
	"bytes"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

// endlessReader has no end.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

func TestAnswersWithoutEndShareTheMemory(t *testing.T) {
	const limit, endless = 1 << 20, 8
	c := qt.New(t)
	m := NewMemory(limit)
	part := make([]byte, 4<<10)
	answers := make([]*Answer, endless)
	for n := range answers {
		answers[n] = NewAnswer(limit, m)
	}
	failed := map[int]bool{}
	for len(failed) < endless {
		for n, a := range answers {
			if _, err := a.Write(part); err != nil {
				failed[n] = true
			}
		}
	}
	c.Check(m.used <= 2*limit, qt.IsTrue, qt.Commentf("%d bytes", m.used))

	// A small answer beside them is whole.
	small := bytes.Repeat([]byte("s"), limit/endless/4)
	got, err := m.ReadAll(bytes.NewReader(small))
	c.Check(err, qt.IsNil)
	c.Check(bytes.Equal(got, small), qt.IsTrue)
	_, err = m.ReadAll(endlessReader{})
	c.Check(err, qt.ErrorIs, errNoMemory)

	for _, a := range answers {
		a.End(ErrIncomplete)
	}
	c.Check(m.used, qt.Equals, 0)
	c.Check(m.answers, qt.Equals, 0)
	large := bytes.Repeat([]byte("l"), limit/2)
	got, err = m.ReadAll(io.MultiReader(bytes.NewReader(large[:100]), bytes.NewReader(large[100:])))
	c.Check(err, qt.IsNil)
	c.Check(bytes.Equal(got, large), qt.IsTrue)
}
