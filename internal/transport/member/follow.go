package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"bluebellcrank/internal/coordination/revision"
	"bluebellcrank/internal/protocol/peer"
	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/target"
	"bluebellcrank/internal/transport/process"
)

// HeadKey is the object whose conditional update accepts a configuration.
const HeadKey = "config/head"

// FileKey is the object that holds a file's content.
func FileKey(digest string) string { return "config/files/" + digest }

const (
	watchPause = 300 * time.Millisecond
	// fileBatch keeps one reply of files within a few megabytes.
	fileBatch = 4
	// keepFiles is how long files are kept that are no longer in force.
	keepFiles = 30 * time.Second
)

// fetch gets the files of the given digests.
type fetch func(digests []string) ([]config.File, error)

// watch follows the head object while this process is one of its data
// centre's watchers, and whenever it has no configuration.
func (m *Member) watch() {
	var version platform.Version
	for !m.stopped() {
		if m.Revision() > 0 && !revision.Watches(m.settings.Instance, m.settings.DataCentre, m.Instances()) {
			m.pause(watchPause)
			continue
		}
		asked := time.Now()
		o, err := m.platform.Watch(HeadKey, version, m.settings.WatchFor)
		if err != nil {
			m.pause(watchPause)
			continue
		}
		version = max(version, o.Version)
		if m.adoptObject(o) == nil {
			m.loop.Tell(func(time.Time) { m.trust.Heard(asked) })
		}
	}
}

func (m *Member) stopped() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}

func (m *Member) pause(d time.Duration) {
	select {
	case <-m.stop:
	case <-time.After(d):
	}
}

func (m *Member) adoptObject(o platform.Object) error {
	var h config.Head
	if err := json.Unmarshal(o.Value, &h); err != nil {
		event.ConfigInvalid.Log(m.log, "error", err)
		return err
	}
	return m.adopt(h, m.platformFiles)
}

func (m *Member) platformFiles(digests []string) ([]config.File, error) {
	var out []config.File
	for _, d := range digests {
		o, err := m.platform.Get(FileKey(d))
		if err != nil {
			return nil, err
		}
		out = append(out, config.File{Content: o.Value})
	}
	return out, nil
}

// adopt puts a newer configuration into force; an older one is ignored.
func (m *Member) adopt(h config.Head, from fetch) error {
	m.adopting.Lock()
	defer m.adopting.Unlock()
	if !m.newer(m.Revision(), h.Revision) {
		return nil
	}
	files, err := m.gather(h, from)
	if err != nil {
		event.ConfigFetch.Log(m.log, "revision", h.Revision, "error", err)
		return err
	}
	c, err := m.builder.Build(h, files)
	if err != nil {
		event.ConfigInvalid.Log(m.log, "revision", h.Revision, "error", err)
		return err
	}
	m.remember(files, time.Now())
	process.Ask(m.loop, func(time.Time) struct{} {
		m.current.Store(c)
		m.onConfig(c)
		return struct{}{}
	})
	event.ConfigAdopted.Log(m.log, "revision", h.Revision, "change-id", h.ChangeID)
	m.work(m.tellPeers)
	return nil
}

// gather takes the files of a head from memory and fetches the rest.
func (m *Member) gather(h config.Head, from fetch) ([]config.File, error) {
	var missing []string
	out := make([]config.File, 0, len(h.Files))
	m.filesMu.RLock()
	for _, r := range h.Files {
		f, found := m.files[r.Digest]
		if !found {
			missing = append(missing, r.Digest)
			continue
		}
		out = append(out, config.File{Name: r.Name, Content: f.file.Content})
	}
	m.filesMu.RUnlock()
	if len(missing) == 0 {
		return out, nil
	}
	got, err := from(missing)
	if err != nil {
		return nil, err
	}
	byDigest := make(map[string]config.File, len(got))
	for _, f := range got {
		byDigest[f.Digest()] = f
	}
	for _, r := range h.Files {
		if f, found := byDigest[r.Digest]; found {
			out = append(out, config.File{Name: r.Name, Content: f.Content})
		}
	}
	if len(out) != len(h.Files) {
		return nil, fmt.Errorf("member: revision %d: %d of %d files arrived", h.Revision, len(out), len(h.Files))
	}
	return out, nil
}

// keptFile is a file of this or of a recent configuration.
type keptFile struct {
	file config.File
	used time.Time
}

// remember keeps a configuration's files, and for a while those of the ones
// before: a peer may be in the middle of pulling them.
func (m *Member) remember(files []config.File, now time.Time) {
	m.filesMu.Lock()
	defer m.filesMu.Unlock()
	for _, f := range files {
		m.files[f.Digest()] = keptFile{file: f, used: now}
	}
	for d, k := range m.files {
		if now.Sub(k.used) > keepFiles {
			delete(m.files, d)
		}
	}
}

// tellPeers spreads a revision that is new to this process.
func (m *Member) tellPeers() {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for _, i := range revision.Tell(m.settings.Instance, m.settings.DataCentre, m.peers(), random) {
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
	if i, found := revision.Near(m.settings.Instance, m.peers(), random); found {
		m.exchange(i)
	}
}

func (m *Member) exchangeFar(time.Time) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if i, found := revision.Far(m.settings.Instance, m.settings.DataCentre, m.peers(), random); found {
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
	m.loop.Tell(func(time.Time) { m.trust.Heard(heard) })
}

// Hint takes a peer's revision from any message; a newer one is pulled.
func (m *Member) Hint(address string, revision int64) {
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
		HeardMs:    process.Ask(m.loop, m.trust.Age).Milliseconds(),
		ListMs:     listMs,
		ListHash:   list.Hash(),
	}
}

// pull adopts what a peer holds.
func (m *Member) pull(address string) error {
	h, err := peer.Call[peer.Nothing, config.Head](m.pool, address, peer.MethodHead, peer.Nothing{})
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
	peer.Handle(m.mux, peer.MethodStatus, func(context.Context, peer.Nothing) (peer.Status, error) {
		return o.status(), nil
	})
	peer.Handle(m.mux, peer.MethodDump, func(context.Context, peer.Nothing) (peer.Dump, error) {
		return peer.Dump{YAML: o.dump()}, nil
	})
}

func (m *Member) answerExchange(_ context.Context, e peer.Exchange) (peer.Exchange, error) {
	if e.Revision > m.Revision() && e.Address != "" {
		m.work(func() { _ = m.pull(e.Address) })
	}
	return m.exchangeMessage(), nil
}

func (m *Member) answerHead(context.Context, peer.Nothing) (config.Head, error) {
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
