package balance

import (
	"math"
	"time"

	"bluebellcrank/internal/coordination/admission"
)

const (
	// usualWindow is the time constant of the usual number of an account's requests. A
	// sudden flood of one account raises it only slowly.
	usualWindow = 30 * time.Second
	// recentWindow is the time constant of the recent number, about the length of a
	// stream.
	recentWindow = 2 * time.Second
	// excessFactor is the multiple of an account's usual part of the requests from which
	// its requests count as excess. A part differs so much within recentWindow by chance.
	excessFactor = 1.5
	// excessMargin is the number of recent requests beyond excessFactor that is never
	// excess. Small accounts have few requests in recentWindow.
	excessMargin = 2
	// excessReserve is the share of the capacity that excess requests leave free for the
	// usual requests of all accounts.
	excessReserve = 0.25
	// minSweepUsages is the number of accounts below which idle ones are kept.
	minSweepUsages = 1024
	// minUsage is the usual number of requests below which an account is idle.
	minUsage = 0.05
)

// usage counts the granted requests of an account, or of all accounts of a service, each
// weighted by its age.
type usage struct {
	usual, recent float64
	at            time.Time
}

// decayed returns the usage at a later time without further requests.
func (u usage) decayed(now time.Time) usage {
	elapsed := now.Sub(u.at).Seconds()
	return usage{
		usual:  u.usual * math.Exp(-elapsed/usualWindow.Seconds()),
		recent: u.recent * math.Exp(-elapsed/recentWindow.Seconds()),
		at:     now,
	}
}

// grown returns the usage after one more request, which is usual or excess.
func (u usage) grown(isExcess bool, now time.Time) usage {
	out := u.decayed(now)
	if !isExcess {
		out.usual++
	}
	out.recent++
	return out
}

// fairness divides the capacity of a service among its client accounts by their usual
// parts of the requests: in an overload each account keeps its usual part, and a flood of
// one account waits behind the usual requests of the others. With equal parts, the usual
// requests of large accounts would be refused for those of small ones.
type fairness struct {
	clock         *admission.FairClock
	usages        map[string]usage
	total         usage
	nextSweepSize int
}

func newFairness() *fairness {
	return &fairness{clock: admission.NewFairClock(), usages: map[string]usage{}, nextSweepSize: minSweepUsages}
}

// tag returns the start tag of an account's next request.
func (f *fairness) tag(account string, now time.Time) float64 {
	return f.clock.Tag(account, 1/(1+f.usages[account].decayed(now).usual))
}

// admit records that an account's request with a tag was granted.
func (f *fairness) admit(account string, tag float64, now time.Time) {
	f.clock.Admit(tag)
	if len(f.usages) >= f.nextSweepSize {
		f.sweep(now)
	}
	// Excess requests do not become usual, so that a flood stays one while it lasts.
	isExcess := f.isExcess(account, now)
	f.usages[account] = f.usages[account].grown(isExcess, now)
	f.total = f.total.grown(isExcess, now)
}

// isExcess reports whether one more request of an account exceeds its usual part.
func (f *fairness) isExcess(account string, now time.Time) bool {
	own, total := f.usages[account].decayed(now), f.total.decayed(now)
	usualPart := own.usual / max(total.usual, 1)
	return own.recent+1 > excessFactor*usualPart*total.recent+excessMargin
}

func (f *fairness) sweep(now time.Time) {
	for account, u := range f.usages {
		if u.decayed(now).usual < minUsage {
			delete(f.usages, account)
		}
	}
	f.nextSweepSize = max(minSweepUsages, 2*len(f.usages))
}

// fairnessOf returns the fairness of a service.
func (f *Fleet) fairnessOf(service string) *fairness {
	out := f.fairness[service]
	if out == nil {
		out = newFairness()
		f.fairness[service] = out
	}
	return out
}
