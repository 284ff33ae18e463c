package balance

import "time"

const (
	// occupancyWindow is the smoothing window of a group's occupancy. A stream
	// lasts several times as long.
	occupancyWindow = 250 * time.Millisecond
	// occupancyMaxAge is the age up to which the last report of a group counts.
	// About half of the streams of that time have ended later.
	occupancyMaxAge = 700 * time.Millisecond
)

// occupancy estimates the share of a group's slots that the requests of all entries take,
// from the loads that its targets report in their answers. An entry sees few reports of
// one target, but many of its group.
type occupancy struct {
	mean float64
	// ownStreams is the number of this entry's streams, averaged like mean.
	ownStreams float64
	reportedAt time.Time
}

// record records that a target of the group reports a share of its slots as taken while
// this entry has a number of streams in the group.
func (o *occupancy) record(taken float64, ownStreams int, now time.Time) {
	sinceLast := now.Sub(o.reportedAt)
	o.reportedAt = now
	if sinceLast > occupancyMaxAge {
		o.mean, o.ownStreams = taken, float64(ownStreams)
		return
	}
	// Reports that arrive together count too.
	w := smoothingWeight(max(sinceLast, occupancyWindow/10), occupancyWindow)
	o.mean += w * (taken - o.mean)
	o.ownStreams += w * (float64(ownStreams) - o.ownStreams)
}

// expected returns the occupancy with one more stream of this entry in a group with a
// number of slots. The other entries are assumed to have gained as many streams since the
// reports as this one. Without a recent report the slots count as taken, so that after an
// outage entries use only their own shares; a group that has never reported counts as
// empty.
func (o *occupancy) expected(ownStreams, entries, slots int, now time.Time) float64 {
	switch {
	case o.reportedAt.IsZero():
		return 0
	case now.Sub(o.reportedAt) > occupancyMaxAge:
		return 1
	}
	return o.mean + (float64(ownStreams)+1-o.ownStreams)*float64(entries)/float64(max(slots, 1))
}
