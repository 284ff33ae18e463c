package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxReports bounds the keys that one entry reports to another.
	maxReports = 512
	// answerReportPeriod is how long an answer that ended a suspicion is reported.
	answerReportPeriod = 30 * time.Second
)

// Report is what an entry knows about one key, in the form in which entries exchange it.
type Report struct {
	Key Key `json:"key"`
	// Crashes lists the crashes since the last answer.
	Crashes []CrashReport `json:"crashes,omitempty"`
	// AnswerAgeMs is the time since the last answer in ms; negative if there is none.
	AnswerAgeMs int64 `json:"answer-age-ms"`
}

// CrashReport is one crash of a report.
type CrashReport struct {
	AgeMs int64 `json:"age-ms"`
	// SpreadMs is how much shorter the age may be.
	SpreadMs int64 `json:"spread-ms,omitempty"`
	Weight   int   `json:"weight"`
	// Companions are the keys that may be to blame instead.
	Companions []Key `json:"companions,omitempty"`
}

// AsOf returns the report as of a time that is later by elapsed, give or take inaccuracy.
func (r Report) AsOf(elapsed, inaccuracy time.Duration) Report {
	out := Report{Key: r.Key, AnswerAgeMs: r.AnswerAgeMs}
	if out.AnswerAgeMs >= 0 {
		out.AnswerAgeMs += inMs(elapsed)
	}
	for _, c := range r.Crashes {
		c.AgeMs += inMs(elapsed + inaccuracy)
		c.SpreadMs += inMs(2 * inaccuracy)
		out.Crashes = append(out.Crashes, c)
	}
	return out
}

// ReportOf returns the report of a key.
func (l *List) ReportOf(k Key, now time.Duration) Report {
	out := Report{Key: k, AnswerAgeMs: -1}
	r := l.records[k]
	if r == nil {
		return out
	}
	if r.provenAt > 0 {
		out.AnswerAgeMs = inMs(now - r.provenAt)
	}
	for _, c := range r.crashes {
		out.Crashes = append(out.Crashes, CrashReport{AgeMs: inMs(now - c.at), SpreadMs: inMs(c.spread), Weight: c.weight, Companions: c.companions})
	}
	return out
}

// Reports returns the reports of the keys that changed after a version of the list; the
// most blamed ones if there are too many. Keys without crashes that changed long ago are
// left out.
func (l *List) Reports(after uint64, now time.Duration) []Report {
	var keys []Key
	for k, r := range l.records {
		if r.changedIn > after && (len(r.crashes) > 0 || now-r.provenAt < answerReportPeriod) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(l.records[a].compareBlame(l.records[b]), cmp.Compare(a, b))
	})
	out := make([]Report, 0, min(len(keys), maxReports))
	for _, k := range keys[:min(len(keys), maxReports)] {
		out = append(out, l.ReportOf(k, now))
	}
	return out
}

// Merge adds what another entry reported between the time at which it was asked and now.
func (l *List) Merge(reports []Report, askedAt, now time.Duration) Changes {
	var out Changes
	for _, report := range reports {
		if len(report.Crashes) == 0 && l.records[report.Key] == nil {
			continue
		}
		out = out.and(l.update(report.Key, now, func(r *record) bool { return r.merge(report, askedAt, now) }))
	}
	return out
}

// merge adds the crashes and the answer of a report. It reports whether other entries
// should know, as of an answer that the reporting entry does not know of.
func (r *record) merge(report Report, askedAt, now time.Duration) bool {
	changed := r.changedIn == 0
	if report.AnswerAgeMs >= 0 {
		changed = r.addAnswer(askedAt-milliseconds(report.AnswerAgeMs)) || changed
	}
	for _, c := range report.Crashes[:min(len(report.Crashes), maxCrashes)] {
		received := crash{
			at: askedAt - milliseconds(max(c.AgeMs, 0)),
			// The age is rounded up.
			spread:     now - askedAt + milliseconds(max(c.SpreadMs, 0)) + time.Millisecond,
			weight:     min(max(c.Weight, weakWeight), strongWeight),
			companions: c.Companions[:min(len(c.Companions), maxCompanions)],
		}
		changed = r.addCrash(received) || changed
	}
	return changed || r.provenAt > 0 && report.AnswerAgeMs < 0
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// inMs returns a time in ms, rounded up.
func inMs(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
