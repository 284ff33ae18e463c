package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/account"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/service"
)

// What a caller hears after several tries is the truth about all of them.
func TestEffectOfSeveralTries(t *testing.T) {
	refused := func(v verdict, e refusal.Effect) try {
		return try{verdict: v, refusal: &refusal.Refusal{Reason: refusal.TimedOut, Effect: e}}
	}
	tests := []struct {
		name  string
		tries []try
		want  refusal.Effect
	}{
		{"full everywhere", []try{refused(elsewhere, refusal.NotRun), refused(elsewhere, refusal.NotRun)}, refusal.NotRun},
		{"refused for good", []try{refused(final, refusal.NotRun)}, refusal.NotRun},
		{"lost, then refused for good", []try{refused(lost, refusal.Unknown), refused(final, refusal.NotRun)}, refusal.Unknown},
		{"lost, then full", []try{refused(lost, refusal.Unknown), refused(elsewhere, refusal.NotRun)}, refusal.Unknown},
		{"no target", nil, refusal.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &Entry{guards: DefaultGuards()}
			c := &call{account: account.New("parish", 1, 1), service: &service.Service{}, deadline: time.Now().Add(time.Hour)}
			n := 0
			next := func() (try, bool) {
				if n == len(tt.tries) {
					return try{}, false
				}
				n++
				return tt.tries[n-1], true
			}
			_, got := e.offer(c, tries{next: next, spend: func() bool { return true }})
			qt.New(t).Assert(got.Effect, qt.Equals, tt.want)
		})
	}
}
