package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"bluebellcrank/internal/transport/process"
)

// entryMetrics are the counters and histograms of an entry.
type entryMetrics struct {
	set               *metrics.Set
	connectionsOpened *metrics.Counter
	retries           *metrics.Counter
	answersSkipped    *metrics.Counter
	unanswered        *metrics.Counter
	streamsResumed    *metrics.Counter
	relayedReads      *metrics.Counter
	targetsEnded      *metrics.Counter
	quarantined       *metrics.Counter
	loans             *metrics.Counter
	// returnsByRecord and returnsByDeadline count requests that were refused before.
	returnsByRecord, returnsByDeadline *metrics.Counter
	refusalsRecorded                   *metrics.Counter
	// refusalsNotSent counts refusals that exceeded a message, refusalMessagesLost
	// messages that did not reach another entry, and refusalMessagesDropped those of
	// other entries that were not valid.
	refusalsNotSent, refusalMessagesSent        *metrics.Counter
	refusalMessagesLost, refusalMessagesDropped *metrics.Counter
	// overloads counts the periods in which a service refuses requests for lack of capacity.
	overloads     *metrics.Counter
	queueTime     *metrics.Histogram
	firstByteTime *metrics.Histogram
	eventGap      *metrics.Histogram
	requestTime   *metrics.Histogram
}

func newEntryMetrics(set *metrics.Set, droppedLogLines func() uint64) *entryMetrics {
	set.NewGauge("bluebellcrank_log_lines_dropped", func() float64 { return float64(droppedLogLines()) })
	return &entryMetrics{
		set:                    set,
		connectionsOpened:      set.NewCounter("bluebellcrank_target_connections_opened_total"),
		retries:                set.NewCounter("bluebellcrank_repeated_sends_total"),
		answersSkipped:         set.NewCounter("bluebellcrank_answers_skipped_total"),
		unanswered:             set.NewCounter("bluebellcrank_requests_unanswered_total"),
		streamsResumed:         set.NewCounter("bluebellcrank_streams_resumed_total"),
		relayedReads:           set.NewCounter("bluebellcrank_store_reads_passed_on_total"),
		targetsEnded:           set.NewCounter("bluebellcrank_attempts_whose_target_ended_total"),
		quarantined:            set.NewCounter("bluebellcrank_requests_quarantined_total"),
		loans:                  set.NewCounter("bluebellcrank_attempts_lent_by_other_entries_total"),
		returnsByRecord:        set.NewCounter(`bluebellcrank_returns_recognized_total{by="record"}`),
		returnsByDeadline:      set.NewCounter(`bluebellcrank_returns_recognized_total{by="deadline"}`),
		refusalsRecorded:       set.NewCounter("bluebellcrank_refusals_recorded_total"),
		refusalsNotSent:        set.NewCounter("bluebellcrank_refusals_not_sent_total"),
		refusalMessagesSent:    set.NewCounter(`bluebellcrank_refusal_messages_total{outcome="sent"}`),
		refusalMessagesLost:    set.NewCounter(`bluebellcrank_refusal_messages_total{outcome="lost"}`),
		refusalMessagesDropped: set.NewCounter(`bluebellcrank_refusal_messages_total{outcome="dropped"}`),
		overloads:              set.NewCounter("bluebellcrank_overloads_total"),
		queueTime:              set.NewHistogram("bluebellcrank_queue_seconds"),
		firstByteTime:          set.NewHistogram("bluebellcrank_first_byte_seconds"),
		eventGap:               set.NewHistogram("bluebellcrank_event_pause_seconds"),
		requestTime:            set.NewHistogram("bluebellcrank_request_seconds"),
	}
}

// addAgeMetrics adds the ages of what this entry follows.
func (g *Gateway) addAgeMetrics(set *metrics.Set) {
	set.NewGauge(`bluebellcrank_list_age_seconds{list="configuration"}`, func() float64 {
		return g.follower.ConfirmationAge(process.BootTime()).Seconds()
	})
	for name := range g.follower.ListAges(process.BootTime()) {
		set.NewGauge(fmt.Sprintf("bluebellcrank_list_age_seconds{list=%q}", name), func() float64 {
			return g.follower.ListAges(process.BootTime())[name].Seconds()
		})
	}
}

// countRequest counts a request by its status and reason.
func (m *entryMetrics) countRequest(status int, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bluebellcrank_requests_total{status="%d",reason=%q}`, status, reason)).Inc()
}

// countCapacityRefusal counts a request that was refused for lack of capacity.
func (m *entryMetrics) countCapacityRefusal(priority int, isLate bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bluebellcrank_capacity_refusals_total{priority="%d",late="%t"}`, priority, isLate)).Inc()
}
