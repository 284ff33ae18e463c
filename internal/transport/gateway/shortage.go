package gateway

import (
	"time"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/event"
)

// shortage is the state of a service without targets or without capacity.
type shortage struct {
	outage   balance.Outage
	overload balance.Overload
}

// recordOutage records that a service has no target, and returns the bounds of
// the time after which its clients are told to retry.
func (g *Gateway) recordOutage(service string, now time.Time) (soonest, latest time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	outage := &valueOf(g.shortages, service).outage
	outage.RecordNoTarget(now)
	return outage.RetryAfter(now)
}

// outageRemaining records that a service has no target, and returns the time until it is
// expected to have one, and false if the outage lasts longer than usual.
func (g *Gateway) outageRemaining(service string, now time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	outage := &valueOf(g.shortages, service).outage
	outage.RecordNoTarget(now)
	return outage.Remaining(now)
}

// recordOverload records that a request of a service was refused for lack of capacity, and
// returns the bounds of the time after which its client is told to retry if the overload
// lasts.
func (g *Gateway) recordOverload(service string, untilDeadline time.Duration, now time.Time) (soonest, latest time.Duration, lasts bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	overload := &valueOf(g.shortages, service).overload
	if overload.RecordRefusal(now) {
		g.metrics.overloads.Inc()
		event.ServiceOverloaded.Log(g.log, "service", service)
	}
	return overload.RetryAfter(untilDeadline, now)
}
