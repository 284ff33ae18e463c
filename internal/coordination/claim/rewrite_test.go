package claim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRewriteNeverReplacesAnAttemptThatMayRun checks what a rewrite does about the record
// that it finds.
func TestRewriteNeverReplacesAnAttemptThatMayRun(t *testing.T) {
	tests := []struct {
		name    string
		found   Record
		outcome Outcome
		want    RewriteAction
	}{
		{"own record", Record{Attempt: "a", State: Held}, Done, RewriteDone},
		{"own record, abandoned", Record{Attempt: "a", State: Abandoned}, Done, RewriteDone},
		{"another attempt, abandoned", Record{Attempt: "b", State: Abandoned}, Done, RewriteReplace},
		{"another attempt, held", Record{Attempt: "b", State: Held}, Done, RewriteAsk},
		{"no record", Record{}, Missing, RewriteCreate},
		{"no answer", Record{}, Unavailable, RewriteWait},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := NewRewrite(Record{Attempt: "a"})
			c.Check(w.Own().State, qt.Equals, Held)
			c.Check(w.Start(), qt.Equals, RewriteCreate)
			c.Check(w.HandleWrite(Conflict), qt.Equals, RewriteRead)
			c.Check(w.HandleRead(tt.found, tt.outcome), qt.Equals, tt.want)
		})
	}
	c := qt.New(t)
	w := NewRewrite(Record{Attempt: "a"})
	c.Check(w.HandleHolderState(NeverRan), qt.Equals, RewriteReplace)
	c.Check(w.HandleHolderState(Answering), qt.Equals, RewriteLost)
	c.Check(w.HandleHolderState(Lost), qt.Equals, RewriteLost)
}

func TestKeptExpires(t *testing.T) {
	c := qt.New(t)
	k := NewKept()
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for n, attempt := range []string{"a", "b", "c"} {
		k.Add(Entry{Key: "k", Record: Record{Attempt: attempt}}, at.Add(time.Duration(n)*40*time.Second))
	}
	c.Check(k.Entries(), qt.HasLen, 2)
	k.Remove("c")
	c.Check(k.Entries(), qt.DeepEquals, []Entry{{Key: "k", Record: Record{Attempt: "b"}}})
}
