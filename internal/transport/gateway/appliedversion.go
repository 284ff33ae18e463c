package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/confirmation"
	"bluebellcrank/internal/transport/process"
)

// pathAppliedVersion is where an entry tells others which version of the configuration it knows
// to be applied, and whether the store has confirmed it.
const pathAppliedVersion = "/applied-version"

// maxAskedEntries limits the entries that are asked for the newest version.
const maxAskedEntries = 8

// applied returns what other entries know of the configuration, and an error if there are some
// but none answers.
func (g *Gateway) applied(ctx context.Context) (confirmation.Others, error) {
	list, _, err := g.store.Entries(ctx, false)
	if err != nil {
		return confirmation.Others{}, err
	}
	addresses := lo.Uniq(append(lo.Values(g.entryAddresses(list)), g.peers.random(maxAskedEntries)...))
	addresses = lo.Samples(addresses, maxAskedEntries)
	type reply struct {
		applied confirmation.Applied
		at      time.Duration
		err     error
	}
	askedAt := process.BootTime()
	replies := make(chan reply, len(addresses))
	for _, address := range addresses {
		go func() {
			var r reply
			r.err = g.peers.call(ctx, http.MethodGet, "http://"+address+pathAppliedVersion, &r.applied)
			r.at = process.BootTime()
			replies <- r
		}()
	}
	generation, _ := g.store.Generation()
	var all confirmation.Others
	hasAnswer := len(addresses) == 0
	var errs []error
	for range addresses {
		r := <-replies
		errs = append(errs, r.err)
		if r.err == nil {
			hasAnswer = true
			all.Add(r.applied, generation, askedAt, r.at)
		}
	}
	if !hasAnswer {
		return confirmation.Others{}, errors.Join(errs...)
	}
	return all, nil
}

// serveAppliedVersion tells another entry what is known here.
func (g *Gateway) serveAppliedVersion(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the other entry has disconnected.
	_ = json.NewEncoder(w).Encode(g.follower.Applied(process.BootTime()))
}
