package quarantine

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// first is the place of an entry that may try a quarantined key first.
func first(Key) int { return 0 }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestBlame plays crashes and answers on one list and checks which requests are held
// back.
func TestBlame(t *testing.T) {
	const start = time.Hour
	alone, sound := Suspect{Request: 1}, Suspect{Request: 3}
	type step struct {
		at       time.Duration
		suspect  Suspect
		crash    bool
		hasBegun bool
	}
	type check struct {
		suspect Suspect
		at      time.Duration
		want    time.Duration
	}
	tests := []struct {
		name   string
		steps  []step
		checks []check
	}{
		{"one crash while the request may have waited", []step{{0, alone, true, false}}, []check{{alone, ms(500), 0}}},
		{"two crashes", []step{{0, alone, true, false}, {time.Second, alone, true, false}}, []check{
			{alone, 2 * time.Second, 59 * time.Second}, {sound, 2 * time.Second, 0}, {alone, 61 * time.Second, 0},
		}},
		{"two targets at the same moment", []step{{0, alone, true, false}, {ms(100), alone, true, false}}, []check{{alone, time.Second, 0}}},
		{"one crash as the answer began", []step{{0, alone, true, true}}, []check{{alone, time.Second, 9 * time.Second}}},
		{"an answer between two crashes", []step{{0, alone, true, false}, {ms(500), alone, false, false}, {time.Second, alone, true, false}}, []check{
			{alone, 2 * time.Second, 0},
		}},
		{"two crashes of which one was long ago", []step{{0, alone, true, false}, {time.Hour, alone, true, false}}, []check{{alone, time.Hour + time.Second, 0}}},
		{"trials are further apart after each crash", []step{
			{0, alone, true, true}, {10 * time.Second, alone, true, true}, {70 * time.Second, alone, true, true},
		}, []check{{alone, 71 * time.Second, 10*time.Minute - time.Second}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l := NewList()
			for _, s := range tt.steps {
				if s.crash {
					l.RecordCrash(s.suspect, s.hasBegun, start+s.at)
				} else {
					l.RecordAnswer(s.suspect, start+s.at)
				}
			}
			for _, check := range tt.checks {
				c.Check(l.Check(check.suspect, first, start+check.at), qt.Equals, check.want, qt.Commentf("request %d at %s", check.suspect.Request, check.at))
			}
		})
	}
}

// TestReportsConverge exchanges the lists of two entries again and again. The ages of
// reports are wrong by the time of an exchange, which must not add up.
func TestReportsConverge(t *testing.T) {
	c := qt.New(t)
	a, b := NewList(), NewList()
	now := time.Hour
	innocent := Suspect{Request: 7}
	b.RecordCrash(innocent, false, now)
	b.RecordAnswer(innocent, now)
	now += time.Second
	a.RecordCrash(innocent, true, now)
	a.RecordCrash(Suspect{Request: 8}, true, now)
	c.Assert(a.IsQuarantined(7), qt.IsTrue)
	r := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		for _, lists := range [][2]*List{{a, b}, {b, a}} {
			askedAt := now
			now += time.Duration(r.Int64N(int64(200 * time.Millisecond)))
			content, err := json.Marshal(lists[0].Reports(0, now))
			c.Assert(err, qt.IsNil)
			var reports []Report
			c.Assert(json.Unmarshal(content, &reports), qt.IsNil)
			lists[1].Merge(reports, askedAt, now)
		}
	}
	for _, l := range []*List{a, b} {
		c.Check(l.IsQuarantined(7), qt.IsFalse, qt.Commentf("answered at one entry before the crash at the other"))
		c.Check(l.IsQuarantined(8), qt.IsTrue)
		c.Check(l.records[8].crashes, qt.HasLen, 1)
		c.Check((l.records[8].lastCrash()-time.Hour-time.Second).Abs() < coincidence, qt.IsTrue)
	}
	versions := a.Version() + b.Version()
	a.Merge(b.Reports(0, now), now, now)
	b.Merge(a.Reports(0, now), now, now)
	c.Check(a.Version()+b.Version(), qt.Equals, versions, qt.Commentf("there is nothing new to tell"))
}

// TestMemoryIsBounded has many requests crash targets, no two alike.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	l := NewList()
	now := time.Hour
	guilty := Suspect{Request: 1 << 60}
	l.RecordCrash(guilty, true, now)
	for n := range 20 * maxRecords {
		now += time.Millisecond
		l.RecordCrash(Suspect{Request: Key(n + 10)}, false, now)
		l.RecordAnswer(Suspect{Request: Key(n + 10)}, now-time.Hour)
	}
	c.Check(len(l.records) <= maxRecords, qt.IsTrue, qt.Commentf("%d records", len(l.records)))
	c.Check(l.IsQuarantined(1<<60), qt.IsTrue, qt.Commentf("what is quarantined is kept"))
	c.Check(len(l.Reports(0, now)) <= maxReports, qt.IsTrue)
}
