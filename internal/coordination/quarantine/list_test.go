package quarantine

import (
	"encoding/json"
	"fmt"
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
	head, deadly, other := PartKey("drafts", "head"), PartKey("drafts", "deadly"), PartKey("drafts", "other")
	alone := Suspect{Request: 1}
	tainted := Suspect{Request: 2, Parts: []Key{head, deadly}}
	sound := Suspect{Request: 3, Parts: []Key{head}}
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
		{"a part, beside one that was answered before", []step{{0, sound, false, false}, {time.Second, tainted, true, true}}, []check{
			{Suspect{Request: 4, Parts: []Key{head, deadly}}, 2 * time.Second, 9 * time.Second}, {sound, 2 * time.Second, 0},
		}},
		{"a part, beside one that was never answered, is tried alone after a second", []step{{0, tainted, true, true}}, []check{
			{sound, ms(500), ms(500)}, {sound, ms(1000), 0},
			{Suspect{Request: 4, Parts: []Key{head, deadly}}, 2 * time.Second, 8 * time.Second},
		}},
		{"the part tried alone was answered", []step{{0, tainted, true, true}, {ms(1500), sound, false, false}}, []check{
			{Suspect{Request: 4, Parts: []Key{head, other}}, 2 * time.Second, 0},
			{Suspect{Request: 4, Parts: []Key{head, deadly}}, 2 * time.Second, 8 * time.Second},
		}},
		{"a part that was answered before crashes targets from now on", []step{
			{0, sound, false, false}, {time.Second, Suspect{Request: 5, Parts: []Key{head}}, true, true},
			{2 * time.Second, Suspect{Request: 6, Parts: []Key{head}}, true, true},
		}, []check{{Suspect{Request: 7, Parts: []Key{head}}, ms(2500), ms(500)}}},
		{"trials are further apart after each crash", []step{
			{0, alone, true, true}, {10 * time.Second, alone, true, true}, {70 * time.Second, alone, true, true},
		}, []check{{alone, 71 * time.Second, 10*time.Minute - time.Second}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l := NewList(0)
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

// TestEntryThatHasJustStarted checks that an entry that has seen no answers yet does not
// blame a part for a single crash.
func TestEntryThatHasJustStarted(t *testing.T) {
	c := qt.New(t)
	const start = time.Hour
	l := NewList(start)
	sound := Suspect{Request: 1, Parts: []Key{PartKey("drafts", "head")}}
	l.RecordCrash(sound, true, start+time.Second)
	c.Check(l.Check(Suspect{Request: 2, Parts: sound.Parts}, first, start+ms(1100)), qt.Equals, time.Duration(0))
	l.RecordCrash(Suspect{Request: 2, Parts: sound.Parts}, true, start+2*time.Second)
	c.Check(l.IsQuarantined(sound.Parts[0]), qt.IsTrue)
}

// TestReportsConverge exchanges the lists of two entries again and again. The ages of
// reports are wrong by the time of an exchange, which must not add up.
func TestReportsConverge(t *testing.T) {
	c := qt.New(t)
	a, b := NewList(0), NewList(0)
	now := time.Hour
	innocent := Suspect{Request: 1, Parts: []Key{7}}
	b.RecordAnswer(innocent, now)
	now += time.Second
	a.RecordCrash(innocent, true, now)
	a.RecordCrash(Suspect{Request: 2, Parts: []Key{8}}, true, now)
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
	l := NewList(0)
	now := time.Hour
	guilty := Suspect{Request: 1, Parts: []Key{1 << 60}}
	l.RecordCrash(guilty, true, now)
	for n := range 20 * maxRecords {
		now += time.Millisecond
		l.RecordCrash(Suspect{Request: Key(n + 10)}, false, now)
		l.RecordAnswer(Suspect{Request: Key(n + 10), Parts: []Key{Key(n + 1<<40)}}, now-time.Hour)
	}
	c.Check(len(l.records) <= maxRecords, qt.IsTrue, qt.Commentf("%d records", len(l.records)))
	c.Check(len(l.proven.young)+len(l.proven.old) <= 2*maxProvenKeys, qt.IsTrue)
	c.Check(l.IsQuarantined(1<<60), qt.IsTrue, qt.Commentf("what is quarantined is kept"))
	c.Check(len(l.Reports(0, now)) <= maxReports, qt.IsTrue)
}

// TestMemoryOfLongPrompts has prompts of many parts crash targets.
func TestMemoryOfLongPrompts(t *testing.T) {
	const crashes, partCount = 3, 2000
	c := qt.New(t)
	l := NewList(0)
	for n := range crashes {
		s := Suspect{Request: Key(n + 1)}
		for part := range partCount {
			s.Parts = append(s.Parts, Key(100+n*partCount+part))
		}
		l.RecordCrash(s, true, time.Hour+time.Duration(n)*time.Second)
	}
	c.Check(len(l.records) <= maxRecords, qt.IsTrue, qt.Commentf("%d records", len(l.records)))
	for _, r := range l.records {
		for _, one := range r.crashes {
			c.Assert(len(one.companions) <= maxCompanions, qt.IsTrue, qt.Commentf("%d companions", len(one.companions)))
		}
	}
}

// crashFleet plays entries and their targets in virtual time: requests of which some
// have a deadly part, targets that end as they begin to answer it, targets that are
// killed at times, and lists that are exchanged after a delay.
type crashFleet struct {
	random  *rand.Rand
	lists   []*List
	now     time.Duration
	crashes []time.Duration
	// late counts the deadly requests sent later than window after the crash with the
	// number tolerated.
	late, tolerated int
	window          time.Duration
	sent, served    int
	// known has the versions of the lists that were exchanged last.
	known []uint64
}

// exchange has each list learn what the others know.
func (f *crashFleet) exchange() {
	for n, from := range f.lists {
		reports := from.Reports(f.known[n], f.now)
		f.known[n] = from.Version()
		if len(reports) == 0 {
			continue
		}
		for _, to := range f.lists {
			if to != from {
				to.Merge(reports, f.now-ms(f.random.IntN(150)), f.now)
			}
		}
	}
}

// TestFleetWithADeadlyPart checks that deadly requests soon reach no target, and that
// sound ones with the same first part are served, whatever the share of deadly ones.
func TestFleetWithADeadlyPart(t *testing.T) {
	const entries, requestGap, heads = 10, 25 * time.Millisecond, 12
	tests := []struct {
		deadlyShare float64
		// killGap is the time between targets that end for another reason; 0 for none.
		killGap time.Duration
		// isKnown is set if the parts were answered before the first deadly request.
		isKnown bool
	}{
		{0.05, 0, true}, {0.05, 0, false}, {0.3, 0, true}, {0.02, 0, false}, {0.05, 2 * time.Second, true}, {0, 300 * time.Millisecond, true}, {0, 300 * time.Millisecond, false},
	}
	for _, tt := range tests {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%v, seed %d", tt, seed), func(t *testing.T) {
				c := qt.New(t)
				f := &crashFleet{random: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, tolerated: 5, window: 3 * time.Second}
				for range entries {
					f.lists, f.known = append(f.lists, NewList(0)), append(f.known, 0)
				}
				if tt.isKnown {
					for n := range heads {
						f.lists[n%entries].RecordAnswer(Suspect{Request: Key(n + 1), Parts: []Key{Key(n + 100)}}, f.now)
					}
				}
				end := f.now + 40*time.Second
				nextKill := f.now + tt.killGap
				for request := Key(1000); f.now < end; f.now += requestGap {
					request++
					at := f.random.IntN(entries)
					list := f.lists[at]
					head := Key(100 + f.random.IntN(heads))
					suspect := Suspect{Request: request, Parts: []Key{head}}
					isDeadly := f.random.Float64() < tt.deadlyShare
					if isDeadly {
						suspect.Parts = []Key{100, 99}
					}
					isFrom := func(Key) int { return at }
					if list.Check(suspect, isFrom, f.now) == 0 {
						list.StartTrial(suspect, f.now)
						f.play(list, suspect, isDeadly)
					}
					if !isDeadly {
						f.sent++
					}
					if tt.killGap > 0 && f.now >= nextKill {
						nextKill += tt.killGap
						list.RecordCrash(Suspect{Request: request + 1<<30, Parts: []Key{head}}, f.random.IntN(10) == 0, f.now)
					}
					f.exchange()
				}
				c.Check(f.late <= 3, qt.IsTrue, qt.Commentf("%d late, crashes at %v", f.late, f.crashes))
				c.Check(len(f.crashes) <= 6, qt.IsTrue, qt.Commentf("%d crashes", len(f.crashes)))
				c.Check(float64(f.served) > 0.9*float64(f.sent), qt.IsTrue, qt.Commentf("%d of %d sound requests served", f.served, f.sent))
			})
		}
	}
}

// play has a target run a request.
func (f *crashFleet) play(list *List, s Suspect, isDeadly bool) {
	if !isDeadly {
		f.served++
		list.RecordAnswer(s, f.now)
		return
	}
	if len(f.crashes) >= f.tolerated && f.now-f.crashes[f.tolerated-1] > f.window {
		f.late++
	}
	f.crashes = append(f.crashes, f.now)
	list.RecordCrash(s, true, f.now)
}
