package gateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/samber/lo"

	"bluebellcrank/internal/state/event"
)

// pathAppliedVersion is where an entry tells others the newest version of the configuration
// that it knows to be applied.
const pathAppliedVersion = "/applied-version"

// maxAskedEntries limits the entries that are asked for the newest version.
const maxAskedEntries = 8

// appliedVersion returns the newest version of the configuration that other entries know to be
// applied; 0 if none of those that answer knows one.
func (g *Gateway) appliedVersion(ctx context.Context) int64 {
	list, _, err := g.store.Entries(ctx, false)
	if err != nil {
		event.EntryListUnreadable.Log(g.log, "error", err.Error())
	}
	addresses := lo.Uniq(append(lo.Values(g.entryAddresses(list)), g.peers.random(maxAskedEntries)...))
	addresses = lo.Samples(addresses, maxAskedEntries)
	versions := make(chan int64, len(addresses))
	for _, address := range addresses {
		go func() {
			var version int64
			if err := g.peers.call(ctx, http.MethodGet, "http://"+address+pathAppliedVersion, &version); err != nil {
				event.ListNotExchanged.Log(g.log, "error", err.Error())
			}
			versions <- version
		}()
	}
	newest := int64(0)
	for range addresses {
		newest = max(newest, <-versions)
	}
	return newest
}

// serveAppliedVersion answers another entry with the newest version that is known here.
func (g *Gateway) serveAppliedVersion(w http.ResponseWriter, _ *http.Request) {
	// A write error means that the other entry has disconnected.
	_, _ = w.Write([]byte(strconv.FormatInt(g.follower.KnownVersion(), 10)))
}
