package member

import (
	"encoding/json"
	"errors"
	"fmt"

	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/event"
)

// rewriteConfig writes this process's configuration to a restored store again, if the head
// object that was read is an older one, or missing. Another process or an operator that
// writes first wins.
func (m *Member) rewriteConfig(read platform.Object) error {
	c := m.currentConfig.Load()
	if c == nil || read.Position.Generation <= 0 {
		return nil
	}
	var stored config.Head
	if read.Position.Version != 0 {
		if err := json.Unmarshal(read.Value, &stored); err != nil {
			return nil // adoptObject reports it
		}
	}
	head := c.Head()
	if stored.Revision >= head.Revision {
		return nil
	}
	files, err := m.collectFiles(head, func([]string) ([]config.File, error) { return nil, nil })
	if err != nil {
		return err
	}
	for _, f := range files {
		if _, err := m.platform.Put(FileKey(f.Digest()), f.Content, platform.Absent); err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	value, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("member: encode the head: %w", err)
	}
	_, err = m.platform.Put(HeadKey, value, read.Position)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	if err == nil {
		event.ConfigRewritten.Log(m.log, "revision", head.Revision, "stored", stored.Revision)
	}
	return err
}
