package member

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bluebellcrank/internal/coordination/revision"
	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/transport/process"
)

// HeadKey is the key of the object with the current configuration's head. A new
// configuration is accepted by a conditional update of this object.
const HeadKey = "config/head"

// FileKey returns the key of the object with the content of a configuration file.
func FileKey(digest string) string { return "config/files/" + digest }

const (
	watchRetryDelay = 300 * time.Millisecond
	// maxFilesPerReply limits a reply with files to a few megabytes.
	maxFilesPerReply = 4
	// fileRetentionPeriod is how long files of replaced configurations are kept.
	fileRetentionPeriod = 30 * time.Second
)

// fileFetcher fetches the files with the given digests.
type fileFetcher func(digests []string) ([]config.File, error)

// watch watches the head object on the platform until the member stops. It pauses
// while this process has a configuration and is not one of its data centre's watchers,
// the few processes that read from the platform for the others.
func (m *Member) watch() {
	position := platform.Absent
	for !m.isStopped() {
		if m.Revision() > 0 && !revision.IsWatcher(m.settings.Instance, m.settings.DataCentre, m.Instances()) {
			m.wait(watchRetryDelay)
			continue
		}
		requestedAt := time.Now()
		o, err := m.platform.Watch(HeadKey, position, m.settings.WatchTimeout)
		if errors.Is(err, platform.ErrRestored) {
			continue
		}
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			if err := m.rewriteConfig(o); err != nil {
				event.ConfigNotRewritten.Log(m.log, "revision", m.Revision(), "error", err)
				m.wait(watchRetryDelay)
				continue
			}
		}
		// The store may have lost the newest configuration, which a process that starts
		// gets from its peers then.
		if err != nil || m.Revision() == 0 && !m.IsSettled() {
			m.wait(watchRetryDelay)
			continue
		}
		if o.Position.After(position) {
			position = o.Position
		}
		if m.adoptObject(o) == nil {
			m.loop.Post(func(time.Time) { m.isolation.RecordContact(requestedAt) })
		}
	}
}

func (m *Member) isStopped() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}

func (m *Member) wait(d time.Duration) {
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

// adopt applies a newer configuration and ignores an older one.
func (m *Member) adopt(h config.Head, fetch fileFetcher) error {
	m.adoptMu.Lock()
	defer m.adoptMu.Unlock()
	if !m.isNewer(m.Revision(), h.Revision) {
		return nil
	}
	files, err := m.collectFiles(h, fetch)
	if err != nil {
		event.ConfigFetchFailed.Log(m.log, "revision", h.Revision, "error", err)
		return err
	}
	c, err := m.builder.Build(h, files)
	if err != nil {
		event.ConfigInvalid.Log(m.log, "revision", h.Revision, "error", err)
		return err
	}
	m.cacheFiles(files, time.Now())
	process.Call(m.loop, func(time.Time) struct{} {
		m.currentConfig.Store(c)
		m.onConfig(c)
		return struct{}{}
	})
	event.ConfigAdopted.Log(m.log, "revision", h.Revision, "change-id", h.ChangeID)
	m.startWorker(m.notifyPeers)
	return nil
}

// collectFiles returns the files that a head lists. It fetches those that are not in
// memory.
func (m *Member) collectFiles(h config.Head, fetch fileFetcher) ([]config.File, error) {
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
	fetched, err := fetch(missing)
	if err != nil {
		return nil, err
	}
	byDigest := make(map[string]config.File, len(fetched))
	for _, f := range fetched {
		byDigest[f.Digest()] = f
	}
	for _, r := range h.Files {
		if f, found := byDigest[r.Digest]; found {
			out = append(out, config.File{Name: r.Name, Content: f.Content})
		}
	}
	if len(out) != len(h.Files) {
		return nil, fmt.Errorf("member: revision %d: received %d of %d files", h.Revision, len(out), len(h.Files))
	}
	return out, nil
}

// keptFile is a file of the current or of a recent configuration. lastUsedAt is when a
// configuration with the file was last adopted.
type keptFile struct {
	file       config.File
	lastUsedAt time.Time
}

// cacheFiles stores a configuration's files and deletes the expired ones. Files of
// replaced configurations are kept for a time because a peer may still be pulling
// them.
func (m *Member) cacheFiles(files []config.File, now time.Time) {
	m.filesMu.Lock()
	defer m.filesMu.Unlock()
	for _, f := range files {
		m.files[f.Digest()] = keptFile{file: f, lastUsedAt: now}
	}
	for d, k := range m.files {
		if now.Sub(k.lastUsedAt) > fileRetentionPeriod {
			delete(m.files, d)
		}
	}
}
