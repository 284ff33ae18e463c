package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

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

// serve handles one request of a client.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	x := &exchange{gateway: g, writer: w, request: r, client: platform.ReadClientRequest(r.Header), began: now}
	if g.draining.Load() {
		x.closeConnection()
	}
	if reason := x.resolve(); reason != "" {
		x.refuse(reason, retryDelay(minRetryDelay, maxRetryDelay))
		return
	}
	if reason := x.readBody(); reason != "" {
		x.refuse(reason, 0)
		return
	}
	timeout := x.route.Timeout
	if x.client.Timeout > 0 {
		timeout = min(timeout, x.client.Timeout)
	}
	x.deadline = now.Add(timeout)
	x.latencyGoal = now.Add(x.route.FirstByteGoal)
	x.isRepeated = g.recordDeadline(x.route.Name, x.client.Timeout) || x.client.LastEventID != ""
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	g.recordFirstAttempt(x.service, now)
	if x.route.Kind == routing.Stream {
		x.serveStream(ctx)
		return
	}
	x.servePlain(ctx)
}

// closeConnection closes the client's connection after the answer, because the
// platform directs only new connections to entries that are ready.
func (x *exchange) closeConnection() {
	x.writer.Header().Set("Connection", "close")
}

// resolve finds the route, the account and the service of the request. It
// returns the reason to refuse the request, or an empty reason.
func (x *exchange) resolve() refusal.Reason {
	g := x.gateway
	x.table = g.follower.Table()
	if x.table == nil || !g.follower.HasSynced() {
		return refusal.NotReady
	}
	age := g.follower.ConfirmationAge(process.BootTime())
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	x.route = x.table.Route(x.request.Host, path)
	if x.route == nil {
		if age > staleConfigAge {
			return refusal.NotReady
		}
		return refusal.UnknownService
	}
	x.priority = x.route.Priority
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
			x.priority = account.Priority
		}
	}
	x.service = x.route.PickService(rand.Float64())
	if x.service == "" {
		return refusal.NoTarget
	}
	return ""
}

// readBody reads the request body, up to the configured limit. It returns the
// reason to refuse the request, or an empty reason.
func (x *exchange) readBody() refusal.Reason {
	limit := x.table.Limits().BodyBytes
	body := io.Reader(x.request.Body)
	if limit > 0 {
		body = http.MaxBytesReader(x.writer, x.request.Body, limit)
	}
	content, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.TooLarge
	case err != nil:
		return refusal.BadRequest
	}
	x.body = content
	return ""
}
