package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"bluebellcrank/internal/coordination/clientlimit"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/routing"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
)

const (
	// minRetryDelay and maxRetryDelay bound the random Retry-After of a refusal
	// whose cause is expected to end within a second or two.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
)

var (
	errDeadline  = errors.New("the request's deadline has passed")
	errGraceOver = errors.New("the grace period of the stop is over")
)

// serve handles one request of a client.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	g.clients.headerRead(r.Context())
	x := &exchange{writer: w, requestInfo: requestInfo{gateway: g, request: r, client: platform.ReadClientRequest(r.Header), began: now}}
	if g.draining.Load() {
		x.closeConnection()
	}
	if reason := x.resolve(); reason != "" {
		x.refuse(reason, retryDelay(minRetryDelay, maxRetryDelay))
		return
	}
	x.setDeadline(now)
	if reason := x.readBody(); reason != "" {
		x.closeConnection()
		x.refuse(reason, retryDelay(minRetryDelay, maxRetryDelay))
		return
	}
	if x.table != g.follower.Table() {
		if reason := x.resolve(); reason != "" {
			x.refuse(reason, retryDelay(minRetryDelay, maxRetryDelay))
			return
		}
		x.setDeadline(now)
	}
	if g.isTooLate(time.Until(x.deadline), time.Now()) {
		x.refuse(refusal.Leaving, retryDelay(0, minRetryDelay))
		return
	}
	x.suspect = x.newSuspect()
	if wait := g.quarantine.wait(x.suspect, process.BootTime()); wait > 0 {
		g.metrics.quarantined.Inc()
		x.refuse(refusal.Quarantined, wait)
		return
	}
	x.latencyGoal = now.Add(x.route.FirstByteGoal)
	hasShortDeadline := g.recordDeadline(x.route.Name, x.client.Timeout)
	x.isRepeated = hasShortDeadline || x.client.LastEventID != ""
	x.recognizeReturn(hasShortDeadline)
	ctx, cancelDeadline := context.WithDeadlineCause(r.Context(), x.deadline, errDeadline)
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(g.lastCall, func() { cancel(errGraceOver) })()
	g.recordFirstAttempt(x.service, now)
	if x.route.Kind == routing.Stream {
		x.serveStream(ctx)
		return
	}
	x.servePlain(ctx)
}

// setDeadline sets the deadline of a request that began to arrive at began.
func (x *exchange) setDeadline(began time.Time) {
	timeout := x.route.Timeout
	if x.client.Timeout > 0 {
		timeout = min(timeout, x.client.Timeout)
	}
	x.deadline = began.Add(timeout)
}

// closeConnection closes the client's connection after the answer, because the
// platform directs only new connections to entries that are ready.
func (x *exchange) closeConnection() {
	x.writer.Header().Set("Connection", "close")
}

// priorityLevels is the number of priorities of routes. The priority of an account goes
// before that of the route, which orders the requests of accounts with the same priority.
const priorityLevels = 10

// resolve finds the route, the account and the service of the request. It
// returns the reason to refuse the request, or an empty reason.
func (x *exchange) resolve() refusal.Reason {
	g := x.gateway
	x.table = g.follower.Table()
	if x.table == nil || !g.follower.HasSynced() {
		return refusal.NotReady
	}
	if limit := x.table.Limits().HeaderBytes; limit > 0 && headerBytes(x.request) > limit {
		return refusal.HeaderTooLarge
	}
	sinceBoot := process.BootTime()
	if x.arrivedAt == 0 {
		x.arrivedAt = sinceBoot
	}
	age := g.follower.ConfirmationAge(sinceBoot)
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	x.route = x.table.Route(x.request.Host, path)
	if x.route == nil {
		if age > staleConfigAge {
			return refusal.NotReady
		}
		return refusal.UnknownService
	}
	priority := x.route.Priority
	if x.table.KeysRequired() && !x.route.Anonymous {
		account := x.table.Account(x.client.APIKey)
		switch {
		case account == nil && age > staleConfigAge:
			return refusal.NotReady
		case account == nil:
			return refusal.Unauthorized
		case !g.isConfirmed():
			return refusal.PlatformDown
		}
		x.account = account.Name
		if account.HasPriority {
			priority = account.Priority
		}
	}
	x.priority = priority*priorityLevels + x.route.Priority
	x.service = x.route.PickService(rand.Float64())
	if x.service == "" {
		return refusal.NoTarget
	}
	return ""
}

// headerBytes returns the size of a request's line and header lines.
func headerBytes(r *http.Request) int {
	const lineEnd, separator = len("\r\n"), len(": ")
	size := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1 ") + lineEnd + len("Host: ") + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + lineEnd
		}
	}
	return size
}

// readBody reads the request body, up to the configured limit and until the deadline.
// It returns the reason to refuse the request, or an empty reason.
func (x *exchange) readBody() refusal.Reason {
	limit := x.table.Limits().BodyBytes
	if limit <= 0 {
		limit = routing.DefaultBodyBytes
	}
	if x.request.ContentLength > limit {
		return refusal.TooLarge
	}
	x.setPhase(clientlimit.Body)
	defer x.setPhase(clientlimit.Running)
	content, err := readBefore(x.writer, x.request, x.deadline, func(body io.ReadCloser) ([]byte, error) {
		return x.readAll(http.MaxBytesReader(x.writer, body, limit))
	})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.TooLarge
	case errors.Is(err, errNoMemory):
		return refusal.MemoryShort
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal.TooSlow
	case err != nil:
		return refusal.BadRequest
	}
	x.body = content
	return ""
}

// readBefore reads the body of a request, with a deadline on the reads of its connection. A
// request without a body gets none: the server reads ahead on the connection, to notice that the
// client leaves, and a time-out of that read would end the context of all its requests. Behind
// a body, the server lifts the deadline before it reads ahead. A connection whose body was not
// read to its end carries no other request.
func readBefore(w http.ResponseWriter, r *http.Request, deadline time.Time, read func(body io.ReadCloser) ([]byte, error)) ([]byte, error) {
	if r.Body == http.NoBody {
		return read(r.Body)
	}
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	content, err := read(r.Body)
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	return content, err
}

// readAll reads a request body, whose memory is charged to the client as the body arrives,
// whatever size the client states.
func (x *exchange) readAll(body io.Reader) ([]byte, error) {
	conn := guardedConnIn(x.request.Context())
	if conn == nil {
		return io.ReadAll(body)
	}
	most := int64(math.MaxInt64)
	if x.request.ContentLength >= 0 {
		most = x.request.ContentLength + 1 // the last byte shows the end
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
	defer cancel()
	charge := func(size int64) bool {
		hasMemory := conn.Charge(ctx, size)
		if !hasMemory {
			conn.CountRefusedBody()
		}
		return hasMemory
	}
	return readCharged(body, most, charge, conn.Holder().Release)
}
