package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
)

// MaxFileBytes leaves room below the platform's limit of one megabyte.
const MaxFileBytes = 900_000

// File is one file of the operators' folder.
type File struct {
	Name    string `json:"name"`
	Content []byte `json:"content"`
}

// Digest returns the hexadecimal SHA-256 of the content.
func (f File) Digest() string {
	sum := sha256.Sum256(f.Content)
	return hex.EncodeToString(sum[:])
}

// FileRef names a file by its content; Revision is the revision that last
// changed it.
type FileRef struct {
	Name     string `json:"name"`
	Digest   string `json:"digest"`
	Revision int64  `json:"revision"`
}

// Head is the one object whose conditional update accepts a configuration.
type Head struct {
	Revision int64     `json:"revision"`
	ChangeID string    `json:"change-id"`
	Files    []FileRef `json:"files"`
	Recent   []string  `json:"recent"`
}

// recentChanges is how many change ids a head remembers, so that an operator
// whose answer was lost finds a change under later ones.
const recentChanges = 32

// Next returns the head that follows with a folder's files.
func (h Head) Next(changeID string, files []File) Head {
	recent := append([]string{changeID}, h.Recent...)
	revision := h.Revision + 1
	return Head{
		Revision: revision,
		ChangeID: changeID,
		Files:    refs(h, files, revision),
		Recent:   recent[:min(len(recent), recentChanges)],
	}
}

// HasChange reports whether a change is part of this head.
func (h Head) HasChange(changeID string) bool { return slices.Contains(h.Recent, changeID) }

// FindFile returns the reference to a file, and whether there is one.
func (h Head) FindFile(name string) (FileRef, bool) {
	for _, f := range h.Files {
		if f.Name == name {
			return f, true
		}
	}
	return FileRef{}, false
}

// refs describes a folder's files under a new revision; a file that the old
// head has with the same content keeps its revision.
func refs(old Head, files []File, revision int64) []FileRef {
	out := make([]FileRef, 0, len(files))
	for _, f := range files {
		ref := FileRef{Name: f.Name, Digest: f.Digest(), Revision: revision}
		if was, found := old.FindFile(f.Name); found && was.Digest == ref.Digest {
			ref.Revision = was.Revision
		}
		out = append(out, ref)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ReadFolder reads the folder's .yaml and .yml files in the order of names.
func ReadFolder(folder string) ([]File, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	var out []File
	for _, e := range entries {
		if e.IsDir() || !isYAML(e.Name()) {
			continue
		}
		content, err := os.ReadFile(filepath.Join(folder, e.Name()))
		if err != nil {
			return nil, fmt.Errorf("read folder: %w", err)
		}
		out = append(out, File{Name: e.Name(), Content: content})
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("folder %s has no .yaml file", folder)
	}
	return out, nil
}

func isYAML(name string) bool {
	return strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml")
}
