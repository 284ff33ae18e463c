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

// MaxFileBytes is the maximum size of a file. It leaves a margin below the
// platform's limit of one megabyte per object.
const MaxFileBytes = 900_000

// File is one file of the operators' configuration folder.
type File struct {
	Name    string `json:"name"`
	Content []byte `json:"content"`
}

// Digest returns the hexadecimal SHA-256 of the content.
func (f File) Digest() string {
	sum := sha256.Sum256(f.Content)
	return hex.EncodeToString(sum[:])
}

// FileRef identifies the content of a file by its digest; Revision is the
// revision that last changed it.
type FileRef struct {
	Name     string `json:"name"`
	Digest   string `json:"digest"`
	Revision int64  `json:"revision"`
}

// Head identifies a configuration: its revision, the change that made it and its
// files. A new configuration comes into force by a conditional update of the one
// head object in the store. Recent holds the IDs of the last changes, newest
// first.
type Head struct {
	Revision int64     `json:"revision"`
	ChangeID string    `json:"change-id"`
	Files    []FileRef `json:"files"`
	Recent   []string  `json:"recent"`
}

// maxRecentChanges is how many change IDs a head keeps, so that an operator who got
// no reply to a change can still find out, after later changes, that it was applied.
const maxRecentChanges = 32

// Next returns the head of the next revision, with the given files.
func (h Head) Next(changeID string, files []File) Head {
	recent := append([]string{changeID}, h.Recent...)
	revision := h.Revision + 1
	return Head{
		Revision: revision,
		ChangeID: changeID,
		Files:    fileRefs(h, files, revision),
		Recent:   recent[:min(len(recent), maxRecentChanges)],
	}
}

// revisionsPerGeneration is the distance between the first revisions of two generations
// of the store.
const revisionsPerGeneration = 1_000_000_000

// InGeneration returns the head with a revision that the next one in a generation of the
// store follows. Revisions of a later generation are greater than all earlier ones, also
// those that the store has lost.
func (h Head) InGeneration(generation int64) Head {
	h.Revision = max(h.Revision, generation*revisionsPerGeneration)
	return h
}

// HasChange reports whether the change is among the recent changes of the head.
func (h Head) HasChange(changeID string) bool { return slices.Contains(h.Recent, changeID) }

// FindFile returns the reference to the named file, and whether the head has it.
func (h Head) FindFile(name string) (FileRef, bool) {
	for _, f := range h.Files {
		if f.Name == name {
			return f, true
		}
	}
	return FileRef{}, false
}

// fileRefs returns references to the files, sorted by name. A file with the same
// content as in the previous head keeps its revision, others get the new one.
func fileRefs(previous Head, files []File, revision int64) []FileRef {
	out := make([]FileRef, 0, len(files))
	for _, f := range files {
		ref := FileRef{Name: f.Name, Digest: f.Digest(), Revision: revision}
		if unchanged, found := previous.FindFile(f.Name); found && unchanged.Digest == ref.Digest {
			ref.Revision = unchanged.Revision
		}
		out = append(out, ref)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ReadFolder reads the .yaml and .yml files of a folder, sorted by name. It
// returns an error if there are none.
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
