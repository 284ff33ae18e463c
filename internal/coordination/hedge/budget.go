package hedge

import "time"

const (
	// shareWindow is the time over which the share holds. In a shorter one, an entry that
	// gets one request per second could never send a second request.
	shareWindow = time.Minute
	// shareSlots is the number of slots of the window.
	shareSlots = 10
	// burstFactor is the multiple of the share that may be used within the current and
	// the previous slot, so that what a quiet time left is not spent at once.
	burstFactor = 2
)

// slotCounts counts the requests in one slot of the window.
type slotCounts struct {
	number        int64
	firstAttempts float64
	sent          float64
}

// budget limits the second requests of an entry to a share of its first attempts.
type budget struct {
	share float64
	// slots has one more element than shareSlots, since the current slot is not complete.
	slots [shareSlots + 1]slotCounts
}

// slotAt returns the counts of the current slot, reset if they belong to an earlier one.
func (b *budget) slotAt(now time.Time) *slotCounts {
	number := now.UnixNano() / int64(shareWindow/shareSlots)
	c := &b.slots[number%int64(len(b.slots))]
	if c.number != number {
		*c = slotCounts{number: number}
	}
	return c
}

// allows reports whether one more second request stays within the share. The second
// requests of at least the window are compared with the first attempts of at most the
// window, so that the share holds in each window that ends with a second request.
func (b *budget) allows(now time.Time) bool {
	current := b.slotAt(now).number
	var firstAttempts, sent, recentFirst, recentSent float64
	for _, c := range b.slots {
		age := current - c.number
		if age < shareSlots {
			firstAttempts += c.firstAttempts
		}
		if age <= shareSlots {
			sent += c.sent
		}
		if age <= 1 {
			recentFirst += c.firstAttempts
			recentSent += c.sent
		}
	}
	return sent+1 <= b.share*firstAttempts && recentSent+1 <= max(1, burstFactor*b.share*recentFirst)
}
