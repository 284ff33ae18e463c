package membership

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestChooseNeighbour(t *testing.T) {
	tests := []struct {
		name  string
		self  string
		names []string
		want  string
	}{
		{"nobody", "b", nil, ""},
		{"only itself", "b", []string{"b"}, ""},
		{"the next by name", "b", []string{"d", "c", "b", "a"}, "c"},
		{"the first follows the last", "d", []string{"d", "c", "b", "a"}, "a"},
		{"itself is not listed", "b", []string{"a", "c"}, "c"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.New(t).Check(new(Neighbour).Choose(tt.self, tt.names), qt.Equals, tt.want)
		})
	}
}

func TestNeighbourIsGone(t *testing.T) {
	tests := []struct {
		name string
		// responses holds, for consecutive checks, whether the instance responded.
		responses []bool
		// changeAt is the index of the check before which another name is
		// chosen; 0 is none.
		changeAt int
		want     bool
	}{
		{"three misses", []bool{false, false, false}, 0, true},
		{"two misses", []bool{false, false}, 0, false},
		{"an answer between misses", []bool{false, false, true, false}, 0, false},
		{"another neighbour", []bool{false, false, false}, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var n Neighbour
			n.Choose("a", []string{"b"})
			gone := false
			for i, responded := range tt.responses {
				if i > 0 && i == tt.changeAt {
					n.Choose("a", []string{"c"})
				}
				gone = n.RecordCheck(responded)
			}
			qt.New(t).Check(gone, qt.Equals, tt.want)
		})
	}
}
