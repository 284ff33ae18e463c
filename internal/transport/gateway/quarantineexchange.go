package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"bluebellcrank/internal/coordination/quarantine"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
)

const (
	// pathQuarantine serves an entry's quarantine list to the others, and
	// pathQuarantineChanged accepts the notice that another entry's has changed.
	pathQuarantine        = "/quarantine"
	pathQuarantineChanged = "/quarantine/changed"
	// maxQuarantineRoundTrip bounds an exchange of lists. Reports contain ages, which
	// are wrong by up to that time.
	maxQuarantineRoundTrip = 200 * time.Millisecond
	// maxQuarantineBytes bounds the reports that are read from another entry.
	maxQuarantineBytes = 1 << 20
	// noticeFanOut is the number of entries that are told of a change. They tell
	// others in turn.
	noticeFanOut = 8
	// exchangesPerWindow is the number of regular exchanges within the stability
	// window, after which an entry that was cut off must know what the others know.
	exchangesPerWindow = 3
)

// quarantineReply is an entry's quarantine list as another entry reads it.
type quarantineReply struct {
	// List identifies one run of the entry, and Version the state of its list.
	List    uint64              `json:"list"`
	Version uint64              `json:"version"`
	Reports []quarantine.Report `json:"reports"`
}

// serveList answers another entry with what has changed since the version that it
// knows.
func (q *quarantineList) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil || query.Get("list") != strconv.FormatUint(q.id, 10) {
		after = 0 // it knows nothing, or the list of an earlier run
	}
	q.mu.Lock()
	reply := quarantineReply{List: q.id, Version: q.list.Version(), Reports: q.list.Reports(after, process.BootTime())}
	q.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the other entry has disconnected.
	_ = json.NewEncoder(w).Encode(reply)
}

// serveNotice accepts the notice that another entry's list has changed. The change
// itself is asked for, since the notice may have waited while this machine stood still.
func (q *quarantineList) serveNotice(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("from")
	if _, _, err := net.SplitHostPort(from); err != nil || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case q.notices <- from:
	default: // the next regular exchange makes up for it
	}
	w.WriteHeader(http.StatusAccepted)
}

// fetch reads what has changed in another entry's list.
func (q *quarantineList) fetch(ctx context.Context, peer string) error {
	q.mu.Lock()
	known := q.known[peer]
	q.mu.Unlock()
	askedAt := process.BootTime()
	query := url.Values{"list": {strconv.FormatUint(known.List, 10)}, "after": {strconv.FormatUint(known.Version, 10)}}
	var reply quarantineReply
	if err := q.call(ctx, http.MethodGet, "http://"+peer+pathQuarantine+"?"+query.Encode(), &reply); err != nil {
		return err
	}
	now := process.BootTime()
	if took := now - askedAt; took > maxQuarantineRoundTrip {
		return fmt.Errorf("the quarantine list of %s came after %s", peer, took)
	}
	if len(reply.Reports) > 0 {
		q.update(func(l *quarantine.List) quarantine.Changes { return l.Merge(reply.Reports, askedAt, now) }, peer)
	}
	reply.Reports = nil
	q.mu.Lock()
	defer q.mu.Unlock()
	q.known[peer] = reply
	return nil
}

// call sends a request to another entry and decodes the answer into result, which may
// be nil.
func (q *quarantineList) call(ctx context.Context, method, address string, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return err
	}
	answer, err := q.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d", method, address, answer.StatusCode)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(answer.Body, maxQuarantineBytes)).Decode(result)
}

// randomPeers returns up to n other entries.
func (q *quarantineList) randomPeers(n int) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []string
	for _, at := range rand.Perm(len(q.peers))[:min(n, len(q.peers))] {
		out = append(out, q.peers[at])
	}
	return out
}

// logFailure logs that another entry could not be reached, unless this one ends.
func (q *quarantineList) logFailure(ctx context.Context, err error) {
	if ctx.Err() == nil {
		event.QuarantineNotExchanged.Log(q.log, "error", err.Error())
	}
}

// exchangeRegularly reads the list of a random entry in each interval.
func (q *quarantineList) exchangeRegularly(ctx context.Context, interval func() time.Duration) {
	for {
		select {
		case <-time.After(interval()):
		case <-ctx.Done():
			return
		}
		for _, peer := range q.randomPeers(1) {
			if err := q.fetch(ctx, peer); err != nil {
				q.logFailure(ctx, err)
			}
		}
	}
}

// followNotices reads the lists of the entries that tell of a change.
func (q *quarantineList) followNotices(ctx context.Context) {
	for {
		select {
		case peer := <-q.notices:
			if err := q.fetch(ctx, peer); err != nil {
				q.logFailure(ctx, err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// tellChanges tells other entries when this one's list has changed.
func (q *quarantineList) tellChanges(ctx context.Context) {
	for {
		select {
		case <-q.changed:
		case <-ctx.Done():
			return
		}
		var calls sync.WaitGroup
		for _, peer := range q.randomPeers(noticeFanOut) {
			calls.Go(func() {
				query := url.Values{"from": {q.address}}
				if err := q.call(ctx, http.MethodPost, "http://"+peer+pathQuarantineChanged+"?"+query.Encode(), nil); err != nil {
					q.logFailure(ctx, err)
				}
			})
		}
		calls.Wait()
	}
}
