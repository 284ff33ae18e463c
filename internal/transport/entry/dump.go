package entry

import (
	"time"

	"github.com/goccy/go-yaml"

	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

func (e *Entry) status() peer.Status {
	return process.Call(e.member.Loop(), func(time.Time) peer.Status {
		s := peer.Status{
			Instance:   e.settings.Instance,
			Role:       target.Entry,
			DataCentre: e.settings.DataCentre,
			Revision:   e.member.Revision(),
			Ready:      e.ready(),
		}
		s.Pending, s.Dropped, s.Kept = e.member.RefusalCounts()
		return s
	})
}

// dump is the entry's state as operators see it.
type dump struct {
	Status   peer.Status     `yaml:"status"`
	Leaving  bool            `yaml:"leaving"`
	InFlight int64           `yaml:"in-flight"`
	Retries  float64         `yaml:"retries-left"`
	Suspects int             `yaml:"suspects"`
	Targets  []candidateDump `yaml:"targets"`
}

// candidateDump is one target as the entry sees it.
type candidateDump struct {
	Instance string        `yaml:"instance"`
	Sent     int64         `yaml:"sent"`
	AgeMs    int64         `yaml:"report-age-ms"`
	Report   target.Report `yaml:"report"`
}

func (e *Entry) dump() string {
	status := e.status()
	d := process.Call(e.member.Loop(), func(now time.Time) dump {
		out := dump{
			Status:   status,
			Leaving:  e.leaving.Load(),
			InFlight: e.inFlight.Load(),
			Retries:  e.budget.Tokens(),
			Suspects: e.suspects.Len(),
		}
		for _, w := range e.watchers {
			r, at, _ := w.candidate.LastReport()
			out.Targets = append(out.Targets, candidateDump{
				Instance: w.instance.ID,
				Sent:     w.candidate.InFlight(),
				AgeMs:    now.Sub(at).Milliseconds(),
				Report:   r,
			})
		}
		return out
	})
	text, err := yaml.Marshal(d)
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	return string(text)
}
