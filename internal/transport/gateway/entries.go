package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/membership"
	"bluebellcrank/internal/protocol/pace"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/platform"
)

const (
	// entriesReadInterval is the time between two reads of the list of entries.
	entriesReadInterval = 20 * time.Second
	// secondReadDelay is the time from the first to the second read of the list.
	// Entries that start together register within a second or two; later reads
	// accept a stale list.
	secondReadDelay = 3 * time.Second
	// maxEntriesRetryDelay bounds the backoff between failing calls. The number of
	// entries from the last successful read applies meanwhile.
	maxEntriesRetryDelay = 4 * time.Second
	// initialEntryCount is the number of entries assumed until the list is read.
	// A number that is too high makes this entry's shares of the common budgets
	// smaller.
	initialEntryCount = 32
	// entryConnectTimeout bounds connecting to another entry; a round trip
	// between regions takes a tenth of it.
	entryConnectTimeout = time.Second
)

// newStore returns a client of the store whose reads may be relayed by other entries.
func newStore(address string, routes *membership.RelaySelector, log hclog.Logger) *platform.Store {
	return platform.NewRelayedStore(address, platform.ReadPaths{
		Choose: routes.Relays,
		RecordCall: func(path string, answered bool, now time.Time) {
			if routes.RecordCall(path, answered, now) {
				event.StoreReadsRelayed.Log(log, "straight", answered)
			}
		},
		IsAnswered: routes.IsAnswered,
	})
}

// maintainEntries registers this entry, tracks the entries that share the common
// budgets, and removes entries that no longer run from the list. It reads the list
// before it registers: after a restart the list still has the other entries.
func (g *Gateway) maintainEntries(ctx context.Context) {
	reads, justRegistered := 0, false
	// before is the list from before the store was restored, until the second read after it.
	var before map[string]platform.Entry
	var latest map[string]platform.Entry
	var neighbour membership.Neighbour
	backoff := housekeepingInterval
	for ctx.Err() == nil {
		delay := backoff
		_, restored := g.store.Generation()
		backoff = min(2*backoff, maxEntriesRetryDelay)
		list, invalid, err := g.store.Entries(ctx, reads > 1)
		for _, err := range invalid {
			event.EntryInvalid.Log(g.log, "error", err.Error())
		}
		_, isListed := list[g.settings.Name]
		switch {
		case err != nil:
			event.EntryListUnreadable.Log(g.log, "error", err.Error())
		case isListed:
			reads, justRegistered = reads+1, false
			backoff = housekeepingInterval
			latest = list
			if reads == 1 {
				// Those that are missing on the copy register at this time.
				latest = lo.Assign(before, list)
			} else {
				before = nil
			}
			delay = g.applyEntries(ctx, latest, reads, &neighbour)
		default:
			// A stale list would also lack the new registration.
			reads = 0
			known := lo.Assign(before, list)
			names := lo.Uniq(append(lo.Keys(known), g.settings.Name))
			g.setEntries(names, max(len(names), initialEntryCount))
			g.quarantine.setEntries(names, len(names))
			g.setPeers(known)
			if err := g.store.Register(ctx, g.settings.Name, g.settings.Address, g.settings.DataCentre); err == nil || errors.Is(err, platform.ErrConflict) {
				if delay = housekeepingInterval; !justRegistered {
					delay = 0 // the list has this entry now
				}
				justRegistered = true
			} else {
				event.StoreWriteFailed.Log(g.log, "error", err.Error())
			}
		}
		select {
		case <-time.After(delay):
		case <-restored:
			reads = 0 // the registration may be lost, and a stale list would not tell
			before = latest
		case <-ctx.Done():
		}
	}
}

// applyEntries applies a list of entries and returns the delay until the next
// read. From the second read on, it also checks the neighbour (the next entry by
// name) and removes it from the list after repeated failed checks. The parameter
// reads is the number of reads since registration, this one included.
func (g *Gateway) applyEntries(ctx context.Context, list map[string]platform.Entry, reads int, neighbour *membership.Neighbour) time.Duration {
	g.setEntries(lo.Keys(list), len(list))
	g.quarantine.setEntries(lo.Keys(list), len(list))
	g.readRoutes.SetPeers(lo.Values(g.entryAddresses(list)))
	g.setPeers(list)
	if reads == 1 {
		return secondReadDelay
	}
	if name := neighbour.Choose(g.settings.Name, lo.Keys(list)); name != "" && neighbour.RecordCheck(g.canReach(list[name].Address)) {
		event.EntryRemoved.Log(g.log, "entry", name, "address", list[name].Address)
		if err := g.store.RemoveEntry(ctx, name, list[name].Registered); err != nil && !errors.Is(err, platform.ErrConflict) {
			event.StoreWriteFailed.Log(g.log, "error", err.Error())
		}
	}
	return entriesReadInterval
}

// entryAddresses returns the addresses at which the other entries of a list accept
// calls, by their names; the port is the same on all instances.
func (g *Gateway) entryAddresses(list map[string]platform.Entry) map[string]string {
	out := map[string]string{}
	for name, e := range list {
		if name != g.settings.Name {
			out[name] = net.JoinHostPort(e.Address, strconv.Itoa(g.settings.FirstPort))
		}
	}
	return out
}

// setPeers sets the other entries of a list as those that this one calls.
func (g *Gateway) setPeers(list map[string]platform.Entry) {
	byName := g.entryAddresses(list)
	g.peers.set(byName, lo.PickBy(byName, func(name, _ string) bool { return list[name].DataCentre == g.settings.DataCentre }))
	known := lo.MapEntries(byName, func(_, address string) (string, bool) { return address, true })
	g.quarantine.exchange.forgetOthers(known)
	g.targetLimits.exchange.forgetOthers(known)
}

// entriesHandler serves the calls of other entries.
func (g *Gateway) entriesHandler() http.Handler {
	mux := http.NewServeMux()
	g.quarantine.exchange.register(mux)
	g.targetLimits.exchange.register(mux)
	mux.HandleFunc(pathLoan, g.targetLimits.serveLoan)
	mux.HandleFunc(pace.Path, g.servePaces)
	mux.HandleFunc(pathRefusals, g.refusals.serveMessage)
	mux.HandleFunc(pathAppliedVersion, g.serveAppliedVersion)
	mux.HandleFunc("/", g.relayRead)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(headerCallID); id != "" {
			w.Header().Set(headerCallID, id)
		}
		mux.ServeHTTP(w, r)
	})
}

// relayRead relays another entry's read to the store. It refuses while this
// entry's own reads go through another entry.
func (g *Gateway) relayRead(w http.ResponseWriter, r *http.Request) {
	if !g.readRoutes.IsDirect(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.metrics.relayedReads.Inc()
	g.store.Relay(w, r)
}

// canReach reports whether another entry accepts connections at its readiness
// port, which is the same on all instances.
func (g *Gateway) canReach(address string) bool {
	_, port, err := net.SplitHostPort(g.settings.ReadyListen)
	if err != nil {
		return true // without a port, the other entry cannot be checked
	}
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(address, port), entryConnectTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// setEntries sets the names of the entries, which are empty while the list is not
// known, and their number, at least 1.
func (g *Gateway) setEntries(names []string, count int) {
	g.entryCount.Store(int64(max(count, 1)))
	g.fleet.SetEntries(g.settings.Name, names, count)
}
