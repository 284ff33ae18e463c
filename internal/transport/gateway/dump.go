package gateway

import (
	"time"

	"github.com/goccy/go-yaml"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/transport/process"
)

// dumpState is the content of an entry's dump. Config is the version of the
// configuration, and Entries the number of entries.
type dumpState struct {
	Instance          string                 `yaml:"instance"`
	DataCentre        string                 `yaml:"data-centre"`
	Draining          bool                   `yaml:"draining"`
	Ready             bool                   `yaml:"ready"`
	Config            int64                  `yaml:"config"`
	ConfirmationAgeMs int64                  `yaml:"proof-age-ms"`
	Entries           int64                  `yaml:"entries"`
	Services          []balance.ServiceState `yaml:"services"`
	Targets           []balance.TargetState  `yaml:"targets"`
	Suspects          []suspectState         `yaml:"suspects"`
}

// suspectState is a request, or a part of prompts, that was in use when targets ended.
type suspectState struct {
	Key         string `yaml:"key"`
	Quarantined bool   `yaml:"quarantined"`
	Crashes     int    `yaml:"crashes"`
	// LastCrashMs is the time since the last crash in ms.
	LastCrashMs int64 `yaml:"last-crash-ms"`
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
		Services:          g.fleet.Services(time.Now()),
		Targets:           g.fleet.Targets(time.Now()),
		Suspects:          g.quarantine.suspects(process.BootTime()),
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
