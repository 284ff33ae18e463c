package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/refusal"
)

// What a caller hears after several tries is the truth about all of them.
func TestConclude(t *testing.T) {
	tests := []struct {
		name      string
		last      refusal.Effect
		uncertain bool
		want      refusal.Effect
	}{
		{"surely not run", refusal.NotRun, false, refusal.NotRun},
		{"refused for good after a lost try", refusal.NotRun, true, refusal.Unknown},
		{"lost", refusal.Unknown, true, refusal.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &Entry{guards: DefaultGuards()}
			got := e.conclude(&call{}, &refusal.Refusal{Reason: refusal.TimedOut, Effect: tt.last}, tt.uncertain)
			qt.New(t).Assert(got.Effect, qt.Equals, tt.want)
		})
	}
}
