package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/transport/member"
)

// baseFile remembers, in the folder, which revision it was edited from.
const baseFile = ".bluebellcrank.json"

const (
	folderMode = 0o755
	fileMode   = 0o644
)

func readBase(folder string) (config.Head, error) {
	content, err := os.ReadFile(filepath.Join(folder, baseFile))
	if errors.Is(err, os.ErrNotExist) {
		return config.Head{}, nil
	}
	if err != nil {
		return config.Head{}, err
	}
	var h config.Head
	if err := json.Unmarshal(content, &h); err != nil {
		return h, fmt.Errorf("%s: %w", baseFile, err)
	}
	return h, nil
}

// writeBase records what each of the folder's files was edited from: the
// head's state of it where the folder holds that, else what it was before. A
// file that others have changed is left as it is until the next pull.
func writeBase(folder string, old, head config.Head, local []config.File) error {
	base := config.Head{Revision: head.Revision, ChangeID: head.ChangeID}
	for _, f := range local {
		r, found := head.FindFile(f.Name)
		if !found || r.Digest != f.Digest() {
			r, found = old.FindFile(f.Name)
		}
		if found {
			base.Files = append(base.Files, r)
		}
	}
	content, err := json.MarshalIndent(base, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, baseFile), append(content, '\n'), fileMode)
}

// Pull writes the configuration in force into a folder. A file that was
// edited there since the last pull or push is a conflict.
func Pull(client *platform.Client, folder string) (config.Head, error) {
	head, _, err := ReadHead(client)
	if err != nil {
		return head, err
	}
	if head.Revision == 0 {
		return head, errors.New("no configuration was pushed yet")
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return head, err
	}
	base, err := readBase(folder)
	if err != nil {
		return head, err
	}
	var files []config.File
	for _, r := range head.Files {
		o, err := client.Get(member.FileKey(r.Digest))
		if err != nil {
			return head, err
		}
		f := config.File{Name: r.Name, Content: o.Value}
		if err := editedHere(folder, base, f, r); err != nil {
			return head, err
		}
		files = append(files, f)
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(folder, f.Name), f.Content, fileMode); err != nil {
			return head, err
		}
	}
	if err := removeStale(folder, base, head); err != nil {
		return head, err
	}
	return head, writeBase(folder, config.Head{}, head, files)
}

// editedHere returns a conflict if writing f would lose an edit.
func editedHere(folder string, base config.Head, f config.File, r config.FileRef) error {
	content, err := os.ReadFile(filepath.Join(folder, f.Name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	mine := config.File{Name: f.Name, Content: content}.Digest()
	was, _ := base.FindFile(f.Name)
	if mine == r.Digest || mine == was.Digest {
		return nil
	}
	return &ConflictError{file: f.Name, base: was.Revision, theirs: r.Revision}
}

// removeStale removes files that others have removed, unless edited here.
func removeStale(folder string, base, head config.Head) error {
	for _, r := range base.Files {
		if _, found := head.FindFile(r.Name); found {
			continue
		}
		path := filepath.Join(folder, r.Name)
		content, err := os.ReadFile(path)
		if err != nil || (config.File{Content: content}).Digest() != r.Digest {
			continue
		}
		if err := os.Remove(path); err != nil {
			return err
		}
	}
	return nil
}
