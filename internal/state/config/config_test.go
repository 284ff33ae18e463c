package config

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/account"
)

func build(files ...File) (*Config, error) {
	return NewBuilder().Build(Head{Revision: 1}, files)
}

func file(name, content string) File { return File{Name: name, Content: []byte(content)} }

const bells = `
services:
  bells:
    kind: plain
    non-idempotent: [POST /ring, "PUT /tower/*"]
`

func TestFaults(t *testing.T) {
	key := account.HashKey("k").String()
	tests := []struct {
		name  string
		files []File
		want  []string
	}{
		{"unknown key", []File{file("a.yaml", "services:\n  bells:\n    colour: red\n")},
			[]string{`a.yaml:3:5: unknown key "colour"`}},
		{"wrong type", []File{file("a.yaml", "services:\n  bells:\n    cold-limit: many\n")},
			[]string{`a.yaml:3:17: cold-limit: expected whole number, found text`}},
		{"duplicate key", []File{file("a.yaml", "services:\n  bells: {}\n  bells: {}\n")},
			[]string{`a.yaml:3:3: duplicate key "bells"`}},
		{"out of range", []File{file("a.yaml", "services:\n  bells:\n    cold-limit: 0\n")},
			[]string{`a.yaml:3:17: cold-limit: 0 is not from 1 to 100000`}},
		{"unknown reference", []File{file("a.yaml", bells+"accounts:\n  p:\n    services: [drafts]\n    keys: [\""+key+"\"]\n")},
			[]string{`a.yaml:8:15: account "p" refers to unknown service "drafts"`}},
		{"later file", []File{file("a.yaml", bells), file("b.yaml", "services:\n  bells:\n    kind: bronze\n")},
			[]string{`b.yaml:3:11: kind: "bronze" is not one of engine, plain`}},
		{"no map", []File{file("a.yaml", "- a\n")},
			[]string{`a.yaml:1:1: expected a map, found list`}},
		{"syntax", []File{file("a.yaml", "services: [\n")},
			[]string{`a.yaml:1:11: .*`}},
		{"bad rule", []File{file("a.yaml", "services:\n  bells:\n    non-idempotent: [ring]\n")},
			[]string{`a.yaml:3:21: non-idempotent: "ring" is not a method and a path.*`}},
		{"bad duration", []File{file("a.yaml", "services:\n  bells:\n    timeout: soon\n")},
			[]string{`a.yaml:3:14: timeout: "soon" is not a duration from 10ms to 1h0m0s`}},
		{"cold limit over warm limit", []File{file("a.yaml", "services:\n  bells:\n    cold-limit: 9\n    warm-limit: 8\n")},
			[]string{`a.yaml:3:17: cold-limit: 9 exceeds warm-limit 8`}},
		{"five faults at once", []File{file("a.yaml", "services:\n  bells:\n    kind: bronze\n    cold-limit: 0\n    warm-limit: x\n    hue: 1\ncentres: {}\n")},
			[]string{`a.yaml:3:.*`, `a.yaml:4:.*`, `a.yaml:5:.*`, `a.yaml:6:.*`, `a.yaml:7:1: unknown key "centres"`}},
		{"same key twice", []File{file("a.yaml", bells+"accounts:\n  p: {services: [bells], keys: [\""+key+"\"]}\n  q: {services: [bells], keys: [\""+key+"\"]}\n")},
			[]string{`a.yaml:8:.*: accounts "p" and "q" have the same key`}},
		{"bad digest", []File{file("a.yaml", bells+"accounts:\n  p: {services: [bells], keys: [secret]}\n")},
			[]string{`a.yaml:7:.*: keys: each must be "sha256:" followed by 64 hexadecimal digits`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := build(tt.files...)
			c.Assert(err, qt.IsNotNil)
			lines := strings.Split(err.Error(), "\n")
			c.Assert(lines, qt.HasLen, len(tt.want), qt.Commentf("%s", err))
			for i, want := range tt.want {
				c.Check(lines[i], qt.Matches, want)
			}
		})
	}
}

func TestMerge(t *testing.T) {
	tests := []struct {
		name  string
		later string
		check func(c *qt.C, conf *Config)
	}{
		{"scalar replaced", "services: {bells: {cold-limit: 3}}", func(c *qt.C, conf *Config) {
			c.Assert(conf.Service("bells").ColdLimit(), qt.Equals, 3)
			c.Assert(conf.Service("bells").IsNonIdempotent("POST", "/ring"), qt.IsTrue)
		}},
		{"list replaced", "services: {bells: {non-idempotent: [POST /toll]}}", func(c *qt.C, conf *Config) {
			c.Assert(conf.Service("bells").IsNonIdempotent("POST", "/ring"), qt.IsFalse)
			c.Assert(conf.Service("bells").IsNonIdempotent("POST", "/toll"), qt.IsTrue)
		}},
		{"null removes", "services: {bells: null}", func(c *qt.C, conf *Config) {
			c.Assert(conf.Service("bells"), qt.IsNil)
		}},
		{"empty later file", "", func(c *qt.C, conf *Config) {
			c.Assert(conf.Service("bells").IsNonIdempotent("PUT", "/tower/2"), qt.IsTrue)
			c.Assert(conf.Service("bells").IsNonIdempotent("GET", "/ring"), qt.IsFalse)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			// Files are merged in the order of their names, not in the order given.
			conf, err := build(file("20.yaml", tt.later), file("10.yaml", bells))
			c.Assert(err, qt.IsNil)
			tt.check(c, conf)
		})
	}
}

// TestRefusedFolderChangesNothing checks that a build with faults does not change the
// result of a later build of the previous files.
func TestRefusedFolderChangesNothing(t *testing.T) {
	c := qt.New(t)
	b := NewBuilder()
	good, err := b.Build(Head{Revision: 1}, []File{file("a.yaml", bells)})
	c.Assert(err, qt.IsNil)
	_, err = b.Build(Head{Revision: 2}, []File{file("a.yaml", bells), file("b.yaml", "services: {bells: {kind: x}}")})
	c.Assert(err, qt.IsNotNil)
	again, err := b.Build(Head{Revision: 1}, []File{file("a.yaml", bells)})
	c.Assert(err, qt.IsNil)
	c.Assert(again.Service("bells").Kind(), qt.Equals, good.Service("bells").Kind())
}

func TestExamples(t *testing.T) {
	tests := []struct {
		folder                      string
		services, accounts, centres int
	}{
		{"demo", 2, 1, 2},
		{"le-goff", 2, 10, 3},
		{"hooghly", 2, 10, 3},
	}
	for _, tt := range tests {
		t.Run(tt.folder, func(t *testing.T) {
			c := qt.New(t)
			files, err := ReadFolder(filepath.Join("..", "..", "..", "examples", tt.folder))
			c.Assert(err, qt.IsNil)
			conf, err := build(files...)
			c.Assert(err, qt.IsNil)
			c.Assert(conf.Services(), qt.HasLen, tt.services)
			c.Assert(conf.AccountCount(), qt.Equals, tt.accounts)
			c.Assert(conf.DataCentres(), qt.HasLen, tt.centres)
		})
	}
}

func TestKeys(t *testing.T) {
	c := qt.New(t)
	conf, err := build(file("a.yaml", bells+"accounts:\n  p: {services: [bells], keys: [\""+account.HashKey("right").String()+"\"]}\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(conf.AccountByKey("right").Name(), qt.Equals, "p")
	c.Assert(conf.AccountByKey("wrong"), qt.IsNil)
	c.Assert(conf.AccountByKey(""), qt.IsNil)
}

// accountFiles returns a configuration whose client accounts are split over files
// of perFile accounts each, as in a large deployment.
func accountFiles(accounts, perFile int) []File {
	files := []File{file("00.yaml", bells)}
	for first := 0; first < accounts; first += perFile {
		var b strings.Builder
		b.WriteString("accounts:\n")
		for n := first; n < min(first+perFile, accounts); n++ {
			fmt.Fprintf(&b, "  account-%d:\n    share: 2\n    services: [bells]\n    keys: [%q]\n", n, account.HashKey(fmt.Sprint(n)))
		}
		files = append(files, file(fmt.Sprintf("%05d.yaml", first), b.String()))
	}
	return files
}

func BenchmarkBuild(b *testing.B) {
	for _, accounts := range []int{1000, 6500, 26000} {
		files := accountFiles(accounts, 500)
		b.Run(fmt.Sprintf("all/accounts=%d", accounts), func(b *testing.B) {
			for b.Loop() {
				if _, err := build(files...); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("one-file/accounts=%d", accounts), func(b *testing.B) {
			builder := NewBuilder()
			_, _ = builder.Build(Head{}, files)
			n := 0
			for b.Loop() {
				n++
				changed := append([]File(nil), files...)
				changed[1].Content = append([]byte(fmt.Sprintf("# %d\n", n)), changed[1].Content...)
				if _, err := builder.Build(Head{}, changed); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
