package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/membership"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/platform"
)

const (
	// entriesEvery is the time between two reads of the list of entries.
	entriesEvery = 20 * time.Second
	// entriesAgain is the time to the second read: entries that start together
	// register within a second or two, and an old answer will do from then on.
	entriesAgain = 3 * time.Second
	// entriesRetryMost is the longest time between calls that fail; the number of
	// entries that was read last will do until then.
	entriesRetryMost = 4 * time.Second
	// entriesUnknown is the number of entries until the list was read; more
	// than there are makes the shares smaller.
	entriesUnknown = 32
	// entryTimeout bounds the connection to another entry; between regions a
	// round trip takes a tenth of it.
	entryTimeout = time.Second
)

// followEntries keeps the number of entries that share the common budgets, and
// takes entries that are gone off their list.
func (g *Gateway) followEntries(ctx context.Context) {
	registered, reads := false, 0
	var neighbour membership.Neighbour
	retryPause := housekeeping
	for ctx.Err() == nil {
		pause := retryPause
		retryPause = min(2*retryPause, entriesRetryMost)
		if !registered {
			err := g.store.Register(ctx, g.settings.Name, g.settings.Address, g.settings.DataCentre)
			registered = err == nil || errors.Is(err, platform.ErrConflict)
			if !registered {
				event.StoreWriteFailed.Log(g.log, "error", err.Error())
			}
		}
		if registered {
			list, err := g.store.Entries(ctx, reads > 1)
			if err != nil {
				event.EntryListUnreadable.Log(g.log, "error", err.Error())
			} else {
				reads++
				retryPause = housekeeping
				pause = g.takeEntries(ctx, list, reads, &neighbour)
				if _, registered = list[g.settings.Name]; !registered {
					// An old answer would lack the new registration as well.
					reads, pause = 0, housekeeping
				}
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// takeEntries takes a list of entries, and returns the time to the next one.
func (g *Gateway) takeEntries(ctx context.Context, list map[string]platform.Entry, reads int, n *membership.Neighbour) time.Duration {
	g.setEntries(len(list))
	g.detour.SetPeers(g.peers(list))
	if reads == 1 {
		return entriesAgain
	}
	if name := n.Choose(g.settings.Name, lo.Keys(list)); name != "" && n.RecordCheck(g.reaches(list[name].Address)) {
		event.EntryRemoved.Log(g.log, "entry", name, "address", list[name].Address)
		if err := g.store.RemoveEntry(ctx, name, list[name].Revision); err != nil && !errors.Is(err, platform.ErrConflict) {
			event.StoreWriteFailed.Log(g.log, "error", err.Error())
		}
	}
	return entriesEvery
}

// peers returns where the other entries of a list pass reads on; the port is
// the same on all instances.
func (g *Gateway) peers(list map[string]platform.Entry) []string {
	var out []string
	for name, e := range list {
		if name != g.settings.Name {
			out = append(out, net.JoinHostPort(e.Address, strconv.Itoa(g.settings.FirstPort)))
		}
	}
	return out
}

// passOn passes another entry's read on to the store, unless this entry's own
// reads take a detour.
func (g *Gateway) passOn(w http.ResponseWriter, r *http.Request) {
	if !g.detour.IsDirect(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.metrics.passed.Inc()
	g.store.Relay(w, r)
}

// reaches reports whether another entry accepts connections at its readiness
// port, which is the same on all instances.
func (g *Gateway) reaches(address string) bool {
	_, port, err := net.SplitHostPort(g.settings.ReadyListen)
	if err != nil {
		return true // nothing can be said of the other entry
	}
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(address, port), entryTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (g *Gateway) setEntries(n int) {
	g.entries.Store(int64(max(n, 1)))
	g.fleet.SetEntryCount(n)
}
