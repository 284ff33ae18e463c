package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/coordination/hedge"
)

// hedges has the decisions on second requests of all services. It is safe for concurrent
// use. A nil pointer stands for an entry that sends none.
type hedges struct {
	share     float64
	fleet     *balance.Fleet
	metrics   *metrics.Set
	sent, won *metrics.Counter

	mu       sync.Mutex
	services map[string]*hedge.Service
}

// newHedges returns the decisions for a share of second requests; nil if it is 0.
func newHedges(share float64, fleet *balance.Fleet, set *metrics.Set) *hedges {
	if share <= 0 {
		return nil
	}
	return &hedges{
		share:    share,
		fleet:    fleet,
		metrics:  set,
		sent:     set.NewCounter("bluebellcrank_second_requests_total"),
		won:      set.NewCounter("bluebellcrank_second_requests_won_total"),
		services: map[string]*hedge.Service{},
	}
}

// service returns the decisions for a service. The caller holds h.mu.
func (h *hedges) service(name string) *hedge.Service {
	s := h.services[name]
	if s == nil {
		s = hedge.NewService(h.share)
		h.services[name] = s
	}
	return s
}

// recordFirstAttempt counts a request of a service.
func (h *hedges) recordFirstAttempt(service string, now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(service).RecordFirstAttempt(now)
}

// recordRefusal records that a request was refused for lack of capacity.
func (h *hedges) recordRefusal(service string, now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(service).RecordRefusal(now)
}

// recordTime records how long a first attempt took.
func (h *hedges) recordTime(service string, class hedge.Class, d time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(service).RecordTime(class, d, now)
}

// delay returns the time after which a first attempt counts as slow, if it is known.
func (h *hedges) delay(service string, class hedge.Class, now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).Delay(class, now)
}

// check returns why no second request is to be sent now, or an empty reason.
func (h *hedges) check(service string, now time.Time) hedge.Reason {
	load := h.fleet.Load(service, now)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).Check(hedge.NewLoad(load.Queued, load.InUse, load.Slots), now)
}

// spend takes a second request from the share and reports whether there was one left.
func (h *hedges) spend(service string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).Spend(now)
}

// giveBack returns what spend took for a second request that was not sent.
func (h *hedges) giveBack(service string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(service).GiveBack(now)
}

// countNotSent counts a slow first attempt without a second request.
func (h *hedges) countNotSent(reason hedge.Reason) {
	h.metrics.GetOrCreateCounter(fmt.Sprintf(`bluebellcrank_second_requests_not_sent_total{reason=%q}`, reason)).Inc()
}
