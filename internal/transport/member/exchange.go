package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"bluebellcrank/internal/coordination/revision"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

// notifyPeers exchanges revisions with a few peers after this process has adopted a
// new one.
func (m *Member) notifyPeers() {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for _, i := range revision.PeersToNotify(m.settings.Instance, m.settings.DataCentre, m.peers(), random) {
		m.startWorker(func() { m.exchange(i) })
	}
}

// peers returns the instance list, or the seeds as long as there is no list.
func (m *Member) peers() []target.Instance {
	if list := m.Instances(); len(list) > 0 {
		return list
	}
	var out []target.Instance
	for _, s := range m.settings.Seeds {
		out = append(out, target.Instance{ID: "seed " + s, Peer: s})
	}
	return out
}

func (m *Member) exchangeWithRandomPeer(time.Time) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if i, found := revision.RandomPeer(m.settings.Instance, m.peers(), random); found {
		m.exchange(i)
	}
}

func (m *Member) exchangeWithRemotePeer(time.Time) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if i, found := revision.RandomRemotePeer(m.settings.Instance, m.settings.DataCentre, m.peers(), random); found {
		m.exchange(i)
	}
}

// exchange compares revisions with a peer. The process with the older revision pulls
// the newer one. For the isolation detector, a reply from another data centre is a
// contact. After a reply from the same data centre, the time of the peer's own last
// contact is recorded instead.
func (m *Member) exchange(i target.Instance) {
	requestedAt := time.Now()
	own := m.exchangeMessage()
	reply, err := peer.Call[peer.Exchange, peer.Exchange](m.pool, i.Peer, peer.MethodExchange, own)
	if err != nil {
		return
	}
	m.learnGeneration(reply, time.Now())
	m.compareLists(i, reply, requestedAt)
	if reply.Revision > m.Revision() && m.pull(i.Peer) != nil {
		return
	}
	if reply.Revision == 0 {
		return
	}
	contactAt := requestedAt
	if reply.DataCentre == m.settings.DataCentre {
		contactAt = requestedAt.Add(-time.Duration(reply.HeardMs) * time.Millisecond)
	}
	m.loop.Post(func(time.Time) { m.isolation.RecordContact(contactAt) })
}

// PullIfNewer pulls the configuration from a peer in the background if the revision
// that the peer reported is newer than the current one.
func (m *Member) PullIfNewer(address string, revision int64) {
	if revision > m.Revision() {
		m.startWorker(func() { _ = m.pull(address) })
	}
}

// exchangeMessage returns this process's side of an exchange.
func (m *Member) exchangeMessage() peer.Exchange {
	list := m.list.Load()
	listMs := int64(-1)
	if !list.IsZero() {
		listMs = process.Call(m.loop, list.Age).Milliseconds()
	}
	e := peer.Exchange{
		Instance:   m.settings.Instance,
		DataCentre: m.settings.DataCentre,
		Address:    m.address,
		Revision:   m.Revision(),
		HeardMs:    process.Call(m.loop, m.isolation.ContactAge).Milliseconds(),
		ListMs:     listMs,
		ListHash:   list.Hash(),
	}
	process.Call(m.loop, func(now time.Time) struct{} {
		e.Generation, e.GenerationMs = m.restoreClock.Generation(), m.restoreClock.Age(now).Milliseconds()
		return struct{}{}
	})
	return e
}

// pull fetches the configuration of a peer and adopts it.
func (m *Member) pull(address string) error {
	h, err := peer.Call[peer.Empty, config.Head](m.pool, address, peer.MethodHead, peer.Empty{})
	if err != nil {
		return err
	}
	return m.adopt(h, func(digests []string) ([]config.File, error) { return m.peerFiles(address, digests) })
}

func (m *Member) peerFiles(address string, digests []string) ([]config.File, error) {
	var out []config.File
	for start := 0; start < len(digests); start += maxFilesPerReply {
		part := digests[start:min(start+maxFilesPerReply, len(digests))]
		r, err := peer.Call[peer.FileRequest, peer.FileReply](m.pool, address, peer.MethodFiles, peer.FileRequest{Digests: part})
		if err != nil {
			return nil, err
		}
		out = append(out, r.Files...)
	}
	return out, nil
}

// registerMethods adds the methods that processes of all roles provide.
func (m *Member) registerMethods(o Options) {
	peer.Handle(m.mux, peer.MethodExchange, m.handleExchange)
	peer.Handle(m.mux, peer.MethodHead, m.handleHead)
	peer.Handle(m.mux, peer.MethodFiles, m.handleFiles)
	peer.Handle(m.mux, peer.MethodList, m.handleList)
	peer.Handle(m.mux, peer.MethodKeep, m.handleKeep)
	peer.Handle(m.mux, peer.MethodWritten, m.handleWritten)
	peer.Handle(m.mux, peer.MethodStatus, func(context.Context, peer.Empty) (peer.Status, error) {
		return o.status(), nil
	})
	peer.Handle(m.mux, peer.MethodDump, func(context.Context, peer.Empty) (peer.Dump, error) {
		return peer.Dump{YAML: o.dump()}, nil
	})
}

func (m *Member) handleExchange(_ context.Context, e peer.Exchange) (peer.Exchange, error) {
	m.learnGeneration(e, time.Now())
	if e.Revision > m.Revision() && e.Address != "" {
		m.startWorker(func() { _ = m.pull(e.Address) })
	}
	return m.exchangeMessage(), nil
}

func (m *Member) handleHead(context.Context, peer.Empty) (config.Head, error) {
	c := m.currentConfig.Load()
	if c == nil {
		return config.Head{}, errors.New("member: no configuration yet")
	}
	return c.Head(), nil
}

func (m *Member) handleFiles(_ context.Context, r peer.FileRequest) (peer.FileReply, error) {
	m.filesMu.RLock()
	defer m.filesMu.RUnlock()
	var out peer.FileReply
	for _, d := range r.Digests {
		if f, found := m.files[d]; found {
			out.Files = append(out.Files, f.file)
		}
	}
	return out, nil
}
