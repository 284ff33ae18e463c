package balance

import (
	"slices"
	"time"
)

// Loan is an attempt at a target that was dealt to another entry, which may have no use for
// it. Its fields are exported, because they are plain values.
type Loan struct {
	// Entry is the name of the entry that has the attempt.
	Entry string
	// Target is the ID of the target, and StartedAtMs identifies its run.
	Target      string
	StartedAtMs int64
}

// maxLoanRefusals bounds the refused loans that are remembered.
const maxLoanRefusals = 4096

// Loans returns up to most attempts of other entries that would let a request be sent to a
// target whose limit leaves this entry none, in a random order. Entries that refused a loan
// are left out until they may have an attempt again.
func (f *Fleet) Loans(r Request, most int, now time.Time) []Loan {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.services[r.Service]
	if len(list) == 0 || len(f.entries.names) != f.entries.count {
		return nil
	}
	var out []Loan
	a := f.termsOf(r, now)
	start := f.random.IntN(len(list))
	for n := range list {
		m := list[(start+n)%len(list)]
		limit, isLimited := m.notice.rateLimit()
		if !isLimited || f.isExcluded(m, r, now) || !f.hasRoom(m, a, now) || f.waitFor(m, limit, now) == 0 {
			continue
		}
		loan := Loan{
			Entry:       f.entries.names[f.entries.randomHolder(f.placeOf(m), limit, f.random.IntN, now)],
			Target:      m.target.ID,
			StartedAtMs: m.target.StartedAtMs,
		}
		if loan.Entry == f.entries.self || now.Before(f.loanRefusals[loan]) {
			continue
		}
		if out = append(out, loan); len(out) == most {
			break
		}
	}
	return out
}

// Lend gives an attempt of this entry at a target to another entry, which makes it at once.
// If it has none, or its own requests wait for one, it returns the time until it may have
// one.
func (f *Fleet) Lend(target string, startedAtMs int64, now time.Time) (lent bool, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[target]
	if m == nil || m.target.StartedAtMs != startedAtMs {
		return false, Never
	}
	limit, isLimited := m.notice.rateLimit()
	if !isLimited {
		return false, Never
	}
	if wait := f.waitFor(m, limit, now); wait > 0 {
		return false, wait
	}
	if slices.ContainsFunc(f.queue, func(t *Ticket) bool { return t.request.Service == m.target.Service }) {
		return false, limit.window
	}
	m.attempts.add(now)
	return true, 0
}

// RecordLoanRefused records that another entry has no attempt to lend for a time.
func (f *Fleet) RecordLoanRefused(loan Loan, wait time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.loanRefusals) >= maxLoanRefusals {
		clear(f.loanRefusals)
	}
	f.loanRefusals[loan] = now.Add(min(max(wait, 0), limitWindow))
}

// Take grants a lease on the target of an attempt that another entry has lent, or nil if
// the target cannot be used any more. The attempt counts as that entry's.
func (f *Fleet) Take(loan Loan, r Request, now time.Time) *Lease {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[loan.Target]
	if m == nil || m.target.StartedAtMs != loan.StartedAtMs || f.isExcluded(m, r, now) || !f.hasRoom(m, f.termsOf(r, now), now) {
		return nil
	}
	return f.grant(m, r, now)
}
