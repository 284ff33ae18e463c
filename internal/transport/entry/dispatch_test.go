package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/account"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/service"
)

// Guards against a refusal that says that a request did not run although one of several
// attempts may have run. The effect must cover all attempts, not only the last one.
func TestEffectOfSeveralTries(t *testing.T) {
	refused := func(result attemptResult, e refusal.Effect) targetAttempt {
		return targetAttempt{result: result, refusal: &refusal.Refusal{Reason: refusal.TimedOut, Effect: e}}
	}
	tests := []struct {
		name     string
		attempts []targetAttempt
		want     refusal.Effect
	}{
		{"full everywhere", []targetAttempt{refused(retryElsewhere, refusal.NotRun), refused(retryElsewhere, refusal.NotRun)}, refusal.NotRun},
		{"refused for good", []targetAttempt{refused(final, refusal.NotRun)}, refusal.NotRun},
		{"lost, then refused for good", []targetAttempt{refused(uncertain, refusal.Unknown), refused(final, refusal.NotRun)}, refusal.Unknown},
		{"lost, then full", []targetAttempt{refused(uncertain, refusal.Unknown), refused(retryElsewhere, refusal.NotRun)}, refusal.Unknown},
		{"no target", nil, refusal.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &Entry{guards: DefaultGuards()}
			c := &call{account: account.New("parish", 1, 1), service: &service.Service{}, deadline: time.Now().Add(time.Hour)}
			n := 0
			next := func() (targetAttempt, bool) {
				if n == len(tt.attempts) {
					return targetAttempt{}, false
				}
				n++
				return tt.attempts[n-1], true
			}
			_, got := e.attemptTargets(c, attemptFuncs{next: next, spendRetry: func() bool { return true }})
			qt.New(t).Assert(got.Effect, qt.Equals, tt.want)
		})
	}
}
