package follower

import "time"

// listTimes tells which list is the first one of a restored store, and when the lists after
// it are due.
type listTimes struct {
	// generation is that of the store at the latest list, which was at listedAt.
	generation int64
	listedAt   time.Time
	// restoredAt is the time of the first list of the restored store; zero if there was
	// none.
	restoredAt time.Time
}

// record records a list, and reports whether it is the first one of a restored store.
func (l *listTimes) record(generation int64, now time.Time) bool {
	isFirst := !l.listedAt.IsZero() && generation != l.generation
	l.generation, l.listedAt = generation, now
	if isFirst {
		l.restoredAt = now
	}
	return isFirst
}

// untilNext returns how long a watch may wait if there is to be a list after each of the
// periods since the store was restored, in rising order; 0 if one is due.
func (l *listTimes) untilNext(now time.Time, periods ...time.Duration) time.Duration {
	for _, period := range periods {
		if due := l.restoredAt.Add(period); l.listedAt.Before(due) {
			return min(listWatchWait, max(0, due.Sub(now)))
		}
	}
	return listWatchWait
}
