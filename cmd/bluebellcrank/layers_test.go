package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/event"
	"bluebellcrank/internal/state/refusal"
)

// layers are the folders of internal/, from the outermost to the innermost. A
// package may import packages of its own layer and of inner layers only.
var layers = []string{"transport", "protocol", "coordination", "state"}

const internalPrefix = "bluebellcrank/internal/"

// layerIndex returns the position in layers of a path relative to internal/, or
// -1 if the path is in no layer.
func layerIndex(path string) int {
	for n, l := range layers {
		if strings.HasPrefix(path, l+"/") {
			return n
		}
	}
	return -1
}

// TestLayers checks that each source file is in internal/<layer>/<package>/ and
// imports no outer layer.
func TestLayers(t *testing.T) {
	c := qt.New(t)
	root := filepath.Join("..", "..", "internal")
	importCount := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		elements := strings.Split(filepath.ToSlash(rel), "/")
		c.Assert(elements, qt.HasLen, 3, qt.Commentf("%s is not internal/<layer>/<package>/<file>", rel))
		importer := layerIndex(rel)
		c.Assert(importer >= 0, qt.IsTrue, qt.Commentf("%s is in no layer", rel))
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range file.Imports {
			imported, isInternal := strings.CutPrefix(strings.Trim(i.Path.Value, `"`), internalPrefix)
			if !isInternal {
				continue
			}
			importCount++
			c.Check(layerIndex(imported) >= importer, qt.IsTrue, qt.Commentf("%s imports %s, which is in an outer layer", rel, imported))
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(importCount > 0, qt.IsTrue)
}

// TestDecisionsHoldNoClock checks that the packages that make decisions read no
// clock, start no goroutines, open no connections and use no global random source.
func TestDecisionsHoldNoClock(t *testing.T) {
	c := qt.New(t)
	for _, layer := range []string{"coordination", "state"} {
		root := filepath.Join("..", "..", "internal", layer)
		_ = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			content, err := os.ReadFile(path)
			c.Assert(err, qt.IsNil)
			for _, forbidden := range []string{"time.Now(", "time.Since(", "time.Sleep(", "go func", "net.Dial", "rand.IntN(", "rand.Float64("} {
				c.Check(strings.Contains(string(content), forbidden), qt.IsFalse, qt.Commentf("%s uses %s", path, forbidden))
			}
			return nil
		})
	}
}

// TestReasonsAreDocumented checks that each refusal reason is in the operations
// page and has an explanation and an error status.
func TestReasonsAreDocumented(t *testing.T) {
	c := qt.New(t)
	content, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	c.Assert(err, qt.IsNil)
	for _, r := range refusal.Reasons() {
		c.Check(string(content), qt.Contains, "`"+string(r)+"`")
		c.Check(r.Explain(), qt.Not(qt.Equals), "")
		c.Check(r.Status() >= 400, qt.IsTrue)
	}
}

// TestEventsAreDocumented checks that the rows of the events page are the declared
// events, in the same order, and that their numbers are unique.
func TestEventsAreDocumented(t *testing.T) {
	c := qt.New(t)
	content, err := os.ReadFile(filepath.Join("..", "..", "docs", "EVENTS.md"))
	c.Assert(err, qt.IsNil)
	var documented []string
	for _, line := range strings.Split(string(content), "\n") {
		if strings.HasPrefix(line, "| 1") || strings.HasPrefix(line, "| 2") || strings.HasPrefix(line, "| 3") || strings.HasPrefix(line, "| 4") {
			documented = append(documented, line)
		}
	}
	var declared []string
	numbers := map[int]bool{}
	for _, e := range event.All() {
		declared = append(declared, e.Row())
		c.Check(numbers[e.Number()], qt.IsFalse, qt.Commentf("event number %d is declared twice", e.Number()))
		numbers[e.Number()] = true
	}
	c.Assert(documented, qt.DeepEquals, declared)
}
