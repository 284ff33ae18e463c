package member

import (
	"context"
	"errors"
	"time"

	"bluebellcrank/internal/coordination/membership"
	"bluebellcrank/internal/coordination/revision"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

// staleList is the age of its instance list at which a process that is no
// watcher asks the platform itself.
const staleList = 10 * time.Second

// refreshList reads the instance list from the platform if this process is
// one of its data centre's watchers; the others get it from peers, so that
// the platform's calls do not grow with the fleet.
func (m *Member) refreshList(now time.Time) {
	l := m.list.Load()
	watches := revision.IsWatcher(m.settings.Instance, m.settings.DataCentre, l.Instances())
	if !l.Empty() && !watches && l.Age(now) < staleList {
		return
	}
	m.listing.Lock()
	defer m.listing.Unlock()
	list, tag, err := m.platform.InstancesIfChanged(m.listTag)
	m.listTag = tag
	read := membership.New(list, now)
	if errors.Is(err, platform.ErrUnchanged) {
		read, err = m.listRead.ConfirmedAt(now), nil
	}
	if err == nil {
		m.listRead = read
	}
	m.loop.Tell(func(time.Time) {
		m.heardPlatform(err)
		if err == nil {
			m.setList(read)
		}
	})
}

// setList runs on the control thread.
func (m *Member) setList(l membership.List) {
	old := m.list.Load()
	if !l.NewerThan(*old) {
		return
	}
	m.list.Store(&l)
	if !old.Empty() && l.Hash() == old.Hash() {
		return
	}
	m.trust.SetSingleDataCentre(m.single(l.Instances()))
	m.onList(l.Instances())
}

func (m *Member) single(list []target.Instance) bool {
	for _, i := range list {
		if i.DataCentre != m.settings.DataCentre {
			return false
		}
	}
	return true
}

// compareLists takes a peer's word on its instance list, as of the time at
// which it was asked; a newer one that differs is pulled part by part.
func (m *Member) compareLists(i target.Instance, theirs peer.Exchange, asked time.Time) {
	mine := m.list.Load()
	read := asked.Add(-time.Duration(theirs.ListMs) * time.Millisecond)
	if theirs.ListMs < 0 || !mine.Empty() && read.Before(asked.Add(-mine.Age(asked))) {
		return
	}
	if !mine.Empty() && theirs.ListHash == mine.Hash() {
		m.loop.Tell(func(time.Time) { m.setList(mine.ConfirmedAt(read)) })
		return
	}
	req := peer.ListRequest{Digest: mine.Digest()}
	r, err := peer.Call[peer.ListRequest, peer.ListReply](m.pool, i.Peer, peer.MethodList, req)
	if err != nil {
		return
	}
	read = asked.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	m.loop.Tell(func(time.Time) { m.setList(mine.WithParts(r.Parts, read)) })
}

func (m *Member) answerList(_ context.Context, r peer.ListRequest) (peer.ListReply, error) {
	l := m.list.Load()
	age := process.Ask(m.loop, func(now time.Time) time.Duration { return l.Age(now) })
	return peer.ListReply{AgeMs: age.Milliseconds(), Parts: l.DifferingParts(r.Digest)}, nil
}
