package retry

import "time"

const (
	// spendableFraction is the fraction of the common budget that entries may
	// spend by their own counts. The remainder covers entries that restart and
	// lose their counts.
	spendableFraction = 0.7
	// windowSlots is the number of slots in the sliding window.
	windowSlots = 10
)

// Share is one entry's part of a retry budget that all entries have in common:
// a ratio of the requests that this entry received, and an equal part of a
// fixed number of retries. It is not safe for concurrent use.
type Share struct {
	ratio   float64
	extra   float64
	window  time.Duration
	entries int
	// slots has one more element than windowSlots, for the current slot, which
	// is not complete yet.
	slots [windowSlots + 1]slotCounts
}

// slotCounts counts the attempts in one slot of the window.
type slotCounts struct {
	slot          int64
	firstAttempts float64
	retries       float64
}

// NewShare returns an unspent share of a budget that allows, in each window,
// ratio times the number of requests plus extra retries.
func NewShare(ratio, extra float64, window time.Duration) *Share {
	return &Share{ratio: ratio, extra: extra, window: window, entries: 1}
}

// SetEntryCount sets the number of entries that divide the extra retries.
func (s *Share) SetEntryCount(n int) { s.entries = max(n, 1) }

// slotAt returns the counts of the current slot, reset if they belong to an
// earlier one.
func (s *Share) slotAt(now time.Time) *slotCounts {
	slot := now.UnixNano() / int64(s.window/windowSlots)
	c := &s.slots[slot%int64(len(s.slots))]
	if c.slot != slot {
		*c = slotCounts{slot: slot}
	}
	return c
}

// RecordFirstAttempt counts the first attempt of a request.
func (s *Share) RecordFirstAttempt(now time.Time) { s.slotAt(now).firstAttempts++ }

// Spend uses one retry and reports whether there was one left in the window.
func (s *Share) Spend(now time.Time) bool {
	current := s.slotAt(now)
	firstAttempts, retries := 0.0, 0.0
	for _, c := range s.slots {
		if current.slot-c.slot <= windowSlots {
			firstAttempts += c.firstAttempts
			retries += c.retries
		}
	}
	if retries+1 > spendableFraction*(s.ratio*firstAttempts+s.extra/float64(s.entries)) {
		return false
	}
	current.retries++
	return true
}
