package main

import (
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"bluebellcrank/internal/coordination/forecast"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/service"
	"bluebellcrank/internal/transport/operator"
)

const usageForecast = `
Play the folder's engine services in virtual time, with the real decisions of
entries and agents and a small model of an engine, at several parts of what
its targets bear. Nothing is sent anywhere; the same folder and seed give the
same figures. The model's engine is not yours: compare folders with it, not
promises.
`

type forecastCmd struct {
	Folder string        `arg:"" type:"existingdir" help:"Folder of .yaml files."`
	For    time.Duration `default:"1m" help:"Virtual time of each run."`
	Seed   uint64        `default:"1" help:"Seed of the arrivals."`
}

// parts are the loads that are played, of what the targets bear.
var parts = []float64{0.5, 0.8, 1.0, 1.5}

// Help implements kong.HelpProvider.
func (forecastCmd) Help() string { return usageForecast }

// Run implements the subcommand.
func (c *forecastCmd) Run() error {
	conf, err := operator.Check(c.Folder)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tLOAD\tREQUESTS/S\tFIRST TOKEN P95\tBETWEEN TOKENS P95\tPREFIX HITS\tREFUSED\tOBJECTIVES")
	rows := 0
	for _, name := range conf.Services() {
		s := conf.Service(name)
		if s.Kind() != service.Engine || s.ExpectedTargets() == 0 {
			continue
		}
		rows += c.play(w, s, conf)
	}
	if rows == 0 {
		return errors.New("no service is an engine with a number of targets")
	}
	return w.Flush()
}

// objectives says whether 95 in 100 are within the service's objectives.
func objectives(s *service.Service, o *forecast.Outcome) string {
	if o.TimeToFirstToken(0.95) <= s.FirstTokenGoal() && o.TokenGap(0.95) <= s.TokenGapGoal() {
		return "met"
	}
	return "missed"
}

// play writes a service's rows and returns how many there are.
func (c *forecastCmd) play(w *tabwriter.Writer, s *service.Service, conf *config.Config) int {
	var m forecast.Model
	m.Defaults()
	m.SetLimits(s.ColdLimit(), s.WarmLimit(), s.WarmUpUnits(), s.QueueLimit())
	var p forecast.Plan
	p.Defaults()
	p = p.WithModel(m, s.ExpectedTargets()).WithAccounts(conf.AccountCount()).WithDurationAndSeed(c.For, c.Seed)
	bears := forecast.Capacity(p)
	for _, part := range parts {
		o := forecast.Simulate(p.WithRate(part * bears))
		_, _ = fmt.Fprintf(w, "%s\t%.0f%%\t%.1f\t%s\t%s\t%.0f%%\t%.1f%%\t%s\n", s.Name(), part*100, part*bears,
			o.TimeToFirstToken(0.95).Round(time.Millisecond), o.TokenGap(0.95).Round(time.Millisecond),
			100*o.HitRate(), 100*float64(o.Refused())/float64(max(o.Requests(), 1)), objectives(s, o))
	}
	return len(parts)
}
