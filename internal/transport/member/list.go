package member

import (
	"context"
	"errors"
	"time"

	"bluebellcrank/internal/coordination/membership"
	"bluebellcrank/internal/coordination/revision"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

// maxListAge is the age at which a process reads the instance list from the platform
// even if it is not a watcher.
const maxListAge = 10 * time.Second

// refreshList reads the instance list from the platform if this process is one of
// its data centre's watchers. The other processes get it from peers, so that the
// number of calls to the platform does not grow with the fleet.
func (m *Member) refreshList(now time.Time) {
	l := m.list.Load()
	isWatcher := revision.IsWatcher(m.settings.Instance, m.settings.DataCentre, l.Instances())
	if !l.IsZero() && !isWatcher && l.Age(now) < maxListAge {
		return
	}
	m.listReadMu.Lock()
	defer m.listReadMu.Unlock()
	list, err := m.platform.Instances(m.listTag)
	if generation, _ := m.platform.Generation(); generation != m.listGeneration {
		m.listGeneration = generation
		if errors.Is(err, platform.ErrUnchanged) {
			list, err = m.platform.Instances("") // a restored store may give out tags again
		}
	}
	m.listTag = list.Tag
	for _, err := range list.Invalid {
		event.TargetInvalid.Log(m.log, "error", err.Error())
	}
	read := membership.New(list.Instances, now)
	if errors.Is(err, platform.ErrUnchanged) {
		read, err = m.lastListRead.ConfirmedAt(now), nil
	}
	if err == nil {
		m.lastListRead = read
	}
	m.loop.Post(func(time.Time) {
		m.recordPlatformResult(err)
		if err == nil {
			m.setList(read)
		}
	})
}

// setList applies a newer instance list. It must be called on the control loop.
func (m *Member) setList(l membership.List) {
	old := m.list.Load()
	if !l.NewerThan(*old) {
		return
	}
	m.list.Store(&l)
	if !old.IsZero() && l.Hash() == old.Hash() {
		return
	}
	m.isolation.SetSingleDataCentre(m.inOneDataCentre(l.Instances()))
	m.onList(l.Instances())
}

func (m *Member) inOneDataCentre(list []target.Instance) bool {
	for _, i := range list {
		if i.DataCentre != m.settings.DataCentre {
			return false
		}
	}
	return true
}

// compareLists compares the instance list with that of a peer, given the peer's reply
// to an exchange that was sent at requestedAt. If the peer's list is newer and differs,
// the parts that differ are fetched from the peer.
func (m *Member) compareLists(i target.Instance, reply peer.Exchange, requestedAt time.Time) {
	mine := m.list.Load()
	readAt := requestedAt.Add(-time.Duration(reply.ListMs) * time.Millisecond)
	if reply.ListMs < 0 || !mine.IsZero() && readAt.Before(requestedAt.Add(-mine.Age(requestedAt))) {
		return
	}
	if !mine.IsZero() && reply.ListHash == mine.Hash() {
		m.loop.Post(func(time.Time) { m.setList(mine.ConfirmedAt(readAt)) })
		return
	}
	req := peer.ListRequest{Digest: mine.Digest()}
	r, err := peer.Call[peer.ListRequest, peer.ListReply](m.pool, i.Peer, peer.MethodList, req)
	if err != nil {
		return
	}
	readAt = requestedAt.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	m.loop.Post(func(time.Time) { m.setList(mine.WithParts(r.Parts, readAt)) })
}

func (m *Member) handleList(_ context.Context, r peer.ListRequest) (peer.ListReply, error) {
	l := m.list.Load()
	age := process.Call(m.loop, func(now time.Time) time.Duration { return l.Age(now) })
	return peer.ListReply{AgeMs: age.Milliseconds(), Parts: l.DifferingParts(r.Digest)}, nil
}
