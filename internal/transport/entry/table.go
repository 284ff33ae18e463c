package entry

import (
	"time"

	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"bluebellcrank/internal/coordination/route"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/target"
)

const (
	// reportExchangeBytes is the approximate size of a report and its request.
	reportExchangeBytes = 480
	// maxMissedReports is the number of consecutive failed queries after which the
	// last report is discarded.
	maxMissedReports = 2
)

// table contains the targets of each service and the rate limiters of the accounts that
// have a rate limit. Request handlers read it as a snapshot.
type table struct {
	sets     map[string]*route.Set
	limiters map[string]*rate.Limiter
}

func newTable() *table {
	return &table{sets: map[string]*route.Set{}, limiters: map[string]*rate.Limiter{}}
}

// setOf returns a service's targets, or an empty set for an unknown service.
func (t *table) setOf(service string) *route.Set {
	if s := t.sets[service]; s != nil {
		return s
	}
	return route.NewSet(nil)
}

// reportPoller polls the reports of one candidate until stop is closed.
type reportPoller struct {
	candidate *route.Candidate
	instance  target.Instance
	stop      chan struct{}
}

func (e *Entry) onConfig(*config.Config)            { e.rebuildTable() }
func (e *Entry) onInstanceList(_ []target.Instance) { e.rebuildTable() }

// rebuildTable replaces the table by one for the current configuration and instance
// list. It runs on the control loop.
func (e *Entry) rebuildTable() {
	c := e.member.Config()
	if c == nil {
		return
	}
	instances := e.member.Instances()
	t := newTable()
	wanted := map[string]target.Instance{}
	byService := map[string][]target.Instance{}
	for _, name := range c.Services() {
		list := route.Subset(e.settings.Instance, e.settings.DataCentre, eligibleAgents(instances, name, c), e.settings.SubsetSize)
		byService[name] = list
		for _, i := range list {
			wanted[i.ID] = i
		}
	}
	e.updatePollers(wanted)
	for name, list := range byService {
		t.sets[name] = route.NewSet(lo.Map(list, func(i target.Instance, _ int) *route.Candidate {
			return e.pollers[i.ID].candidate
		}))
	}
	e.addLimiters(t, c, countEntries(instances))
	e.table.Store(t)
}

// eligibleAgents returns a service's agents that are not leaving, in data centres that
// are in service.
func eligibleAgents(instances []target.Instance, service string, c *config.Config) []target.Instance {
	return lo.Filter(instances, func(i target.Instance, _ int) bool {
		return i.Role == target.Agent && i.Service == service && !i.Leaving && c.IsDataCentreInService(i.DataCentre)
	})
}

// countEntries returns the number of entries that are not leaving, but at least 1.
func countEntries(instances []target.Instance) int {
	return max(1, lo.CountBy(instances, func(i target.Instance) bool { return i.Role == target.Entry && !i.Leaving }))
}

// updatePollers starts and stops pollers so that there is one for each wanted instance.
// A poller whose instance has changed is replaced.
func (e *Entry) updatePollers(wanted map[string]target.Instance) {
	for id, p := range e.pollers {
		if i, found := wanted[id]; !found || i != p.instance {
			close(p.stop)
			delete(e.pollers, id)
		}
	}
	interval := e.reportInterval(len(wanted))
	for id, i := range wanted {
		if e.pollers[id] != nil {
			continue
		}
		p := &reportPoller{
			candidate: route.NewCandidate(i, i.DataCentre == e.settings.DataCentre),
			instance:  i,
			stop:      make(chan struct{}),
		}
		e.pollers[id] = p
		go e.pollReports(p, interval)
	}
}

// reportInterval returns the polling interval at which the reports of all targets stay
// within the configured bytes per second.
func (e *Entry) reportInterval(targets int) time.Duration {
	byteLimited := time.Duration(targets*reportExchangeBytes) * time.Second / time.Duration(e.settings.ReportBytes)
	return max(e.settings.ReportInterval, byteLimited)
}

// pollReports queries one agent's reports until the poller or the entry is stopped.
func (e *Entry) pollReports(p *reportPoller, interval time.Duration) {
	misses := 0
	query := func() {
		req := peer.ReportRequest{Revision: e.member.Revision()}
		r, err := peer.Call[peer.ReportRequest, target.Report](e.member.Pool(), p.instance.Peer, peer.MethodReport, req)
		if err != nil {
			misses++
			if misses >= maxMissedReports {
				p.candidate.ClearReport()
			}
			return
		}
		misses = 0
		p.candidate.SetReport(r, time.Now())
		e.member.PullIfNewer(p.instance.Peer, r.Revision)
	}
	query()
	for {
		select {
		case <-p.stop:
			return
		case <-e.stop:
			return
		case <-time.After(interval):
			query()
		}
	}
}

// addLimiters adds a rate limiter for each account with a rate limit. Each entry enforces
// an equal share of the limit. A limiter whose rate is unchanged is kept with its state.
func (e *Entry) addLimiters(t *table, c *config.Config, entries int) {
	old := e.table.Load()
	for _, a := range c.RateLimitedAccounts() {
		perEntry := rate.Limit(float64(a.RequestsPerSecond()) / float64(entries))
		if l := old.limiters[a.Name()]; l != nil && l.Limit() == perEntry {
			t.limiters[a.Name()] = l
			continue
		}
		t.limiters[a.Name()] = rate.NewLimiter(perEntry, max(1, int(perEntry)))
	}
}
