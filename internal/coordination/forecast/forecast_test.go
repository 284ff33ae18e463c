package forecast

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/route"
)

// usable returns the untried candidates whose last report allows requests.
func usable(s *route.Set, tried []*route.Candidate) []*route.Candidate {
	return lo.Filter(s.Candidates(), func(c *route.Candidate, _ int) bool {
		r, _, found := c.LastReport()
		return found && r.Limit > 0 && !lo.Contains(tried, c)
	})
}

func randomPolicy(s *route.Set, _ route.Request, tried []*route.Candidate, random *rand.Rand) *route.Candidate {
	list := usable(s, tried)
	if len(list) == 0 {
		return nil
	}
	return list[random.IntN(len(list))]
}

func leastOutstanding(s *route.Set, _ route.Request, tried []*route.Candidate, random *rand.Rand) *route.Candidate {
	list := usable(s, tried)
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return lo.MinBy(list, func(a, b *route.Candidate) bool { return a.InFlight() < b.InFlight() })
}

func powerOfTwo(s *route.Set, _ route.Request, tried []*route.Candidate, random *rand.Rand) *route.Candidate {
	list := usable(s, tried)
	if len(list) == 0 {
		return nil
	}
	a, b := list[random.IntN(len(list))], list[random.IntN(len(list))]
	if a.InFlight() <= b.InFlight() {
		return a
	}
	return b
}

func pureAffinity(s *route.Set, r route.Request, tried []*route.Candidate, _ *rand.Rand) *route.Candidate {
	return lo.MaxBy(usable(s, tried), func(a, b *route.Candidate) bool {
		return route.Hash(a.Instance().ID, r.Affinity()) > route.Hash(b.Instance().ID, r.Affinity())
	})
}

func row(t *testing.T, name string, value float64, unit, bound string, met bool) {
	t.Helper()
	verdict := "met"
	if !met {
		verdict = "MISSED"
	}
	if bound == "" {
		bound, verdict = "-", "-"
	}
	t.Logf("row | %s | %.4g | %s | %s | %s |", name, value, unit, bound, verdict)
	if bound != "-" && !met {
		t.Errorf("%s is %.4g %s, bound %s", name, value, unit, bound)
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// TestMeasureChoice compares the default policy with simple policies at 80 % of the
// capacity, with one slow engine and one that restarts.
func TestMeasureChoice(t *testing.T) {
	var p Plan
	p.Defaults()
	capacity := Capacity(p)
	row(t, "choice: warm targets bear", capacity, "answers/s", "", true)
	p = p.WithRate(0.8*capacity).WithFaults(0.5, true)
	bestBaselineP99 := time.Hour
	affinityHitRate := 0.0
	for _, b := range []struct {
		name   string
		policy Policy
	}{{"random", randomPolicy}, {"least outstanding", leastOutstanding}, {"power of two", powerOfTwo}, {"pure affinity", pureAffinity}, {"ours", DefaultPolicy}} {
		o := Simulate(p.WithPolicy(b.policy))
		isDefault := b.name == "ours"
		bound := func(s string) string { return lo.Ternary(isDefault, s, "") }
		name := "choice at 80%: " + b.name + " "
		row(t, name+"first token p50", ms(o.TimeToFirstToken(0.50)), "ms", "", true)
		row(t, name+"first token p95", ms(o.TimeToFirstToken(0.95)), "ms", bound("<= 400"), o.TimeToFirstToken(0.95) <= 400*time.Millisecond)
		row(t, name+"first token p99", ms(o.TimeToFirstToken(0.99)), "ms", bound("<= best baseline's"), o.TimeToFirstToken(0.99) <= bestBaselineP99)
		row(t, name+"between tokens p95", ms(o.TokenGap(0.95)), "ms", bound("<= 71"), o.TokenGap(0.95) <= 71*time.Millisecond)
		row(t, name+"hit rate", o.HitRate(), "ratio", bound(">= 0.9 of pure affinity's"), o.HitRate() >= 0.9*affinityHitRate)
		row(t, name+"refused", float64(o.Refused())/float64(o.Requests()), "ratio", "", true)
		row(t, name+"most over mean", o.MaxToMeanLoad(), "ratio", "", true)
		if b.name == "pure affinity" {
			affinityHitRate = o.HitRate()
			continue
		}
		bestBaselineP99 = min(bestBaselineP99, o.TimeToFirstToken(0.99))
	}
}

// TestMeasureOldReports measures the effect of stale reports at the required
// scale: 14 entries share each engine, so an entry's own requests tell it little
// about the engine's load.
// Within the byte rate allowed for reports, they are five seconds old with 32
// targets of each of three services and ten seconds old with 64; therefore the
// default subset size is 32.
func TestMeasureOldReports(t *testing.T) {
	var p Plan
	p.Defaults()
	p = p.WithModel(p.model, 32).WithAccounts(40).WithDurationAndSeed(time.Minute, 1)
	p.entries = 14
	rate := 0.8 * Capacity(p)
	for _, age := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
		p.reportAge = age
		o := Simulate(p.WithRate(rate))
		bound := func(s string) string { return lo.Ternary(age <= 5*time.Second, s, "") }
		name := "reports " + age.String() + " old, 14 entries at 80%: "
		row(t, name+"first token p95", ms(o.TimeToFirstToken(0.95)), "ms", bound("<= 400"), o.TimeToFirstToken(0.95) <= 400*time.Millisecond)
		row(t, name+"between tokens p95", ms(o.TokenGap(0.95)), "ms", bound("<= 71"), o.TokenGap(0.95) <= 71*time.Millisecond)
		row(t, name+"tries a request", o.AttemptsPerRequest(), "tries", "", true)
	}
}

// TestMeasureOverload floods the service from its largest account: the goodput must
// stay near the capacity, and other accounts must not be refused.
func TestMeasureOverload(t *testing.T) {
	var p Plan
	p.Defaults()
	capacity := Capacity(p)
	third := p.duration / 3
	o := Simulate(p.WithRate(0.5 * capacity).WithFlood(5))
	flood := o.Goodput(third+10*time.Second, 2*third)
	row(t, "flood of one account to 3x: goodput over the peak", flood/capacity, "ratio", ">= 0.95", flood >= 0.95*capacity)
	row(t, "flood of one account to 3x: small accounts refused", float64(o.SmallAccountRefusals()), "requests", "= 0", o.SmallAccountRefusals() == 0)
	recovered := o.Goodput(2*third+2*time.Second, p.duration)
	row(t, "2 s after the flood: goodput over the offered", recovered/(0.5*capacity), "ratio", ">= 0.9", recovered >= 0.9*0.5*capacity)
	row(t, "flood of one account to 3x: tries a request", o.AttemptsPerRequest(), "tries", "<= 4", o.AttemptsPerRequest() <= maxAttempts)
}
