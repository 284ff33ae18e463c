package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/lo"

	"bluebellcrank/internal/coordination/revision"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

const (
	// RefusalPrefix is where the batches of refusals stand, by day.
	RefusalPrefix = "refusals/"
	// refusalBatch is how many refusals go into one object.
	refusalBatch = 1000
	// savePerProcess is the part of a second that each process adds.
	savePerProcess = 10 * time.Millisecond
	// keptPerPeer bounds what a process keeps for each peer.
	keptPerPeer = 1000
	// keptFor is how long a process waits for a peer to say that its refusals
	// are written before it writes them itself.
	keptFor = 10 * time.Second
	// copyEvery is how often fresh refusals are copied.
	copyEvery = 100 * time.Millisecond
	dayFormat = "2006-01-02"
)

// RecordRefusal records a refusal and returns it with its id, time and process.
func (m *Member) RecordRefusal(r refusal.Refusal, now time.Time) refusal.Refusal {
	r.ID = m.NewID()
	r.Process = m.settings.Instance
	r.Time = now.UTC()
	event.RequestRefused.Log(m.log, "reason", r.Reason, "effect", r.Effect, "account", r.Account, "service", r.Service, "id", r.ID)
	m.loop.Tell(func(time.Time) { m.keepRefusal(r) })
	return r
}

// keepRefusal runs on the control thread.
func (m *Member) keepRefusal(r refusal.Refusal) {
	before := m.refusals.Dropped()
	m.refusals.Add(r)
	if m.refusals.Dropped() > before {
		event.RefusalsDropped.Log(m.log, "total", m.refusals.Dropped())
	}
}

// pendingBatch is what one save takes.
type pendingBatch struct {
	refusals []refusal.Refusal
	dropped  int
}

// copyFresh gives the refusals of the last moment to a peer, so that they
// outlive this process whatever becomes of it before the next batch.
func (m *Member) copyFresh(time.Time) {
	fresh := process.Ask(m.loop, func(time.Time) []refusal.Refusal { return m.refusals.TakeNew() })
	if len(fresh) > 0 {
		m.copyToPeer(fresh)
	}
}

// saveRefusals writes one batch to the platform.
func (m *Member) saveRefusals(now time.Time) {
	batch := process.Ask(m.loop, func(time.Time) pendingBatch {
		return pendingBatch{refusals: m.refusals.Batch(refusalBatch), dropped: m.refusals.Dropped()}
	})
	m.inherit(now)
	if len(batch.refusals) == 0 || now.Sub(time.Unix(0, m.saved.Load())) < m.savePause() {
		return
	}
	m.saved.Store(now.UnixNano())
	ids, err := m.writeBatch(m.settings.Instance, batch, now)
	if err != nil {
		event.RefusalsNotWritten.Log(m.log, "count", len(batch.refusals), "error", err)
		return
	}
	m.loop.Tell(func(time.Time) { m.refusals.RemoveWritten(ids) })
	m.tellKeeper(ids)
}

// savePause keeps the writes of all processes of a role within a hundred a
// second: the more there are, the longer each one gathers.
func (m *Member) savePause() time.Duration {
	n := lo.CountBy(m.Instances(), func(i target.Instance) bool { return i.Role == m.role })
	return time.Duration(n) * savePerProcess
}

// writeBatch writes a batch and returns the ids that are safe: those of the
// batch, or of an earlier one under the same key whose answer was lost.
func (m *Member) writeBatch(of string, b pendingBatch, now time.Time) ([]string, error) {
	value, err := json.Marshal(refusal.Batch{
		Process:  of,
		Time:     now.UTC(),
		Dropped:  b.dropped,
		Refusals: b.refusals,
	})
	if err != nil {
		return nil, fmt.Errorf("member: encode refusals: %w", err)
	}
	key := RefusalPrefix + now.UTC().Format(dayFormat) + "/" + b.refusals[0].ID
	_, err = m.platform.Put(key, value, platform.Absent)
	if errors.Is(err, platform.ErrConflict) {
		return m.writtenBefore(key)
	}
	return refusalIDs(b.refusals), err
}

func (m *Member) writtenBefore(key string) ([]string, error) {
	o, err := m.platform.Get(key)
	if err != nil {
		return nil, err
	}
	var b refusal.Batch
	if err := json.Unmarshal(o.Value, &b); err != nil {
		return nil, fmt.Errorf("member: refusals under %s: %w", key, err)
	}
	return refusalIDs(b.Refusals), nil
}

func refusalIDs(list []refusal.Refusal) []string {
	return lo.Map(list, func(r refusal.Refusal, _ int) string { return r.ID })
}

// copyToPeer lets one peer hold refusals; it is the same peer for as long as
// that is listed.
func (m *Member) copyToPeer(list []refusal.Refusal) {
	i, found := revision.BackupPeer(m.settings.Instance, m.peers())
	if !found {
		return
	}
	m.keeper.Store(&i)
	_ = peer.Notify(m.pool, i.Peer, peer.MethodKeep, peer.KeepRefusals{Process: m.settings.Instance, Refusals: list})
}

// tellKeeper lets the peer forget what is written.
func (m *Member) tellKeeper(ids []string) {
	if i := m.keeper.Load(); i != nil {
		_ = peer.Notify(m.pool, i.Peer, peer.MethodWritten, peer.WrittenRefusals{Process: m.settings.Instance, IDs: ids})
	}
}

func (m *Member) answerKeep(_ context.Context, k peer.KeepRefusals) (peer.Empty, error) {
	m.loop.Tell(func(now time.Time) {
		kept := m.kept[k.Process]
		if len(kept.refusals) == 0 {
			kept.since = now
		}
		kept.refusals = append(kept.refusals, k.Refusals...)
		kept.refusals = kept.refusals[max(0, len(kept.refusals)-keptPerPeer):]
		m.kept[k.Process] = kept
	})
	return peer.Empty{}, nil
}

func (m *Member) answerWritten(_ context.Context, w peer.WrittenRefusals) (peer.Empty, error) {
	m.loop.Tell(func(time.Time) { m.forgetKept(w.Process, w.IDs) })
	return peer.Empty{}, nil
}

// forgetKept runs on the control thread.
func (m *Member) forgetKept(process string, ids []string) {
	kept := m.kept[process]
	kept.refusals = lo.Reject(kept.refusals, func(r refusal.Refusal, _ int) bool { return lo.Contains(ids, r.ID) })
	if len(kept.refusals) == 0 {
		delete(m.kept, process)
		return
	}
	m.kept[process] = kept
}

// keptRefusals are a peer's refusals, and since when some of them wait.
type keptRefusals struct {
	refusals []refusal.Refusal
	since    time.Time
}

// inherit writes the refusals of processes that are no longer listed, or that
// have not said for a while that theirs are written: they may have started
// anew. Two may write the same ones; readers take each id once.
func (m *Member) inherit(now time.Time) {
	listed := lo.SliceToMap(m.Instances(), func(i target.Instance) (string, bool) { return i.ID, true })
	gone := process.Ask(m.loop, func(now time.Time) map[string]keptRefusals {
		return lo.PickBy(m.kept, func(id string, k keptRefusals) bool { return !listed[id] || now.Sub(k.since) > keptFor })
	})
	for id, kept := range gone {
		ids, err := m.writeBatch(id, pendingBatch{refusals: kept.refusals}, now)
		if err != nil {
			continue
		}
		m.loop.Tell(func(time.Time) { m.forgetKept(id, ids) })
	}
}

// RefusalCounts returns how many refusals wait to be written, how many were
// lost, and how many are kept for peers; the caller is on the control thread.
func (m *Member) RefusalCounts() (pending, dropped, kept int) {
	for _, k := range m.kept {
		kept += len(k.refusals)
	}
	return m.refusals.Pending(), m.refusals.Dropped(), kept
}
