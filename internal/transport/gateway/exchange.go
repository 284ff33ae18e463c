package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/coordination/quarantine"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/routing"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/internal/transport/upstream"
	"bluebellcrank/platform"
)

// requestInfo is what is known of a client's request before the first attempt.
type requestInfo struct {
	gateway *Gateway
	request *http.Request
	client  platform.ClientRequest
	table   *routing.Table
	route   *routing.Route
	service string
	account string
	// priority orders waiting requests; 0 is served first.
	priority int
	body     []byte
	began    time.Time
	// arrivedAt is the boot time of began.
	arrivedAt time.Duration
	deadline  time.Time
	// earlier is what is known of an earlier attempt at the same request.
	earlier callerReturn
	// isRepeated is true if the client has made an earlier attempt at the same
	// request, or resumes a stream.
	isRepeated bool
	// latencyGoal is the time by which the response, or the first event of a
	// stream, should be sent.
	latencyGoal time.Time
	// suspect is what the request is blamed for if its target ends.
	suspect quarantine.Suspect
}

// exchange is the state of one client request across all attempts at targets.
type exchange struct {
	requestInfo
	writer http.ResponseWriter

	// attempts counts the attempts that a target may have run or has refused. An
	// attempt that did not reach its target is not counted.
	attempts int
	// reachedTarget is true once a target has received the request, whatever it
	// replied.
	reachedTarget bool
	// mayHaveRun is true once a target may have run the request.
	mayHaveRun bool
	// firstByteAt is the time at which the response to the client began.
	firstByteAt time.Time
	// hasAttemptBegun is set if the target has begun to answer the current attempt.
	hasAttemptBegun bool
	// attemptActiveAt is when the current attempt was sent, or brought its last event.
	attemptActiveAt time.Time
	// attemptEvents counts the events that the current attempt has brought.
	attemptEvents int
	// longestGap is the longest time between consecutive events of one segment,
	// the part of a stream that one target serves.
	longestGap time.Duration
	// endCause is why this entry ended the current attempt; nil if it did not.
	endCause error
	// noRetry says what was missing for another attempt, for the log.
	noRetry string
	// targetID is the ID of the target tried last.
	targetID string
	// second is set for the exchange of a second request, and plainSecond for that of a
	// plain request which may get one.
	second      *secondRequest
	plainSecond *plainSecond

	// mu guards the fields below, which a standby reads.
	mu sync.Mutex
	// tried has the IDs of the targets tried so far.
	tried []string
	// hasResponseBegun is true once part of the response was sent to the client.
	hasResponseBegun bool
	// lastEventID is the ID of the last event sent to the client.
	lastEventID string
	standbys    standbyState
}

// balanceRequest describes the request for the choice of its next target.
func (x *exchange) balanceRequest() balance.Request {
	n := balance.Request{
		Service:      x.service,
		Stream:       x.route.Kind == routing.Stream,
		Priority:     x.priority,
		MaxPerSecond: x.gateway.maxPerSecond(x.table.Service(x.service)),
		PastGoal:     x.isRepeated,
		Resumed:      x.lastEventID != "",
		Account:      x.account,
		Key:          xxhash.Sum64String(x.client.AttemptID),
		Tried:        x.tried,
	}
	if n.Stream {
		n.GapGoal = x.route.GapGoal
	}
	return n
}

// acquireLease picks a target for the request. If the limits of targets leave this entry no
// attempt, it asks others for theirs. If no target has a free slot, it queues the request
// for as long as the latency goal and the deadline allow. The
// lease is nil if no target was found; the verdict then gives the reason.
func (x *exchange) acquireLease(ctx context.Context, now time.Time) (*balance.Lease, balance.Verdict) {
	fleet := x.gateway.fleet
	request := x.balanceRequest()
	lease, verdict := fleet.Pick(request, now)
	if lease != nil {
		return lease, verdict
	}
	missedGoal := x.isRepeated || x.hasResponseBegun
	if verdict == balance.NoTarget && !missedGoal {
		if !x.outageEndsSoon(now) {
			return nil, verdict
		}
		missedGoal, request.PastGoal = true, true
	}
	if verdict == balance.Full {
		if lease := x.gateway.targetLimits.borrow(ctx, request); lease != nil {
			return lease, balance.Granted
		}
		now = time.Now()
	}
	wait := balance.MaxQueueTime(x.latencyGoal.Sub(now), x.deadline.Sub(now), fleet.FirstEventTime(x.service), missedGoal)
	if wait <= 0 || fleet.WaitForTarget(x.service, now) > wait {
		return nil, verdict
	}
	ticket := fleet.Enqueue(request, fleet.QueueLimit(x.service, missedGoal), wait, now)
	if ticket == nil {
		return nil, verdict
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case lease := <-ticket.Granted():
		x.gateway.metrics.queueTime.UpdateDuration(now)
		return lease, balance.Granted
	case <-timer.C:
	case <-ctx.Done():
	}
	if lease := fleet.Cancel(ticket); lease != nil {
		return lease, balance.Granted
	}
	return nil, verdict
}

// outageEndsSoon reports whether a service without targets is expected to have some again
// by the time at which the request would leave the queue as a late one. After a restart of
// everything most callers have spent an attempt that this entry knows nothing of.
func (x *exchange) outageEndsSoon(now time.Time) bool {
	remaining, isUsual := x.gateway.outageRemaining(x.service, now)
	return isUsual && remaining < balance.MaxQueueTime(0, x.deadline.Sub(now), 0, true)
}

// send sends the request once to the lease's target and records the load that
// the target reports.
func (x *exchange) send(ctx context.Context, lease *balance.Lease) (*upstream.Response, platform.Answer, error) {
	t := lease.Target()
	x.targetID, x.attemptEvents, x.hasAttemptBegun, x.endCause = t.ID, 0, false, nil
	x.mu.Lock()
	x.tried = append(x.tried, t.ID)
	x.mu.Unlock()
	now := time.Now()
	x.attemptActiveAt = now
	header := platform.ForwardHeader(x.request.Header, platform.TargetRequest{
		TargetID:    t.ID,
		Account:     x.account,
		Timeout:     x.deadline.Sub(now),
		LastEventID: x.lastEventID,
	})
	maxIdle := time.Hour
	if !x.route.IsRepeatable() {
		maxIdle = maxSingleRunIdle
	}
	res, err := x.gateway.pool.Do(ctx, &upstream.Request{
		Address:     t.Address,
		Method:      x.request.Method,
		URI:         x.request.RequestURI,
		Host:        x.request.Host,
		Header:      header,
		Body:        x.body,
		MaxIdleTime: maxIdle,
		ID:          platform.ReadAttemptID(header),
		ReadID:      platform.ReadAttemptID,
		Skipped: func(status int, h http.Header, c upstream.ConnInfo) {
			x.gateway.metrics.answersSkipped.Inc()
			event.AnswerSkipped.Log(x.gateway.log, "id", x.client.AttemptID, "target", t.ID, "status", status,
				"answers-id", platform.ReadAttemptID(h), "connection", c.Local(), "requests", c.Requests())
		},
	})
	if err != nil {
		return nil, platform.Answer{}, err
	}
	x.reachedTarget, x.hasAttemptBegun = true, true
	info := platform.ReadAnswer(res.StatusCode, res.Header)
	if !info.WrongTarget {
		x.recordNotice(lease, info)
	}
	return res, info, nil
}

// recordNotice records what a target said of itself in an answer.
func (x *exchange) recordNotice(lease *balance.Lease, info platform.Answer) {
	g, t := x.gateway, lease.Target()
	if info.Leaving && lease.RecordLeaving() {
		event.TargetAnnouncedLeaving.Log(g.log, "id", x.client.AttemptID, "target", t.ID)
		g.pool.CloseIdle(t.Address)
	}
	if info.RetryAfter > 0 {
		lease.RecordBackoff(info.RetryAfter, time.Now())
		event.TargetBackoff.Log(g.log, "id", x.client.AttemptID, "target", t.ID, "retry-after-ms", info.RetryAfter.Milliseconds())
	}
	if info.Load != nil {
		lease.RecordLoad(info.Load.Running, info.Load.Waiting, time.Now())
	}
	switch {
	case info.LimitError != nil:
		event.TargetLimitInvalid.Log(g.log, "id", x.client.AttemptID, "target", t.ID, "error", info.LimitError.Error())
	case info.Limit != nil && lease.RecordLimit(*info.Limit, process.BootTime()):
		g.targetLimits.announce(balance.LimitChange{Target: t.ID, PerSecond: *info.Limit}, g.settings.Name)
	case info.Limit == nil && info.Signed && lease.RecordNoLimit(process.BootTime()):
		g.targetLimits.announce(balance.LimitChange{Target: t.ID}, g.settings.Name)
	}
}

// maxSingleRunIdle is the longest idle time of a connection that is reused for a
// request that may run only once. If the target had closed the connection, it
// would be unknown whether the request ran.
const maxSingleRunIdle = 800 * time.Millisecond

// checkKey returns the reason not to send the request now, or an empty reason. For a
// request with a key, the configuration must be confirmed and the key still be the
// account's.
func (x *exchange) checkKey() refusal.Reason {
	if x.account == "" {
		return ""
	}
	if !x.gateway.isConfirmed() {
		return refusal.PlatformDown
	}
	if account := x.gateway.follower.Table().Account(x.client.APIKey); account == nil || account.Name != x.account {
		return refusal.Unauthorized
	}
	return ""
}

// refuse ends the request with an answer of this entry. If a target may have run
// the request, the status is not one from which the client would conclude that the
// request did not run.
func (x *exchange) refuse(reason refusal.Reason, retryAfter time.Duration) {
	if reason == refusal.Full {
		x.gateway.hedges.recordRefusal(x.service, time.Now())
	}
	status := reason.Status()
	if x.mayHaveRun && (status == http.StatusServiceUnavailable || status < http.StatusInternalServerError) {
		reason = refusal.ConnectionLost
		status = reason.Status()
	}
	if status != http.StatusServiceUnavailable {
		retryAfter = 0
	}
	if reason == refusal.NotReady || reason == refusal.PlatformDown {
		x.closeConnection()
	}
	x.recordRefusal(reason)
	platform.SetRefusalHeader(x.writer.Header(), x.client.AttemptID, retryAfter)
	text := string(reason) + "\n"
	x.writer.Header().Set("Content-Type", "text/plain")
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	x.writer.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = x.writer.Write([]byte(text))
	x.finish(status, string(reason))
}

// finish records the end of the request in the metrics and in one log line.
func (x *exchange) finish(status int, reason string) {
	g := x.gateway
	g.metrics.countRequest(status, reason)
	g.metrics.requestTime.UpdateDuration(x.began)
	var route string
	if x.route != nil {
		route = x.route.Name
	}
	var version int64
	if x.table != nil {
		version = x.table.Version()
	}
	firstByteDelay := time.Duration(0)
	if x.hasResponseBegun {
		firstByteDelay = x.firstByteAt.Sub(x.began)
	}
	fields := []any{"id", x.client.AttemptID, "route", route, "service", x.service,
		"account", x.account, "priority", x.priority, "target", x.targetID, "status", status, "reason", reason,
		"sends", x.attempts, "uncertain", x.mayHaveRun, "deadline-ms", x.client.Timeout.Milliseconds(), "first-ms", firstByteDelay.Milliseconds(),
		"longest-pause-ms", x.longestGap.Milliseconds(), "no-retry", x.noRetry, "stop-ms", g.sinceStop(time.Now()).Milliseconds(),
		"total-ms", time.Since(x.began).Milliseconds(), "config", version,
		"proof-age-ms", g.follower.ConfirmationAge(process.BootTime()).Milliseconds()}
	if reason == string(refusal.Quarantined) {
		fields = append(fields, "keys", keyNames(x.suspect))
	}
	if cause := connectionEnd(x.request.Context()); cause != "" {
		fields = append(fields, "connection-end", cause)
	}
	event.RequestEnded.Log(g.log, append(fields, x.earlier.logFields()...)...)
}

// retryDelay returns a random delay between minimum and maximum, so that refused
// clients do not all retry at the same time.
func retryDelay(minimum, maximum time.Duration) time.Duration {
	return minimum + rand.N(maximum-minimum)
}
