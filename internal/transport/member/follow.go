package member

import (
	"encoding/json"
	"fmt"
	"time"

	"bluebellcrank/internal/coordination/revision"
	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/event"
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
		if m.Revision() > 0 && !revision.IsWatcher(m.settings.Instance, m.settings.DataCentre, m.Instances()) {
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
			m.loop.Tell(func(time.Time) { m.trust.RecordContact(asked) })
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
		event.ConfigFetchFailed.Log(m.log, "revision", h.Revision, "error", err)
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
