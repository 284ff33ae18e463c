package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
)

const (
	// noticeFanOut is the number of entries that are told of a change. They tell
	// others in turn.
	noticeFanOut = 8
	// exchangesPerWindow is the number of regular exchanges within the stability
	// window, after which an entry that was cut off must know what the others know.
	exchangesPerWindow = 3
	// maxPendingNotices bounds the notices that wait. One that is dropped is made up for
	// by the next regular exchange.
	maxPendingNotices = 32
	// noticePath is what follows the path of a list where the notice of a change of
	// another entry's is accepted.
	noticePath = "/changed"
)

// listReply is an entry's list as another entry reads it.
type listReply[R any] struct {
	// List identifies one run of the entry, and Version the state of its list.
	List    uint64 `json:"list"`
	Version uint64 `json:"version"`
	Reports []R    `json:"reports"`
}

// listState is the state of another entry's list that was read last.
type listState struct{ list, version uint64 }

// listSource is the list that an exchange keeps in step with those of other entries.
type listSource[R any] struct {
	// read returns the version of the list and what has changed after a version.
	read func(after uint64, now time.Duration) (version uint64, reports []R)
	// merge adds what another entry reported between the time at which it was asked and
	// now.
	merge func(reports []R, askedAt, now time.Duration, peer string)
}

// listExchange keeps a list in step with those of the other entries: it gives notice of
// changes to some of them, which ask for what has changed, and regularly asks a random one.
// It is safe for concurrent use.
type listExchange[R any] struct {
	peers  *entryPeers
	path   string
	source listSource[R]
	// id identifies this run of the entry.
	id uint64
	// changed receives a value when there is something to tell the other entries, and
	// notices the addresses of those that have something to tell.
	changed chan struct{}
	notices chan string

	mu sync.Mutex
	// known is keyed by address.
	known map[string]listState
}

func newListExchange[R any](peers *entryPeers, path string, source listSource[R]) *listExchange[R] {
	return &listExchange[R]{
		peers: peers, path: path, source: source, id: rand.Uint64(),
		changed: make(chan struct{}, 1),
		notices: make(chan string, maxPendingNotices),
		known:   map[string]listState{},
	}
}

// announce has the other entries told that the list has changed.
func (x *listExchange[R]) announce() {
	select {
	case x.changed <- struct{}{}:
	default: // the others will be told already
	}
}

// register adds the handlers for the calls of other entries.
func (x *listExchange[R]) register(mux *http.ServeMux) {
	mux.HandleFunc(x.path, x.serveList)
	mux.HandleFunc(x.path+noticePath, x.serveNotice)
}

// serveList answers another entry with what has changed since the version that it
// knows.
func (x *listExchange[R]) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil || query.Get("list") != strconv.FormatUint(x.id, 10) {
		after = 0 // it knows nothing, or the list of an earlier run
	}
	version, reports := x.source.read(after, process.BootTime())
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the other entry has disconnected.
	_ = json.NewEncoder(w).Encode(listReply[R]{List: x.id, Version: version, Reports: reports})
}

// serveNotice accepts the notice that another entry's list has changed. The change
// itself is asked for, since the notice may have waited while this machine stood still.
func (x *listExchange[R]) serveNotice(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("from")
	if _, _, err := net.SplitHostPort(from); err != nil || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.ask(from)
	w.WriteHeader(http.StatusAccepted)
}

// ask has another entry's list read soon.
func (x *listExchange[R]) ask(peer string) {
	select {
	case x.notices <- peer:
	default: // the next regular exchange makes up for it
	}
}

// fetch reads what has changed in another entry's list.
func (x *listExchange[R]) fetch(ctx context.Context, peer string) error {
	x.mu.Lock()
	known := x.known[peer]
	x.mu.Unlock()
	askedAt := process.BootTime()
	query := url.Values{"list": {strconv.FormatUint(known.list, 10)}, "after": {strconv.FormatUint(known.version, 10)}}
	var reply listReply[R]
	if err := x.peers.call(ctx, http.MethodGet, "http://"+peer+x.path+"?"+query.Encode(), &reply); err != nil {
		return err
	}
	now := process.BootTime()
	if took := now - askedAt; took > maxPeerRoundTrip {
		return fmt.Errorf("the list %s of %s came after %s", x.path, peer, took)
	}
	if len(reply.Reports) > 0 {
		x.source.merge(reply.Reports, askedAt, now, peer)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.known[peer] = listState{list: reply.List, version: reply.Version}
	return nil
}

// forgetOthers forgets the state of the lists of entries that are not among peers.
func (x *listExchange[R]) forgetOthers(peers map[string]bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for peer := range x.known {
		if !peers[peer] {
			delete(x.known, peer)
		}
	}
}

// logFailure logs that another entry could not be reached, unless this one ends.
func (x *listExchange[R]) logFailure(ctx context.Context, err error) {
	if ctx.Err() == nil {
		event.ListNotExchanged.Log(x.peers.log, "error", err.Error())
	}
}

// exchangeRegularly reads the list of a random entry in each interval.
func (x *listExchange[R]) exchangeRegularly(ctx context.Context, interval func() time.Duration) {
	for {
		select {
		case <-time.After(interval()):
		case <-ctx.Done():
			return
		}
		for _, peer := range x.peers.random(1) {
			if err := x.fetch(ctx, peer); err != nil {
				x.logFailure(ctx, err)
			}
		}
	}
}

// followNotices reads the lists of the entries that tell of a change.
func (x *listExchange[R]) followNotices(ctx context.Context) {
	for {
		select {
		case peer := <-x.notices:
			if err := x.fetch(ctx, peer); err != nil {
				x.logFailure(ctx, err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// tellChanges tells other entries when this one's list has changed.
func (x *listExchange[R]) tellChanges(ctx context.Context) {
	for {
		select {
		case <-x.changed:
		case <-ctx.Done():
			return
		}
		var calls sync.WaitGroup
		for _, peer := range x.peers.random(noticeFanOut) {
			calls.Go(func() {
				query := url.Values{"from": {x.peers.self}}
				if err := x.peers.call(ctx, http.MethodPost, "http://"+peer+x.path+noticePath+"?"+query.Encode(), nil); err != nil {
					x.logFailure(ctx, err)
				}
			})
		}
		calls.Wait()
	}
}
