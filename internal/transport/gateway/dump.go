package gateway

import (
	"github.com/goccy/go-yaml"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/transport/process"
)

// dumpState is the content of an entry's dump. Config is the version of the
// configuration, and Entries the number of entries.
type dumpState struct {
	Instance          string                `yaml:"instance"`
	DataCentre        string                `yaml:"data-centre"`
	Draining          bool                  `yaml:"draining"`
	Ready             bool                  `yaml:"ready"`
	Config            int64                 `yaml:"config"`
	ConfirmationAgeMs int64                 `yaml:"proof-age-ms"`
	Entries           int64                 `yaml:"entries"`
	Targets           []balance.TargetState `yaml:"targets"`
}

// dump returns the entry's state as YAML.
func (g *Gateway) dump() string {
	s := dumpState{
		Instance:          g.settings.Name,
		DataCentre:        g.settings.DataCentre,
		Draining:          g.draining.Load(),
		Ready:             g.isReady(),
		ConfirmationAgeMs: g.follower.ConfirmationAge(process.BootTime()).Milliseconds(),
		Entries:           g.entryCount.Load(),
		Targets:           g.fleet.Targets(),
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
