package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// limitWindow is the time over which a target's own limit is averaged.
	limitWindow = 4 * time.Second
	// minLimitPerSecond replaces lower limits, also 0: a target that got no request
	// could not say that its limit has changed.
	minLimitPerSecond = 0.25
	// limitChangeFraction is the fraction by which a limit changes at least before other
	// entries are told.
	limitChangeFraction = 0.1
	// limitAgeTolerance is how much older another entry's observation of a limit must be
	// to be known as outdated: its age contains the time of one or two calls.
	limitAgeTolerance = 500 * time.Millisecond
	// maxLimitReports bounds the limits that one entry reports to another at once.
	maxLimitReports = 1024
)

// namedLimit is the limit that a target named in its last answer that is known.
type namedLimit struct {
	// perSecond is the number of requests per second that the target takes from all
	// entries together; 0 if it names none.
	perSecond float64
	// observedAt is the boot time of that answer at the entry that got it.
	observedAt time.Duration
	// told is perSecond as other entries were told last.
	told float64
	// changedIn is the version of the fleet's limits in which told changed last; 0 if
	// it never did.
	changedIn uint64
}

// LimitReport is what an entry knows of a target's limit, in the form in which entries
// exchange it. Its fields are exported, because they are plain decoded values.
type LimitReport struct {
	Target string `json:"target"`
	// StartedAtMs identifies the run of the target.
	StartedAtMs int64 `json:"started-at-ms"`
	// PerSecond is 0 if the target names no limit any more.
	PerSecond float64 `json:"per-second"`
	// AgeMs is the time in ms since the answer that named the limit, or none.
	AgeMs int64 `json:"age-ms"`
}

// LimitChange is a limit that has changed, for the log.
type LimitChange struct {
	// Target is the target's ID.
	Target string
	// PerSecond is 0 if the target names no limit any more.
	PerSecond float64
}

// RecordLimit records the requests per second that the target accepts from all entries
// together, as an answer named it at a boot time. It reports whether other entries are to
// be told.
func (l *Lease) RecordLimit(perSecond float64, boot time.Duration) bool {
	return l.observeLimit(max(perSecond, minLimitPerSecond), boot)
}

// RecordNoLimit records that an answer of the target named no limit at a boot time. It
// reports whether other entries are to be told.
func (l *Lease) RecordNoLimit(boot time.Duration) bool { return l.observeLimit(0, boot) }

func (l *Lease) observeLimit(perSecond float64, boot time.Duration) bool {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.notices[l.target.ID]; perSecond == 0 && (known == nil || known.limit.changedIn == 0) {
		return false // it never named one
	}
	n := f.noticeOf(l.target.ID, l.target.StartedAtMs)
	if n == nil || boot < n.limit.observedAt {
		return false
	}
	return f.setLimit(n, perSecond, boot)
}

// setLimit replaces a target's limit. It reports whether other entries are to be told.
func (f *Fleet) setLimit(n *notice, perSecond float64, observedAt time.Duration) bool {
	n.limit.perSecond, n.limit.observedAt = perSecond, observedAt
	told := n.limit.told
	isNews := (perSecond > 0) != (told > 0) || math.Abs(perSecond-told) > limitChangeFraction*told
	if isNews {
		n.limit.told = perSecond
		f.limitVersion++
		n.limit.changedIn = f.limitVersion
	}
	return isNews
}

// LimitReports returns the version of what this entry knows of targets' limits, and what
// has changed since a version. If that is too much, the version is an earlier one.
func (f *Fleet) LimitReports(after uint64, boot time.Duration) (uint64, []LimitReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changed []string
	for id, n := range f.notices {
		if n.limit.changedIn > after {
			changed = append(changed, id)
		}
	}
	slices.SortFunc(changed, func(a, b string) int { return cmp.Compare(f.notices[a].limit.changedIn, f.notices[b].limit.changedIn) })
	version := f.limitVersion
	if len(changed) > maxLimitReports {
		changed = changed[:maxLimitReports]
		version = f.notices[changed[maxLimitReports-1]].limit.changedIn
	}
	out := make([]LimitReport, 0, len(changed))
	for _, id := range changed {
		n := f.notices[id]
		out = append(out, LimitReport{Target: id, StartedAtMs: n.startedAtMs, PerSecond: n.limit.perSecond, AgeMs: (boot - n.limit.observedAt).Milliseconds()})
	}
	return version, out
}

// MergeLimits adds what another entry, which was asked at a boot time, knows of targets'
// limits. The newest answer of a target counts. It returns the limits that have changed,
// and whether other entries are to be told something, such as that a report is outdated.
func (f *Fleet) MergeLimits(reports []LimitReport, askedAt time.Duration) (changes []LimitChange, hasNews bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range reports {
		if r.Target == "" || !isLimit(r.PerSecond) {
			continue
		}
		n := f.noticeOf(r.Target, r.StartedAtMs)
		if n == nil {
			continue // a later run of the target is known
		}
		observedAt := askedAt - time.Duration(max(r.AgeMs, 0))*time.Millisecond
		isSame := n.limit.changedIn > 0 && n.limit.perSecond == r.PerSecond
		switch {
		case n.limit.changedIn == 0 || observedAt > n.limit.observedAt:
			if f.setLimit(n, r.PerSecond, observedAt) {
				changes = append(changes, LimitChange{Target: r.Target, PerSecond: r.PerSecond})
			}
		case !isSame && n.limit.observedAt-observedAt > limitAgeTolerance:
			f.limitVersion++
			n.limit.changedIn = f.limitVersion
			hasNews = true
		}
	}
	return changes, hasNews || len(changes) > 0
}

// isLimit reports whether a number can be a limit in requests per second, or 0 for none.
func isLimit(perSecond float64) bool {
	return perSecond >= 0 && !math.IsInf(perSecond, 1)
}

// rateLimit returns the limit that a target has named, if it has.
func (n *notice) rateLimit() (rateLimit, bool) {
	if n == nil || n.limit.perSecond <= 0 {
		return rateLimit{}, false
	}
	perSecond := min(max(n.limit.perSecond, minLimitPerSecond), maxPerSecond)
	// The window is lengthened to a whole number of attempts.
	attempts := math.Ceil(perSecond * limitWindow.Seconds())
	return rateLimit{attempts: int(attempts), window: time.Duration(attempts / perSecond * float64(time.Second))}, true
}

// limitPerSecond returns the limit that a target has named; 0 for none.
func (n *notice) limitPerSecond() float64 {
	if n == nil {
		return 0
	}
	return n.limit.perSecond
}
