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
Simulate the folder's engine services in virtual time, at several fractions of
the capacity of their targets. The simulation runs the decision code of entries
and agents against a simplified model of an engine. Nothing is sent anywhere; the
same folder and seed give the same figures. Real engines differ from the model:
use the figures to compare folders, not to predict absolute values.
`

type forecastCmd struct {
	Folder string        `arg:"" type:"existingdir" help:"Folder of .yaml files."`
	For    time.Duration `default:"1m" help:"Virtual duration of each run."`
	Seed   uint64        `default:"1" help:"Random seed of the request arrivals."`
}

// loadFractions are the simulated request rates, as fractions of the targets'
// capacity.
var loadFractions = []float64{0.5, 0.8, 1.0, 1.5}

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
		svc := conf.Service(name)
		if svc.Kind() != service.Engine || svc.ExpectedTargets() == 0 {
			continue
		}
		rows += c.writeForecast(w, svc, conf)
	}
	if rows == 0 {
		return errors.New("no engine service has a number of targets")
	}
	return w.Flush()
}

// goalResult returns "met" if the 95th percentiles of the time to the first
// token and of the gap between tokens are within the service's goals, else
// "missed".
func goalResult(svc *service.Service, outcome *forecast.Outcome) string {
	if outcome.TimeToFirstToken(0.95) <= svc.FirstTokenGoal() && outcome.TokenGap(0.95) <= svc.TokenGapGoal() {
		return "met"
	}
	return "missed"
}

// writeForecast simulates a service at each load, writes one row per load, and
// returns the number of rows.
func (c *forecastCmd) writeForecast(w *tabwriter.Writer, svc *service.Service, conf *config.Config) int {
	var model forecast.Model
	model.Defaults()
	model.SetLimits(svc.ColdLimit(), svc.WarmLimit(), svc.WarmUpUnits(), svc.QueueLimit())
	var plan forecast.Plan
	plan.Defaults()
	plan = plan.WithModel(model, svc.ExpectedTargets()).WithAccounts(conf.AccountCount()).WithDurationAndSeed(c.For, c.Seed)
	capacity := forecast.Capacity(plan)
	for _, fraction := range loadFractions {
		outcome := forecast.Simulate(plan.WithRate(fraction * capacity))
		_, _ = fmt.Fprintf(w, "%s\t%.0f%%\t%.1f\t%s\t%s\t%.0f%%\t%.1f%%\t%s\n", svc.Name(), fraction*100, fraction*capacity,
			outcome.TimeToFirstToken(0.95).Round(time.Millisecond), outcome.TokenGap(0.95).Round(time.Millisecond),
			100*outcome.HitRate(), 100*float64(outcome.Refused())/float64(max(outcome.Requests(), 1)), goalResult(svc, outcome))
	}
	return len(loadFractions)
}
