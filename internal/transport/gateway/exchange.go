package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/routing"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/internal/transport/upstream"
	"bluebellcrank/platform"
)

// exchange is one request of a client and what was tried for it.
type exchange struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	client  platform.ClientRequest
	table   *routing.Table
	route   *routing.Route
	service string
	account string
	// priority ranks the request, 0 first.
	priority int
	body     []byte
	began    time.Time
	deadline time.Time
	// returned says that the caller has come back after an earlier attempt.
	returned bool
	// goal is when the answer or the first event earns its full worth.
	goal time.Time

	// sends counts sends that a target may have run or refused.
	sends int
	tried []string
	// arrived says that some target got the request, whatever it said.
	arrived bool
	// uncertain says that a target may have run the request.
	uncertain bool
	// begun says that a part of the answer has gone to the client.
	begun bool
	// firstByte is when that was.
	firstByte time.Time
	// longestPause is the longest time between two events of a target.
	longestPause time.Duration
	target       string
	lastEvent    string
}

// need says what the request needs of its next target.
func (x *exchange) need() balance.Request {
	n := balance.Request{
		Service:      x.service,
		Stream:       x.route.Kind == routing.Stream,
		Priority:     x.priority,
		MaxPerSecond: x.gateway.perTarget(x.table.Service(x.service)),
		PastGoal:     x.returned,
		Resumed:      x.lastEvent != "",
		Tried:        x.tried,
	}
	if n.Stream {
		n.MaxGap = x.route.GapGoal
	}
	return n
}

const (
	// queueMost is how many requests wait for a service at one entry.
	queueMost = 12
	// returnedMost is the same for callers that have come back.
	returnedMost = 24
)

// place waits a little for a place at a target.
func (x *exchange) place(ctx context.Context, now time.Time) (*balance.Lease, balance.Verdict) {
	f := x.gateway.fleet
	l, v := f.Pick(x.need(), now)
	missedGoal := x.returned || x.begun
	if l != nil || v == balance.NoTarget && !missedGoal {
		return l, v
	}
	wait := balance.MaxQueueTime(x.goal.Sub(now), x.deadline.Sub(now), missedGoal)
	if wait <= 0 {
		return nil, v
	}
	most := queueMost
	if missedGoal {
		most = returnedMost
	}
	ticket := f.Enqueue(x.need(), most, wait, now)
	if ticket == nil {
		return nil, v
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case l := <-ticket.Granted():
		x.gateway.metrics.waits.UpdateDuration(now)
		return l, balance.Granted
	case <-timer.C:
	case <-ctx.Done():
	}
	if l := f.Cancel(ticket); l != nil {
		return l, balance.Granted
	}
	return nil, v
}

// send sends the request once to a lease's target. A target that must not get
// it any more, or a key without proof, keeps it from being sent.
func (x *exchange) send(ctx context.Context, l *balance.Lease) (*upstream.Response, platform.Answer, error) {
	t := l.Target()
	x.target = t.ID
	x.tried = append(x.tried, t.ID)
	now := time.Now()
	header := platform.ForwardHeader(x.request.Header, platform.TargetRequest{
		TargetID:    t.ID,
		Account:     x.account,
		Timeout:     x.deadline.Sub(now),
		LastEventID: x.lastEvent,
	})
	recent := time.Hour
	if !x.route.IsRepeatable() {
		recent = freshEnough
	}
	res, err := x.gateway.pool.Do(ctx, &upstream.Request{
		Address:     t.Address,
		Method:      x.request.Method,
		URI:         x.request.RequestURI,
		Host:        x.request.Host,
		Header:      header,
		Body:        x.body,
		MaxIdleTime: recent,
		Matches: func(h http.Header) bool {
			got := platform.ReadAnswer(http.StatusOK, h).AttemptID
			return got == "" || got == x.client.AttemptID
		},
	})
	if err != nil {
		return nil, platform.Answer{}, err
	}
	x.arrived = true
	a := platform.ReadAnswer(res.StatusCode, res.Header)
	if a.Load != nil {
		l.RecordLoad(a.Load.Running, a.Load.Waiting, time.Now())
	}
	return res, a, nil
}

// freshEnough is the idle time up to which a connection is trusted with a
// request that may run only once: a target that has closed it would leave
// open whether the request ran.
const freshEnough = 800 * time.Millisecond

// allowed reports whether the request may go to the target at this moment.
func (x *exchange) allowed(l *balance.Lease) bool {
	return l.IsUsable() && (x.account == "" || x.gateway.proven())
}

// refuse ends the request with an answer of our own; a request that a target
// may have run is never said not to have run.
func (x *exchange) refuse(reason refusal.Reason, retryAfter time.Duration) {
	status := reason.Status()
	if x.uncertain && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		reason = refusal.ConnectionLost
		status = reason.Status()
	}
	if status != http.StatusServiceUnavailable {
		retryAfter = 0
	}
	if reason == refusal.NotReady || reason == refusal.PlatformDown {
		x.sendElsewhere()
	}
	platform.SetRefusalHeader(x.writer.Header(), x.client.AttemptID, retryAfter)
	text := string(reason) + "\n"
	x.writer.Header().Set("Content-Type", "text/plain")
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	x.writer.WriteHeader(status)
	// The client may have left; there is nobody else to tell.
	_, _ = x.writer.Write([]byte(text))
	x.ended(status, string(reason))
}

// ended writes the one line that explains the request afterwards.
func (x *exchange) ended(status int, reason string) {
	g := x.gateway
	g.metrics.ended(status, reason)
	g.metrics.requests.UpdateDuration(x.began)
	var route string
	if x.route != nil {
		route = x.route.Name
	}
	var version int64
	if x.table != nil {
		version = x.table.Version()
	}
	first := time.Duration(0)
	if x.begun {
		first = x.firstByte.Sub(x.began)
	}
	event.RequestEnded.Log(g.log, "id", x.client.AttemptID, "route", route, "service", x.service,
		"account", x.account, "target", x.target, "status", status, "reason", reason,
		"sends", x.sends, "uncertain", x.uncertain, "deadline-ms", x.client.Timeout.Milliseconds(), "first-ms", first.Milliseconds(),
		"longest-pause-ms", x.longestPause.Milliseconds(),
		"total-ms", time.Since(x.began).Milliseconds(), "config", version,
		"proof-age-ms", g.follower.ConfirmationAge(process.BootTime()).Milliseconds())
}

// retryDelay spreads the return of refused clients between the two times.
func retryDelay(soonest, latest time.Duration) time.Duration {
	return soonest + rand.N(latest-soonest)
}
