package retry

import "time"

const (
	// shareMargin is the part of the common budget that entries spend by
	// their own count; the rest is for those that restart and forget.
	shareMargin = 0.7
	// slots divide a window, so that it slides.
	slots = 10
)

// Share is this entry's part of a budget that all entries have together: a
// ratio of its own first sends, and an equal part of a fixed number. It is not
// safe for concurrent use.
type Share struct {
	ratio   float64
	extra   float64
	window  time.Duration
	entries int
	counts  [slots + 1]count
}

// count is what one slot of the window saw.
type count struct {
	slot    int64
	firsts  float64
	repeats float64
}

// NewShare returns an unspent share of a budget of ratio times the requests
// plus extra in each window.
func NewShare(ratio, extra float64, window time.Duration) *Share {
	return &Share{ratio: ratio, extra: extra, window: window, entries: 1}
}

// SetEntries takes the number of entries that share the fixed part.
func (s *Share) SetEntries(n int) { s.entries = max(n, 1) }

func (s *Share) at(now time.Time) *count {
	slot := now.UnixNano() / int64(s.window/slots)
	c := &s.counts[slot%int64(len(s.counts))]
	if c.slot != slot {
		*c = count{slot: slot}
	}
	return c
}

// RecordFirstAttempt counts a request's first send.
func (s *Share) RecordFirstAttempt(now time.Time) { s.at(now).firsts++ }

// Spend takes one repeated send, and reports whether there was one left.
func (s *Share) Spend(now time.Time) bool {
	current := s.at(now)
	firsts, repeats := 0.0, 0.0
	for _, c := range s.counts {
		if current.slot-c.slot <= slots {
			firsts += c.firsts
			repeats += c.repeats
		}
	}
	if repeats+1 > shareMargin*(s.ratio*firsts+s.extra/float64(s.entries)) {
		return false
	}
	current.repeats++
	return true
}
