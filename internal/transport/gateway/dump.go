package gateway

import (
	"github.com/goccy/go-yaml"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/transport/process"
)

// state is what the dump of an entry shows.
type state struct {
	Instance   string                `yaml:"instance"`
	DataCentre string                `yaml:"data-centre"`
	Draining   bool                  `yaml:"draining"`
	Ready      bool                  `yaml:"ready"`
	Config     int64                 `yaml:"config"`
	ProofAgeMs int64                 `yaml:"proof-age-ms"`
	Entries    int64                 `yaml:"entries"`
	Targets    []balance.TargetState `yaml:"targets"`
}

func (g *Gateway) dump() string {
	s := state{
		Instance:   g.settings.Name,
		DataCentre: g.settings.DataCentre,
		Draining:   g.draining.Load(),
		Ready:      g.isReady(),
		ProofAgeMs: g.follower.ConfirmationAge(process.BootTime()).Milliseconds(),
		Entries:    g.entries.Load(),
		Targets:    g.fleet.Targets(),
	}
	if t := g.follower.Table(); t != nil {
		s.Config = t.Version()
	}
	out, err := yaml.Marshal(s)
	if err != nil {
		return err.Error()
	}
	return string(out)
}
