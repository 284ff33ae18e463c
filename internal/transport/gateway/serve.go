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
	// retrySoonest and retryLatest spread the return of clients that were refused
	// because of a state that passes within a second or two.
	retrySoonest = 300 * time.Millisecond
	retryLatest  = 1500 * time.Millisecond
)

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	x := &exchange{gateway: g, writer: w, request: r, client: platform.ReadClientRequest(r.Header), began: now}
	if g.draining.Load() {
		x.sendElsewhere()
	}
	if reason := x.resolve(); reason != "" {
		x.refuse(reason, retryDelay(retrySoonest, retryLatest))
		return
	}
	if reason := x.readBody(); reason != "" {
		x.refuse(reason, 0)
		return
	}
	wait := x.route.Timeout
	if x.client.Timeout > 0 {
		wait = min(wait, x.client.Timeout)
	}
	x.deadline = now.Add(wait)
	x.goal = now.Add(x.route.FirstByteGoal)
	x.returned = g.hasReturned(x.route.Name, x.client.Timeout) || x.client.LastEventID != ""
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	g.first(x.service, now)
	if x.route.Kind == routing.Stream {
		x.stream(ctx)
		return
	}
	x.plain(ctx)
}

// sendElsewhere ends the connection with its answer: the platform leads new
// connections to entries that are ready.
func (x *exchange) sendElsewhere() {
	x.writer.Header().Set("Connection", "close")
}

// resolve finds the route, the account and the service, or says why not.
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
		if age > staleAfter {
			return refusal.NotReady
		}
		return refusal.UnknownService
	}
	x.priority = x.route.Priority
	if x.table.KeysRequired() && !x.route.Anonymous {
		a := x.table.Account(x.client.APIKey)
		switch {
		case a == nil && age > staleAfter:
			return refusal.NotReady
		case a == nil:
			return refusal.Unauthorized
		case !g.proven():
			return refusal.PlatformDown
		}
		x.account = a.Name
		if a.HasPriority {
			x.priority = a.Priority
		}
	}
	x.service = x.route.PickService(rand.Float64())
	if x.service == "" {
		return refusal.NoTarget
	}
	return ""
}

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
