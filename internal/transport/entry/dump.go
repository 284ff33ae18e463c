package entry

import (
	"time"

	"github.com/goccy/go-yaml"

	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

// status returns the entry's status for operators and peers.
func (e *Entry) status() peer.Status {
	return process.Call(e.member.Loop(), func(time.Time) peer.Status {
		s := peer.Status{
			Instance:   e.settings.Instance,
			Role:       target.Entry,
			DataCentre: e.settings.DataCentre,
			Revision:   e.member.Revision(),
			Ready:      e.isReady(),
		}
		s.Pending, s.Dropped, s.Kept = e.member.RefusalCounts()
		return s
	})
}

// dump is the entry's state as shown to operators.
type dump struct {
	Status      peer.Status     `yaml:"status"`
	Leaving     bool            `yaml:"leaving"`
	InFlight    int64           `yaml:"in-flight"`
	RetriesLeft float64         `yaml:"retries-left"`
	Suspects    int             `yaml:"suspects"`
	Targets     []candidateDump `yaml:"targets"`
}

// candidateDump is the entry's view of one target. InFlight counts the units of work
// that this entry sent.
type candidateDump struct {
	Instance    string        `yaml:"instance"`
	InFlight    int64         `yaml:"sent"`
	ReportAgeMs int64         `yaml:"report-age-ms"`
	Report      target.Report `yaml:"report"`
}

// dump returns the entry's state as YAML.
func (e *Entry) dump() string {
	status := e.status()
	d := process.Call(e.member.Loop(), func(now time.Time) dump {
		state := dump{
			Status:      status,
			Leaving:     e.isLeaving.Load(),
			InFlight:    e.inFlight.Load(),
			RetriesLeft: e.budget.Tokens(),
			Suspects:    e.suspects.Len(),
		}
		for _, p := range e.pollers {
			r, at, _ := p.candidate.LastReport()
			state.Targets = append(state.Targets, candidateDump{
				Instance:    p.instance.ID,
				InFlight:    p.candidate.InFlight(),
				ReportAgeMs: now.Sub(at).Milliseconds(),
				Report:      r,
			})
		}
		return state
	})
	text, err := yaml.Marshal(d)
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	return string(text)
}
