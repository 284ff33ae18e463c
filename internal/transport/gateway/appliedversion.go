package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/samber/lo"
)

// pathAppliedVersion is where an entry tells others the newest version of the configuration
// that it knows to be applied.
const pathAppliedVersion = "/applied-version"

// maxAskedEntries limits the entries that are asked for the newest version.
const maxAskedEntries = 8

// appliedVersion returns the newest version of the configuration that other entries know to be
// applied; 0 if none of those that answer knows one, and an error if none answers.
func (g *Gateway) appliedVersion(ctx context.Context) (int64, error) {
	list, _, err := g.store.Entries(ctx, false)
	if err != nil {
		return 0, err
	}
	addresses := lo.Uniq(append(lo.Values(g.entryAddresses(list)), g.peers.random(maxAskedEntries)...))
	addresses = lo.Samples(addresses, maxAskedEntries)
	type reply struct {
		version int64
		err     error
	}
	replies := make(chan reply, len(addresses))
	for _, address := range addresses {
		go func() {
			var r reply
			r.err = g.peers.call(ctx, http.MethodGet, "http://"+address+pathAppliedVersion, &r.version)
			replies <- r
		}()
	}
	newest, hasAnswer := int64(0), len(addresses) == 0
	var errs []error
	for range addresses {
		r := <-replies
		newest, hasAnswer = max(newest, r.version), hasAnswer || r.err == nil
		errs = append(errs, r.err)
	}
	if !hasAnswer {
		return 0, errors.Join(errs...)
	}
	return newest, nil
}

// serveAppliedVersion answers another entry with the newest version that is known here.
func (g *Gateway) serveAppliedVersion(w http.ResponseWriter, _ *http.Request) {
	// A write error means that the other entry has disconnected.
	_, _ = w.Write([]byte(strconv.FormatInt(g.follower.KnownVersion(), 10)))
}
