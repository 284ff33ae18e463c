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
	// reportWireBytes is about what one report and its question take.
	reportWireBytes = 480
	// missesToForget is how many reports in a row may fail.
	missesToForget = 2
)

// table is what traffic reads: the targets of each service and the rate
// limits of the accounts that have one.
type table struct {
	sets     map[string]*route.Set
	limiters map[string]*rate.Limiter
}

func newTable() *table {
	return &table{sets: map[string]*route.Set{}, limiters: map[string]*rate.Limiter{}}
}

// set returns a service's targets.
func (t *table) set(service string) *route.Set {
	if s := t.sets[service]; s != nil {
		return s
	}
	return route.NewSet(nil)
}

// watcher follows the reports of one candidate.
type watcher struct {
	candidate *route.Candidate
	instance  target.Instance
	stop      chan struct{}
}

func (e *Entry) configure(*config.Config) { e.rebuild() }
func (e *Entry) list(_ []target.Instance) { e.rebuild() }

// rebuild makes a new table from configuration and instance list; it runs on
// the control thread.
func (e *Entry) rebuild() {
	c := e.member.Config()
	if c == nil {
		return
	}
	all := e.member.Instances()
	t := newTable()
	wanted := map[string]target.Instance{}
	byService := map[string][]target.Instance{}
	for _, name := range c.Services() {
		list := route.Subset(e.settings.Instance, e.settings.DataCentre, eligible(all, name, c), e.settings.SubsetSize)
		byService[name] = list
		for _, i := range list {
			wanted[i.ID] = i
		}
	}
	e.follow(wanted)
	for name, list := range byService {
		t.sets[name] = route.NewSet(lo.Map(list, func(i target.Instance, _ int) *route.Candidate {
			return e.watchers[i.ID].candidate
		}))
	}
	e.limit(t, c, entriesIn(all))
	e.table.Store(t)
}

// eligible are a service's agents in data centres that are in service.
func eligible(all []target.Instance, service string, c *config.Config) []target.Instance {
	return lo.Filter(all, func(i target.Instance, _ int) bool {
		return i.Role == target.Agent && i.Service == service && !i.Leaving && c.IsDataCentreInService(i.DataCentre)
	})
}

func entriesIn(all []target.Instance) int {
	return max(1, lo.CountBy(all, func(i target.Instance) bool { return i.Role == target.Entry && !i.Leaving }))
}

// follow starts and stops watchers, so that there is one for each instance.
func (e *Entry) follow(wanted map[string]target.Instance) {
	for id, w := range e.watchers {
		if i, found := wanted[id]; !found || i != w.instance {
			close(w.stop)
			delete(e.watchers, id)
		}
	}
	interval := e.reportInterval(len(wanted))
	for id, i := range wanted {
		if e.watchers[id] != nil {
			continue
		}
		w := &watcher{
			candidate: route.NewCandidate(i, i.DataCentre == e.settings.DataCentre),
			instance:  i,
			stop:      make(chan struct{}),
		}
		e.watchers[id] = w
		go e.watch(w, interval)
	}
}

// reportInterval keeps the reports within their bytes a second.
func (e *Entry) reportInterval(targets int) time.Duration {
	spaced := time.Duration(targets*reportWireBytes) * time.Second / time.Duration(e.settings.ReportBytes)
	return max(e.settings.ReportInterval, spaced)
}

// watch asks one agent for its report until the watcher is stopped.
func (e *Entry) watch(w *watcher, interval time.Duration) {
	misses := 0
	ask := func() {
		req := peer.ReportRequest{Revision: e.member.Revision()}
		r, err := peer.Call[peer.ReportRequest, target.Report](e.member.Pool(), w.instance.Peer, peer.MethodReport, req)
		if err != nil {
			misses++
			if misses >= missesToForget {
				w.candidate.ClearReport()
			}
			return
		}
		misses = 0
		w.candidate.SetReport(r, time.Now())
		e.member.PullIfNewer(w.instance.Peer, r.Revision)
	}
	ask()
	for {
		select {
		case <-w.stop:
			return
		case <-e.stop:
			return
		case <-time.After(interval):
			ask()
		}
	}
}

// limit gives each account with a rate its part of it at this entry; a
// limiter with the same rate goes on.
func (e *Entry) limit(t *table, c *config.Config, entries int) {
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
