package expert

import (
	"encoding/json"
	"errors"
)

// RankReport is the state that the engine of one rank reports. The platform's
// adapter sets the fields, and agents exchange them as a JSON array.
type RankReport struct {
	// Group is the name of the rank's group, Rank the index in it, Ranks its size.
	Group string
	Rank  int
	Ranks int
	// Epoch counts how many times the group was formed.
	Epoch int64
	// Open is set while all ranks of the group are present.
	Open bool
	// Step is the number of the last step (forward pass) that was started.
	Step int64
	// Version is the version of the expert map in use.
	Version int64
	// Prepared is the version of the next map whose experts are loaded; 0 for none.
	Prepared int64
	// Armed is the version of the map that the rank will switch to; 0 for none.
	Armed int64
	// Held is the step that the engine was ordered not to start; 0 for none.
	Held int64
	// Slowdown is 1 for an engine at normal speed and larger for a slower one.
	Slowdown float64
	// Running is the number of requests that the rank is processing.
	Running int
}

// elements returns pointers to the fields in the order in which they are encoded.
func (r *RankReport) elements() []any {
	return []any{&r.Group, &r.Rank, &r.Ranks, &r.Epoch, &r.Open, &r.Step, &r.Version, &r.Prepared, &r.Armed, &r.Held, &r.Slowdown, &r.Running}
}

// MarshalJSON implements json.Marshaler. The names of the fields would be most of the
// bytes that the leader of a large group receives.
func (r RankReport) MarshalJSON() ([]byte, error) { return json.Marshal(r.elements()) }

// UnmarshalJSON implements json.Unmarshaler.
func (r *RankReport) UnmarshalJSON(data []byte) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return err
	}
	fields := r.elements()
	if len(elements) != len(fields) {
		return errors.New("expert: a rank's report has the wrong number of elements")
	}
	for n, field := range fields {
		if err := json.Unmarshal(elements[n], field); err != nil {
			return err
		}
	}
	return nil
}
