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

// tellPeers spreads a revision that is new to this process.
func (m *Member) tellPeers() {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for _, i := range revision.PeersToNotify(m.settings.Instance, m.settings.DataCentre, m.peers(), random) {
		m.work(func() { m.exchange(i) })
	}
}

// peers returns the instance list, or the seeds before there is one.
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

func (m *Member) exchangeNear(time.Time) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if i, found := revision.RandomPeer(m.settings.Instance, m.peers(), random); found {
		m.exchange(i)
	}
}

func (m *Member) exchangeFar(time.Time) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if i, found := revision.RandomRemotePeer(m.settings.Instance, m.settings.DataCentre, m.peers(), random); found {
		m.exchange(i)
	}
}

// exchange compares revisions with a peer; the one that is behind pulls.
func (m *Member) exchange(i target.Instance) {
	asked := time.Now()
	own := m.exchangeMessage()
	theirs, err := peer.Call[peer.Exchange, peer.Exchange](m.pool, i.Peer, peer.MethodExchange, own)
	if err != nil {
		return
	}
	m.compareLists(i, theirs, asked)
	if theirs.Revision > m.Revision() && m.pull(i.Peer) != nil {
		return
	}
	if theirs.Revision == 0 {
		return
	}
	heard := asked
	if theirs.DataCentre == m.settings.DataCentre {
		heard = asked.Add(-time.Duration(theirs.HeardMs) * time.Millisecond)
	}
	m.loop.Tell(func(time.Time) { m.trust.RecordContact(heard) })
}

// PullIfNewer takes a peer's revision from any message; a newer one is pulled.
func (m *Member) PullIfNewer(address string, revision int64) {
	if revision > m.Revision() {
		m.work(func() { _ = m.pull(address) })
	}
}

func (m *Member) exchangeMessage() peer.Exchange {
	list := m.list.Load()
	listMs := int64(-1)
	if !list.Empty() {
		listMs = process.Ask(m.loop, list.Age).Milliseconds()
	}
	return peer.Exchange{
		Instance:   m.settings.Instance,
		DataCentre: m.settings.DataCentre,
		Address:    m.address,
		Revision:   m.Revision(),
		HeardMs:    process.Ask(m.loop, m.trust.ContactAge).Milliseconds(),
		ListMs:     listMs,
		ListHash:   list.Hash(),
	}
}

// pull adopts what a peer holds.
func (m *Member) pull(address string) error {
	h, err := peer.Call[peer.Empty, config.Head](m.pool, address, peer.MethodHead, peer.Empty{})
	if err != nil {
		return err
	}
	return m.adopt(h, func(digests []string) ([]config.File, error) { return m.peerFiles(address, digests) })
}

func (m *Member) peerFiles(address string, digests []string) ([]config.File, error) {
	var out []config.File
	for start := 0; start < len(digests); start += fileBatch {
		part := digests[start:min(start+fileBatch, len(digests))]
		r, err := peer.Call[peer.FileRequest, peer.FileReply](m.pool, address, peer.MethodFiles, peer.FileRequest{Digests: part})
		if err != nil {
			return nil, err
		}
		out = append(out, r.Files...)
	}
	return out, nil
}

// handle adds the methods that every process answers.
func (m *Member) handle(o Options) {
	peer.Handle(m.mux, peer.MethodExchange, m.answerExchange)
	peer.Handle(m.mux, peer.MethodHead, m.answerHead)
	peer.Handle(m.mux, peer.MethodFiles, m.answerFiles)
	peer.Handle(m.mux, peer.MethodList, m.answerList)
	peer.Handle(m.mux, peer.MethodKeep, m.answerKeep)
	peer.Handle(m.mux, peer.MethodWritten, m.answerWritten)
	peer.Handle(m.mux, peer.MethodStatus, func(context.Context, peer.Empty) (peer.Status, error) {
		return o.status(), nil
	})
	peer.Handle(m.mux, peer.MethodDump, func(context.Context, peer.Empty) (peer.Dump, error) {
		return peer.Dump{YAML: o.dump()}, nil
	})
}

func (m *Member) answerExchange(_ context.Context, e peer.Exchange) (peer.Exchange, error) {
	if e.Revision > m.Revision() && e.Address != "" {
		m.work(func() { _ = m.pull(e.Address) })
	}
	return m.exchangeMessage(), nil
}

func (m *Member) answerHead(context.Context, peer.Empty) (config.Head, error) {
	c := m.current.Load()
	if c == nil {
		return config.Head{}, errors.New("member: no configuration yet")
	}
	return c.Head(), nil
}

func (m *Member) answerFiles(_ context.Context, r peer.FileRequest) (peer.FileReply, error) {
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
