package balance

import (
	"cmp"
	"slices"
	"time"
)

// TargetState is the state of one target as a dump shows it.
type TargetState struct {
	ID         string `yaml:"id"`
	Service    string `yaml:"service"`
	DataCentre string `yaml:"data-centre"`
	Group      string `yaml:"group"`
	Leaving    bool   `yaml:"leaving"`
	// BackoffMs is how much longer the target wants no requests.
	BackoffMs int64 `yaml:"backoff-ms"`
	// LimitPerSecond is the number of requests per second that the target takes from all
	// entries together; 0 if it names none.
	LimitPerSecond float64 `yaml:"limit-per-second"`
	InFlight       int     `yaml:"in-flight"`
	Failures       int     `yaml:"failures"`
	StepTimeMs     int64   `yaml:"pace-ms"`
}

// Targets returns the state of all targets, sorted by ID.
func (f *Fleet) Targets(now time.Time) []TargetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []TargetState
	for id, m := range f.members {
		out = append(out, TargetState{
			ID:             id,
			Service:        m.target.Service,
			DataCentre:     m.target.DataCentre,
			Group:          m.group.name,
			Leaving:        m.isLeaving(),
			BackoffMs:      m.notice.backoffRemaining(now).Milliseconds(),
			LimitPerSecond: m.notice.limitPerSecond(),
			InFlight:       m.inFlight,
			Failures:       m.failures,
			StepTimeMs:     m.group.stepTime.mean.Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b TargetState) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
