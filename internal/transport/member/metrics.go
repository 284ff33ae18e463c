package member

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellcrank/internal/transport/process"
)

// RegisterMetrics adds a member's metrics to a set.
func RegisterMetrics(s *metrics.Set, m *Member) {
	s.NewGauge("bluebellcrank_peer_bytes_total", func() float64 { return float64(m.pool.Bytes().Load()) })
	s.NewGauge("bluebellcrank_revision", func() float64 { return float64(m.Revision()) })
	s.NewGauge("bluebellcrank_instances", func() float64 { return float64(len(m.Instances())) })
	s.NewGauge("bluebellcrank_refusals_pending", func() float64 { return m.counted(m.refusals.Pending) })
	s.NewGauge("bluebellcrank_refusals_dropped_total", func() float64 { return m.counted(m.refusals.Dropped) })
}

// counted reads a count on the control thread, to which it belongs.
func (m *Member) counted(count func() int) float64 {
	return float64(process.Ask(m.loop, func(time.Time) int { return count() }))
}
