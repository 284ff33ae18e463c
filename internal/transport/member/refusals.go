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
	// RefusalPrefix is the prefix of the keys of refusal batches, before the day.
	RefusalPrefix = "refusals/"
	// maxRefusalsPerBatch is the maximum number of refusals in one object.
	maxRefusalsPerBatch = 1000
	// saveIntervalPerProcess is the time that each process of a role adds to
	// saveInterval; 10 ms limits all of them together to 100 writes per second.
	saveIntervalPerProcess = 10 * time.Millisecond
	// maxKeptPerPeer is the maximum number of refusals kept for each peer.
	maxKeptPerPeer = 1000
	// peerSaveTimeout is how long a process waits for a peer to report that its
	// refusals are written before it writes them itself.
	peerSaveTimeout = 10 * time.Second
	// copyInterval is the time between two copies of new refusals to a peer.
	copyInterval = 100 * time.Millisecond
	dayFormat    = "2006-01-02"
)

// RecordRefusal logs a refusal, adds it to the refusals to be written, and returns
// it with its ID, time and process.
func (m *Member) RecordRefusal(r refusal.Refusal, now time.Time) refusal.Refusal {
	r.ID = m.NewID()
	r.Process = m.settings.Instance
	r.Time = now.UTC()
	event.RequestRefused.Log(m.log, "reason", r.Reason, "effect", r.Effect, "account", r.Account, "service", r.Service, "id", r.ID)
	m.loop.Post(func(time.Time) { m.addRefusal(r) })
	return r
}

// addRefusal adds a pending refusal. It must be called on the control loop.
func (m *Member) addRefusal(r refusal.Refusal) {
	before := m.refusals.Dropped()
	m.refusals.Add(r)
	if m.refusals.Dropped() > before {
		event.RefusalsDropped.Log(m.log, "total", m.refusals.Dropped())
	}
}

// pendingBatch contains the refusals of one write, and the number of refusals
// dropped so far.
type pendingBatch struct {
	refusals []refusal.Refusal
	dropped  int
}

// copyNewRefusals copies the refusals since the last copy to a peer, so that they
// are not lost if this process dies before it writes the next batch.
func (m *Member) copyNewRefusals(time.Time) {
	newRefusals := process.Call(m.loop, func(time.Time) []refusal.Refusal { return m.refusals.TakeNew() })
	if len(newRefusals) > 0 {
		m.copyToPeer(newRefusals)
	}
}

// saveRefusals writes one batch of refusals to the platform, if saveInterval has
// passed since the last one. It also writes the refusals kept for peers that did not
// write them.
func (m *Member) saveRefusals(now time.Time) {
	batch := process.Call(m.loop, func(time.Time) pendingBatch {
		return pendingBatch{refusals: m.refusals.Oldest(maxRefusalsPerBatch), dropped: m.refusals.Dropped()}
	})
	m.saveForPeers(now)
	if len(batch.refusals) == 0 || now.Sub(time.Unix(0, m.lastSaveAt.Load())) < m.saveInterval() {
		return
	}
	m.lastSaveAt.Store(now.UnixNano())
	ids, position, err := m.writeBatch(m.settings.Instance, batch, now)
	if err != nil {
		event.RefusalsNotWritten.Log(m.log, "count", len(batch.refusals), "error", err)
		return
	}
	m.loop.Post(func(now time.Time) {
		// After a restore, what was written before stays pending.
		if generation, _ := m.platform.Generation(); generation == position.Generation {
			m.refusals.RemoveWritten(ids, now)
		}
	})
	m.notifyBackupPeer(ids)
}

// saveInterval returns the minimum time between two writes of this process. It grows
// with the number of processes of the role, so that together they write at most 100
// batches per second.
func (m *Member) saveInterval() time.Duration {
	n := lo.CountBy(m.Instances(), func(i target.Instance) bool { return i.Role == m.role })
	return time.Duration(n) * saveIntervalPerProcess
}

// writeBatch writes a batch of an instance's refusals and returns the IDs that are
// stored, and the position. If an earlier write under the same key succeeded but its reply was lost,
// these are the IDs of the earlier batch.
func (m *Member) writeBatch(instanceID string, b pendingBatch, now time.Time) ([]string, platform.Position, error) {
	value, err := json.Marshal(refusal.Batch{
		Process:  instanceID,
		Time:     now.UTC(),
		Dropped:  b.dropped,
		Refusals: b.refusals,
	})
	if err != nil {
		return nil, platform.Position{}, fmt.Errorf("member: encode refusals: %w", err)
	}
	key := RefusalPrefix + now.UTC().Format(dayFormat) + "/" + b.refusals[0].ID
	position, err := m.platform.Put(key, value, platform.Absent)
	if errors.Is(err, platform.ErrConflict) {
		return m.idsWrittenBefore(key)
	}
	return refusalIDs(b.refusals), position, err
}

func (m *Member) idsWrittenBefore(key string) ([]string, platform.Position, error) {
	o, err := m.platform.Get(key)
	if err != nil {
		return nil, platform.Position{}, err
	}
	var b refusal.Batch
	if err := json.Unmarshal(o.Value, &b); err != nil {
		return nil, platform.Position{}, fmt.Errorf("member: refusals under %s: %w", key, err)
	}
	return refusalIDs(b.Refusals), o.Position, nil
}

func refusalIDs(list []refusal.Refusal) []string {
	return lo.Map(list, func(r refusal.Refusal, _ int) string { return r.ID })
}

// copyToPeer sends refusals to the backup peer. The backup peer changes only if it is
// no longer listed or if a new peer has a higher rendezvous weight.
func (m *Member) copyToPeer(list []refusal.Refusal) {
	i, found := revision.BackupPeer(m.settings.Instance, m.peers())
	if !found {
		return
	}
	m.backupPeer.Store(&i)
	_ = peer.Notify(m.pool, i.Peer, peer.MethodKeep, peer.KeepRefusals{Process: m.settings.Instance, Refusals: list})
}

// notifyBackupPeer tells the backup peer which refusals are written, so that it can
// delete its copies.
func (m *Member) notifyBackupPeer(ids []string) {
	if i := m.backupPeer.Load(); i != nil {
		_ = peer.Notify(m.pool, i.Peer, peer.MethodWritten, peer.WrittenRefusals{Process: m.settings.Instance, IDs: ids})
	}
}

func (m *Member) handleKeep(_ context.Context, k peer.KeepRefusals) (peer.Empty, error) {
	m.loop.Post(func(now time.Time) {
		kept := m.keptForPeers[k.Process]
		if len(kept.refusals) == 0 {
			kept.since = now
		}
		kept.refusals = append(kept.refusals, k.Refusals...)
		kept.refusals = kept.refusals[max(0, len(kept.refusals)-maxKeptPerPeer):]
		m.keptForPeers[k.Process] = kept
	})
	return peer.Empty{}, nil
}

func (m *Member) handleWritten(_ context.Context, w peer.WrittenRefusals) (peer.Empty, error) {
	m.loop.Post(func(time.Time) { m.removeKept(w.Process, w.IDs) })
	return peer.Empty{}, nil
}

// removeKept deletes refusals that were kept for an instance. It must be called on the
// control loop.
func (m *Member) removeKept(instanceID string, ids []string) {
	kept := m.keptForPeers[instanceID]
	kept.refusals = lo.Reject(kept.refusals, func(r refusal.Refusal, _ int) bool { return lo.Contains(ids, r.ID) })
	if len(kept.refusals) == 0 {
		delete(m.keptForPeers, instanceID)
		return
	}
	m.keptForPeers[instanceID] = kept
}

// keptRefusals contains the refusals kept for a peer, and since when there have been
// any.
type keptRefusals struct {
	refusals []refusal.Refusal
	since    time.Time
}

// saveForPeers writes the refusals kept for processes that are no longer listed, or
// that have not reported them as written within peerSaveTimeout, because these
// processes may have restarted. Two processes may write the same refusals; readers
// use each ID only once.
func (m *Member) saveForPeers(now time.Time) {
	listed := lo.SliceToMap(m.Instances(), func(i target.Instance) (string, bool) { return i.ID, true })
	due := process.Call(m.loop, func(now time.Time) map[string]keptRefusals {
		return lo.PickBy(m.keptForPeers, func(id string, k keptRefusals) bool { return !listed[id] || now.Sub(k.since) > peerSaveTimeout })
	})
	for id, kept := range due {
		ids, _, err := m.writeBatch(id, pendingBatch{refusals: kept.refusals}, now)
		if err != nil {
			continue
		}
		m.loop.Post(func(time.Time) { m.removeKept(id, ids) })
	}
}

// RefusalCounts returns the numbers of refusals that are not yet written, that were
// dropped, and that are kept for peers. It must be called on the control loop.
func (m *Member) RefusalCounts() (pending, dropped, kept int) {
	for _, k := range m.keptForPeers {
		kept += len(k.refusals)
	}
	return m.refusals.Pending(), m.refusals.Dropped(), kept
}
