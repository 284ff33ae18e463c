package confirmation

// Source is what shows that an entry knows each version that the store may have lost.
type Source string

// The sources; Unknown stands for none.
const (
	Unknown       Source = ""
	AnotherEntry  Source = "another entry"
	StoreRecord   Source = "record in the store"
	FirstStart    Source = "first start"
	OperatorWrite Source = "operator's write"
	Waited        Source = "none, the operator has had time to write"
)

// RecordState is what the records in the store tell of the generation that it is in. A record
// goes back with a copy, and then names an earlier generation than the store does.
type RecordState int

// The states of the records.
const (
	// UnreadRecord stands for records that were not read.
	UnreadRecord RecordState = iota
	// NotRecorded means that no generation is recorded.
	NotRecorded
	// RecordedEarlier means that the configuration was confirmed, but not since the latest
	// restore.
	RecordedEarlier
	// RecordedNow means that the configuration was confirmed since the latest restore, so that
	// nothing is lost that is newer.
	RecordedNow
)

// String implements fmt.Stringer.
func (r RecordState) String() string {
	return [...]string{"not read", "none", "an earlier generation", "this generation"}[r]
}
