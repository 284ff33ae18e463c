package confirmation

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/instance"
)

const lifetime = 3500 * time.Millisecond

// TestConfirmationOfAnotherGenerationIsNotBelieved guards against an entry that was paused and is
// believed before it has heard that the store was restored, and against one that takes a restored
// store for confirmed because it does not know of gaps.
func TestConfirmationOfAnotherGenerationIsNotBelieved(t *testing.T) {
	one, two, ago := int64(1), int64(2), int64(500)
	tests := []struct {
		name       string
		applied    Applied
		want       bool
		completeAt time.Duration
	}{
		{"an entry of the first version", Applied{IsConfirmed: true}, false, 0},
		{"an entry of the previous version", Applied{IsConfirmed: true, Generation: &two}, false, 0},
		{"the same generation", Applied{IsConfirmed: true, Generation: &two, CompleteMsAgo: &ago}, true, 9500 * time.Millisecond},
		{"an earlier generation", Applied{IsConfirmed: true, Generation: &one, CompleteMsAgo: &ago}, false, 9500 * time.Millisecond},
		{"a gap", Applied{CompleteMsAgo: &ago, IsWithheld: true}, false, 9500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			tt.applied.Version = 7
			var o Others
			o.Add(tt.applied, two, 10*time.Second, 11*time.Second)
			c.Check(o.IsConfirmed, qt.Equals, tt.want)
			c.Check(o.Version, qt.Equals, int64(7))
			c.Check(o.CompleteAt, qt.Equals, tt.completeAt)
		})
	}
}

// TestWhatEndsAGap guards against a removed key that is served because an entry takes a copy for
// the newest state, and against keys that are refused for longer than nobody can vouch.
func TestWhatEndsAGap(t *testing.T) {
	const version, restoredAt = 5, 100 * time.Second
	tests := []struct {
		name        string
		isRewritten bool
		// writes is set if the operator is seen to write after the list.
		writes   bool
		evidence Evidence
		after    time.Duration
		want     Source
		// age is the time since the latest confirmation at the evidence.
		age time.Duration
	}{
		{name: "nobody vouches", age: 2 * time.Second},
		{name: "nobody vouches, shortly before the end", after: WritePeriod - 1, age: 2*time.Second + WritePeriod - 1},
		{name: "the operator has had time", after: WritePeriod, want: Waited, age: 2*time.Second + WritePeriod},
		{name: "written before the list", isRewritten: true, want: OperatorWrite, age: 2 * time.Second},
		{name: "written after the list", writes: true, want: OperatorWrite, age: 2 * time.Second},
		{name: "written, no answer", writes: true, evidence: Evidence{Err: errors.New("no answer")}, want: OperatorWrite, age: 2 * time.Second},
		{name: "recorded", evidence: Evidence{Record: RecordedNow}, want: StoreRecord, age: 2 * time.Second},
		{name: "recorded earlier", evidence: Evidence{Record: RecordedEarlier}, age: 2 * time.Second},
		{name: "no record", evidence: Evidence{Record: NotRecorded}, age: 2 * time.Second},
		{name: "another entry is confirmed", evidence: Evidence{Others: Others{IsConfirmed: true}}, want: AnotherEntry, age: 2 * time.Second},
		{name: "another entry was in touch for longer", evidence: Evidence{Others: Others{Version: version, CompleteAt: restoredAt - time.Second}}, age: time.Second},
		{name: "and knows a newer version", evidence: Evidence{Others: Others{Version: version + 1, CompleteAt: restoredAt - time.Second}}, age: 2 * time.Second},
		{name: "another entry was in touch for less", evidence: Evidence{Others: Others{Version: version, CompleteAt: restoredAt - 3*time.Second}}, age: 2 * time.Second},
		{name: "another entry has read it earlier", evidence: Evidence{Others: Others{ReadAt: restoredAt - time.Second}}, after: WritePeriod - time.Second, want: Waited, age: time.Second + WritePeriod},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			k := NewTracker(instance.FirstStart)
			k.RecordList(1, false, restoredAt-10*time.Second)
			k.RecordStored(version)
			k.RecordApplied(version)
			c.Assert(k.RecordEvidence(Evidence{Record: NotRecorded}, restoredAt-10*time.Second).Source, qt.Equals, FirstStart)
			k.Confirm(restoredAt - 2*time.Second)
			c.Assert(k.RecordList(2, tt.isRewritten, restoredAt), qt.IsTrue)
			k.RecordStored(version)
			k.Confirm(restoredAt)
			c.Assert(k.Age(restoredAt), qt.Equals, 2*time.Second)
			if tt.writes {
				k.RecordWrite()
			}
			now := restoredAt + tt.after
			c.Check(k.RecordEvidence(tt.evidence, now).Source, qt.Equals, tt.want)
			c.Check(k.HasGap(), qt.Equals, tt.want == Unknown)
			c.Check(k.Age(now), qt.Equals, tt.age)
			c.Check(k.Applied(lifetime, now).IsWithheld, qt.Equals, tt.want == Unknown || tt.age > lifetime)
			k.Confirm(now)
			isLost := tt.evidence.Others.Version > version
			c.Check(k.Age(now) == 0, qt.Equals, tt.want != Unknown && !isLost)
		})
	}
}

// TestRewriteOfAnUnconfirmedGenerationEndsNoGap guards against a second restore whose copy has a
// write of after the first one, and which is taken for a write of after the second.
func TestRewriteOfAnUnconfirmedGenerationEndsNoGap(t *testing.T) {
	c := qt.New(t)
	k := NewTracker(instance.FirstStart)
	k.RecordList(1, false, 0)
	k.RecordStored(5)
	k.RecordApplied(5)
	k.RecordEvidence(Evidence{Record: NotRecorded}, 0)
	k.Confirm(0)
	k.RecordList(2, false, 10*time.Second)
	k.RecordList(3, true, 11*time.Second)
	c.Check(k.RecordEvidence(Evidence{}, 11*time.Second).Source, qt.Equals, Unknown)
	c.Check(k.RecordEvidence(Evidence{}, 10*time.Second+WritePeriod).Source, qt.Equals, Unknown)
	c.Check(k.RecordEvidence(Evidence{}, 11*time.Second+WritePeriod).Source, qt.Equals, Waited)
}
