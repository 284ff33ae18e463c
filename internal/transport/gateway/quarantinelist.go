package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/membership"
	"bluebellcrank/internal/coordination/quarantine"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
	"bluebellcrank/platform"
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
	// maxPendingNotices bounds the notices that wait. One that is dropped is made up
	// for by the next regular exchange.
	maxPendingNotices = 32
	// exchangesPerWindow is the number of regular exchanges within the stability
	// window, after which an entry that was cut off must know what the others know.
	exchangesPerWindow = 3
	// quarantineRetryDelay is the time between attempts to read or write the
	// quarantined keys in the store.
	quarantineRetryDelay = time.Second
	// maxClockDifference bounds the difference of the clocks of two entries, of which
	// one reads what the other has stored.
	maxClockDifference = 5 * time.Second
)

// quarantineReply is an entry's quarantine list as another entry reads it.
type quarantineReply struct {
	// List identifies one run of the entry, and Version the state of its list.
	List    uint64              `json:"list"`
	Version uint64              `json:"version"`
	Reports []quarantine.Report `json:"reports"`
}

// quarantineList is the list of the requests that crash targets. It is exchanged with
// other entries, and what is quarantined is kept in the store, so that it outlives all
// entries. It is safe for concurrent use.
type quarantineList struct {
	self   string
	store  *platform.Store
	log    hclog.Logger
	client *http.Client
	// id identifies this run of the entry.
	id uint64

	// changed and stored receive a value when there is something to tell or to store.
	changed chan struct{}
	notices chan string
	unsaved chan quarantine.Key

	mu    sync.Mutex
	list  *quarantine.List
	names []string
	count int
	// address is where the other entries reach this one.
	address string
	peers   []string
	// known has the state of the lists of other entries that was read last, by address.
	known map[string]quarantineReply
}

func newQuarantineList(self, address string, store *platform.Store, log hclog.Logger) *quarantineList {
	return &quarantineList{
		self: self, address: address, store: store, log: log, id: rand.Uint64(),
		client:  &http.Client{Timeout: maxQuarantineRoundTrip},
		changed: make(chan struct{}, 1),
		notices: make(chan string, maxPendingNotices),
		unsaved: make(chan quarantine.Key, maxPendingNotices),
		list:    quarantine.NewList(process.BootTime()),
		known:   map[string]quarantineReply{},
	}
}

// setEntries sets the names of the entries and their number, and the addresses of the
// others.
func (q *quarantineList) setEntries(names []string, count int, peers []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.names, q.count = names, count
	if peers == nil {
		return
	}
	q.peers = peers
	for peer := range q.known {
		if !slices.Contains(peers, peer) {
			delete(q.known, peer)
		}
	}
}

// wait returns how much longer a request must not be sent.
func (q *quarantineList) wait(s quarantine.Suspect, now time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Check(s, q.position, now)
}

// admit is like wait for a request that is sent at once if the result is 0.
func (q *quarantineList) admit(s quarantine.Suspect, now time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait := q.list.Check(s, q.position, now)
	if wait <= 0 {
		q.list.StartTrial(s, now)
	}
	return wait
}

// position returns the place of this entry among those that may try a key.
func (q *quarantineList) position(k quarantine.Key) int {
	return membership.Position(keyName(k), q.self, q.names, q.count)
}

// recordCrash records that a target ended while it had a request.
func (q *quarantineList) recordCrash(s quarantine.Suspect, hasBegun bool, now time.Duration) {
	q.save(q.update(func(l *quarantine.List) quarantine.Changes { return l.RecordCrash(s, hasBegun, now) }, q.self))
}

// recordAnswer records that a target answered a request.
func (q *quarantineList) recordAnswer(s quarantine.Suspect, now time.Duration) {
	q.save(q.update(func(l *quarantine.List) quarantine.Changes { return l.RecordAnswer(s, now) }, q.self))
}

// update changes the list, logs what is quarantined or released, and tells the other
// entries. It returns the keys that are stored differently now. The source is the entry
// from which the change comes.
func (q *quarantineList) update(change func(*quarantine.List) quarantine.Changes, source string) []quarantine.Key {
	q.mu.Lock()
	version := q.list.Version()
	c := change(q.list)
	hasNews := q.list.Version() != version
	q.mu.Unlock()
	for _, k := range c.Quarantined() {
		event.Quarantined.Log(q.log, "key", keyName(k), "source", source)
	}
	for _, k := range c.Released() {
		event.QuarantineEnded.Log(q.log, "key", keyName(k), "source", source)
	}
	if hasNews {
		select {
		case q.changed <- struct{}{}:
		default: // the others will be told already
		}
	}
	return append(c.Quarantined(), c.Released()...)
}

// save has the state of keys written to the store.
func (q *quarantineList) save(keys []quarantine.Key) {
	for _, k := range keys {
		select {
		case q.unsaved <- k:
		default:
			event.QuarantineNotStored.Log(q.log, "error", "too many quarantined keys wait for the store", "key", keyName(k))
		}
	}
}

// suspects returns the keys that were in use when targets ended, the most blamed first.
func (q *quarantineList) suspects(now time.Duration) []suspectState {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []suspectState
	for _, r := range q.list.Reports(0, now) {
		if n := len(r.Crashes); n > 0 {
			out = append(out, suspectState{Key: keyName(r.Key), Quarantined: q.list.IsQuarantined(r.Key), Crashes: n, LastCrashMs: r.Crashes[n-1].AgeMs})
		}
	}
	return out
}

// keyName returns the name of a key in logs and in the store.
func keyName(k quarantine.Key) string { return fmt.Sprintf("%016x", uint64(k)) }

// keyNames returns the names of all keys of a request.
func keyNames(s quarantine.Suspect) string {
	return strings.Join(lo.Map(s.Keys(), func(k quarantine.Key, _ int) string { return keyName(k) }), ",")
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

// syncStore reads the quarantined keys from the store, and then writes those that change.
func (q *quarantineList) syncStore(ctx context.Context) {
	q.repeat(ctx, q.load)
	for {
		select {
		case k := <-q.unsaved:
			q.repeat(ctx, func(ctx context.Context) error { return q.write(ctx, k) })
		case <-ctx.Done():
			return
		}
	}
}

// repeat runs f until it succeeds or the context ends.
func (q *quarantineList) repeat(ctx context.Context, f func(context.Context) error) {
	for ctx.Err() == nil {
		err := f(ctx)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			event.QuarantineNotStored.Log(q.log, "error", err.Error())
		}
		select {
		case <-time.After(quarantineRetryDelay):
		case <-ctx.Done():
		}
	}
}

// load adds the quarantined keys of the store, and removes those that have expired.
func (q *quarantineList) load(ctx context.Context) error {
	askedAt := process.BootTime()
	stored, invalid, err := q.store.Quarantined(ctx)
	if err != nil {
		return err
	}
	for _, err := range invalid {
		event.QuarantineNotStored.Log(q.log, "error", err.Error())
	}
	var reports []quarantine.Report
	for _, s := range stored {
		age := max(time.Since(s.StoredAt), 0)
		if age < quarantine.RecordLifetime {
			reports = append(reports, s.Report.AsOf(age, maxClockDifference))
			continue
		}
		if err := q.store.RemoveQuarantined(ctx, s.Name); err != nil && !errors.Is(err, platform.ErrNotFound) {
			event.QuarantineNotStored.Log(q.log, "error", err.Error())
		}
	}
	q.update(func(l *quarantine.List) quarantine.Changes { return l.Merge(reports, askedAt, process.BootTime()) }, "store")
	return nil
}

// write stores a key that is quarantined, or removes one that no longer is.
func (q *quarantineList) write(ctx context.Context, k quarantine.Key) error {
	q.mu.Lock()
	report, isQuarantined := q.list.ReportOf(k, process.BootTime()), q.list.IsQuarantined(k)
	q.mu.Unlock()
	if isQuarantined {
		return q.store.PutQuarantined(ctx, platform.QuarantinedKey{Name: keyName(k), Report: report, StoredAt: time.Now()})
	}
	if err := q.store.RemoveQuarantined(ctx, keyName(k)); !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	return nil
}
