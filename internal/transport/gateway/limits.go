package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/event"
)

// pathLimits serves what an entry knows of targets' limits to the others.
const pathLimits = "/limits"

// limitList is what this entry knows of the limits that targets name, and exchanges with
// other entries.
type limitList struct {
	fleet    *balance.Fleet
	log      hclog.Logger
	exchange *listExchange[balance.LimitReport]
	// loans counts the attempts that other entries have lent.
	loans *metrics.Counter
}

func newLimitList(fleet *balance.Fleet, peers *entryPeers, loans *metrics.Counter, log hclog.Logger) *limitList {
	l := &limitList{fleet: fleet, log: log, loans: loans}
	l.exchange = newListExchange(peers, pathLimits, listSource[balance.LimitReport]{read: fleet.LimitReports, merge: l.merge})
	return l
}

// announce logs a change of a limit and has the other entries told. The source is the
// entry from which the change comes.
func (l *limitList) announce(c balance.LimitChange, source string) {
	event.TargetLimitChanged.Log(l.log, "target", c.Target, "per-second", c.PerSecond, "source", source)
	l.exchange.announce()
}

// merge adds what another entry reported after it was asked.
func (l *limitList) merge(reports []balance.LimitReport, askedAt, _ time.Duration, peer string) {
	changes, hasNews := l.fleet.MergeLimits(reports, askedAt)
	for _, c := range changes {
		event.TargetLimitChanged.Log(l.log, "target", c.Target, "per-second", c.PerSecond, "source", peer)
	}
	if hasNews {
		l.exchange.announce()
	}
}
