package gateway

import (
	"fmt"
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
	// pathQuarantine serves an entry's quarantine list to the others.
	pathQuarantine = "/quarantine"
	// maxUnsavedKeys bounds the keys that wait for the store.
	maxUnsavedKeys = 32
)

// quarantineList is the list of the requests that crash targets. It is exchanged with
// other entries, and what is quarantined is kept in the store, so that it outlives all
// entries. It is safe for concurrent use.
type quarantineList struct {
	self     string
	store    *platform.Store
	log      hclog.Logger
	exchange *listExchange[quarantine.Report]
	// unsaved receives the keys whose state in the store is to be replaced.
	unsaved chan quarantine.Key

	mu    sync.Mutex
	list  *quarantine.List
	names []string
	count int
}

func newQuarantineList(self string, peers *entryPeers, store *platform.Store, log hclog.Logger) *quarantineList {
	q := &quarantineList{
		self: self, store: store, log: log,
		unsaved: make(chan quarantine.Key, maxUnsavedKeys),
		list:    quarantine.NewList(process.BootTime()),
	}
	q.exchange = newListExchange(peers, pathQuarantine, listSource[quarantine.Report]{read: q.reports, merge: q.merge})
	return q
}

// setEntries sets the names of the entries and their number.
func (q *quarantineList) setEntries(names []string, count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.names, q.count = names, count
}

// reports returns the version of the list and what has changed after a version.
func (q *quarantineList) reports(after uint64, now time.Duration) (uint64, []quarantine.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Version(), q.list.Reports(after, now)
}

// merge adds what another entry reported between the time at which it was asked and now.
func (q *quarantineList) merge(reports []quarantine.Report, askedAt, now time.Duration, peer string) {
	q.update(func(l *quarantine.List) quarantine.Changes { return l.Merge(reports, askedAt, now) }, peer)
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
		q.exchange.announce()
	}
	return append(c.Quarantined(), c.Released()...)
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
