package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the counters and histograms of an entry.
type meters struct {
	set      *metrics.Set
	opened   *metrics.Counter
	repeats  *metrics.Counter
	resumes  *metrics.Counter
	passed   *metrics.Counter
	waits    *metrics.Histogram
	firsts   *metrics.Histogram
	pauses   *metrics.Histogram
	requests *metrics.Histogram
}

func newMeters(set *metrics.Set, dropped func() uint64) *meters {
	set.NewGauge("bluebellcrank_log_lines_dropped", func() float64 { return float64(dropped()) })
	return &meters{
		set:      set,
		opened:   set.NewCounter("bluebellcrank_target_connections_opened_total"),
		repeats:  set.NewCounter("bluebellcrank_repeated_sends_total"),
		resumes:  set.NewCounter("bluebellcrank_streams_resumed_total"),
		passed:   set.NewCounter("bluebellcrank_store_reads_passed_on_total"),
		waits:    set.NewHistogram("bluebellcrank_queue_seconds"),
		firsts:   set.NewHistogram("bluebellcrank_first_byte_seconds"),
		pauses:   set.NewHistogram("bluebellcrank_event_pause_seconds"),
		requests: set.NewHistogram("bluebellcrank_request_seconds"),
	}
}

// ended counts a request by its status and reason.
func (m *meters) ended(status int, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bluebellcrank_requests_total{status="%d",reason=%q}`, status, reason)).Inc()
}
