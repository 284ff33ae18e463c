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

// layers, from the outermost inward; each imports only itself and those
// behind it.
var layers = []string{"transport", "protocol", "coordination", "state"}

const internalPrefix = "bluebellcrank/internal/"

func layerOf(path string) int {
	for n, l := range layers {
		if strings.HasPrefix(path, l+"/") {
			return n
		}
	}
	return -1
}

func TestLayers(t *testing.T) {
	c := qt.New(t)
	root := filepath.Join("..", "..", "internal")
	seen := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		parts := strings.Split(filepath.ToSlash(rel), "/")
		c.Assert(parts, qt.HasLen, 3, qt.Commentf("%s is not internal/<layer>/<noun>/<file>", rel))
		from := layerOf(rel)
		c.Assert(from >= 0, qt.IsTrue, qt.Commentf("%s is in no layer", rel))
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			to, ours := strings.CutPrefix(strings.Trim(i.Path.Value, `"`), internalPrefix)
			if !ours {
				continue
			}
			seen++
			c.Check(layerOf(to) >= from, qt.IsTrue, qt.Commentf("%s imports %s against the layers", rel, to))
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(seen > 0, qt.IsTrue)
}

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
			for _, no := range []string{"time.Now(", "time.Since(", "time.Sleep(", "go func", "net.Dial", "rand.IntN(", "rand.Float64("} {
				c.Check(strings.Contains(string(content), no), qt.IsFalse, qt.Commentf("%s uses %s", path, no))
			}
			return nil
		})
	}
}

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
		c.Check(numbers[e.Number()], qt.IsFalse, qt.Commentf("event %d stands twice", e.Number()))
		numbers[e.Number()] = true
	}
	c.Assert(documented, qt.DeepEquals, declared)
}
