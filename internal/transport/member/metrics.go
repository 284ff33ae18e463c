package member

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellcrank/internal/transport/process"
)

// RegisterMetrics adds the metrics of a member to a set.
func RegisterMetrics(s *metrics.Set, m *Member) {
	s.NewGauge("bluebellcrank_peer_bytes_total", func() float64 { return float64(m.pool.Bytes().Load()) })
	s.NewGauge("bluebellcrank_revision", func() float64 { return float64(m.Revision()) })
	s.NewGauge("bluebellcrank_instances", func() float64 { return float64(len(m.Instances())) })
	s.NewGauge("bluebellcrank_refusals_pending", func() float64 { return m.readCount(m.refusals.Pending) })
	s.NewGauge("bluebellcrank_refusals_dropped_total", func() float64 { return m.readCount(m.refusals.Dropped) })
}

// readCount reads a count on the control loop, which owns it.
func (m *Member) readCount(count func() int) float64 {
	return float64(process.Call(m.loop, func(time.Time) int { return count() }))
}
