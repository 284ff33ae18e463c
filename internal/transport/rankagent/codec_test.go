package rankagent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/expert"
)

func TestLayoutSurvivesPacking(t *testing.T) {
	tests := []struct {
		name string
		in   expert.Layout
	}{
		{"one", expert.Layout{{{0}}}},
		{"a rank without experts", expert.Layout{{{0, 1}, nil}, {{1}, {0, 300}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			out, err := unpackLayout(packLayout(tt.in))
			c.Assert(err, qt.IsNil)
			c.Check(out, qt.DeepEquals, tt.in)
		})
	}
}

func FuzzUnpackLayout(f *testing.F) {
	f.Add(packLayout(expert.Layout{{{0, 1}, {2}}, {{1}, {0, 2}}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := unpackLayout(data)
		if err != nil {
			return
		}
		again, err := unpackLayout(packLayout(l))
		qt.New(t).Assert(err, qt.IsNil)
		qt.New(t).Assert(again, qt.DeepEquals, l)
	})
}
