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

// baseFile is the file in a configuration folder that records the revision on which
// the folder's edits are based, and the digests of its files at that revision.
const baseFile = ".bluebellcrank.json"

// errNoConfiguration reports that the store has no configuration.
var errNoConfiguration = errors.New("no configuration has been pushed yet")

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// folderBase is a head with the generation of the store in which it was read.
type folderBase struct {
	config.Head
	Generation int64 `json:"store-generation"`
}

// checkIn returns a RestoredError if the store was restored since the base was read, and
// the current head does not continue the base.
func (b folderBase) checkIn(head config.Head, at platform.Position) error {
	if at.Generation <= b.Generation || b.Revision == 0 || head.HasChange(b.ChangeID) {
		return nil
	}
	return &RestoredError{revision: b.Revision, changeID: b.ChangeID}
}

// readBase returns the recorded base of a folder, or an empty one if the folder has
// none.
func readBase(folder string) (folderBase, error) {
	content, err := os.ReadFile(filepath.Join(folder, baseFile))
	if errors.Is(err, os.ErrNotExist) {
		return folderBase{}, nil
	}
	if err != nil {
		return folderBase{}, err
	}
	var base folderBase
	if err := json.Unmarshal(content, &base); err != nil {
		return base, fmt.Errorf("%s: %w", baseFile, err)
	}
	return base, nil
}

// writeBase records the base of each file in a folder: the file's entry in head if
// the folder has the same content, otherwise its entry in the old base. A file that
// other operators changed therefore keeps its old base until the next pull.
func writeBase(folder string, old config.Head, head folderBase, local []config.File) error {
	base := folderBase{Head: config.Head{Revision: head.Revision, ChangeID: head.ChangeID}, Generation: head.Generation}
	for _, f := range local {
		ref, hasRef := head.FindFile(f.Name)
		if !hasRef || ref.Digest != f.Digest() {
			ref, hasRef = old.FindFile(f.Name)
		}
		if hasRef {
			base.Files = append(base.Files, ref)
		}
	}
	content, err := json.MarshalIndent(base, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, baseFile), append(content, '\n'), fileMode)
}

// Pull writes the current configuration into a folder. It fails with a ConflictError
// if it would overwrite a file that was edited since the last pull or push, and with a
// RestoredError if it would remove or overwrite what the store has lost.
func Pull(client *platform.Client, folder string) (config.Head, error) {
	head, position, err := ReadHead(client)
	if err != nil {
		return head, err
	}
	if head.Revision == 0 {
		return head, errNoConfiguration
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return head, err
	}
	base, err := readBase(folder)
	if err != nil {
		return head, err
	}
	if err := base.checkIn(head, position); err != nil {
		return head, err
	}
	files, err := readFiles(client, head)
	if err != nil {
		return head, err
	}
	for n, f := range files {
		if err := checkConflict(folder, base.Head, f, head.Files[n]); err != nil {
			return head, err
		}
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(folder, f.Name), f.Content, fileMode); err != nil {
			return head, err
		}
	}
	if err := removeDeletedFiles(folder, base.Head, head); err != nil {
		return head, err
	}
	return head, writeBase(folder, config.Head{}, folderBase{Head: head, Generation: position.Generation}, files)
}

// readFiles reads the files of a head, in the head's order.
func readFiles(client *platform.Client, head config.Head) ([]config.File, error) {
	files := make([]config.File, 0, len(head.Files))
	for _, ref := range head.Files {
		object, err := client.Get(member.FileKey(ref.Digest))
		if err != nil {
			return nil, err
		}
		files = append(files, config.File{Name: ref.Name, Content: object.Value})
	}
	return files, nil
}

// checkConflict returns a ConflictError if writing f would overwrite a local edit.
func checkConflict(folder string, base config.Head, f config.File, headRef config.FileRef) error {
	content, err := os.ReadFile(filepath.Join(folder, f.Name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	localDigest := config.File{Name: f.Name, Content: content}.Digest()
	baseRef, _ := base.FindFile(f.Name)
	if localDigest == headRef.Digest || localDigest == baseRef.Digest {
		return nil
	}
	return &ConflictError{file: f.Name, baseRevision: baseRef.Revision, headRevision: headRef.Revision}
}

// removeDeletedFiles removes the files that are no longer in head, except those that
// were edited in the folder.
func removeDeletedFiles(folder string, base, head config.Head) error {
	for _, ref := range base.Files {
		if _, found := head.FindFile(ref.Name); found {
			continue
		}
		path := filepath.Join(folder, ref.Name)
		content, err := os.ReadFile(path)
		if err != nil || (config.File{Content: content}).Digest() != ref.Digest {
			continue
		}
		if err := os.Remove(path); err != nil {
			return err
		}
	}
	return nil
}
