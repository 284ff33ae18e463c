package main

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"
)

// output runs the program and returns what it printed and its exit code.
func output(t *testing.T, args ...string) (string, int) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, stderr := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = w, w
	code := run(args)
	os.Stdout, os.Stderr = stdout, stderr
	_ = w.Close()
	text, _ := io.ReadAll(r)
	return string(text), code
}

func TestSettings(t *testing.T) {
	const whole = "data-centre: east\nservice: bells\ntarget: 127.0.0.1:9\nseeds: [127.0.0.1:1, 127.0.0.1:2]\n"
	tests := []struct {
		name string
		file string
		args []string
		code int
		want string
	}{
		{"file", whole, nil, 0, "data-centre: east\n"},
		{"list in a file", whole, nil, 0, "seeds:\n- 127.0.0.1:1\n- 127.0.0.1:2\n"},
		{"flag before file", whole, []string{"--data-centre=west"}, 0, "data-centre: west\n"},
		{"default", whole, nil, 0, "load-interval: 250ms\n"},
		{"unknown setting", whole + "hue: 3\n", nil, exitUsage, `unknown setting "hue"`},
		{"faults together", "data-centre: east\nplatform: ftp://x\n", nil, exitUsage, "platform: \"ftp://x\" is not an http address\nservice: is empty\n"},
		{"wrong type", whole + "kept-bytes: many\n", nil, exitUsage, "kept-bytes"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join(t.TempDir(), "settings.yaml")
			c.Assert(os.WriteFile(path, []byte(tt.file), 0o600), qt.IsNil)
			text, code := output(t, append([]string{"agent", "--settings=" + path, "--print-settings"}, tt.args...)...)
			c.Check(code, qt.Equals, tt.code, qt.Commentf("%s", text))
			c.Check(text, qt.Contains, tt.want)
		})
	}
}

func TestCheckPrintsEveryFault(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	bad := "services:\n  bells:\n    kind: bronze\n    cold-limit: 0\n    warm-limit: x\n    hue: 1\ncentres: {}\n"
	c.Assert(os.WriteFile(filepath.Join(folder, "a.yaml"), []byte(bad), 0o600), qt.IsNil)
	text, code := output(t, "check", folder)
	c.Check(code, qt.Equals, exitFault)
	for _, at := range []string{"a.yaml:3:11: ", "a.yaml:4:17: ", "a.yaml:5:17: ", "a.yaml:6:5: ", "a.yaml:7:1: "} {
		c.Check(text, qt.Contains, at)
	}
}

// settingRows are the rows of a daemon's settings in docs/OPERATIONS.md.
func settingRows(t *testing.T, daemon string) []string {
	var c commands
	parser, err := kong.New(&c, kong.DefaultEnvars("BLUEBELLCRANK"))
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for _, node := range parser.Model.Children {
		if node.Name != daemon {
			continue
		}
		for _, f := range node.Flags {
			if f.Name == "settings" || f.Name == "print-settings" {
				continue
			}
			rows = append(rows, "| `"+f.Name+"` | "+f.Default+" | "+f.Help+" |")
		}
	}
	return rows
}

func TestSettingsAreDocumented(t *testing.T) {
	c := qt.New(t)
	content, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	c.Assert(err, qt.IsNil)
	for _, daemon := range []string{"entry", "agent"} {
		rows := settingRows(t, daemon)
		c.Assert(len(rows) > 10, qt.IsTrue)
		for _, row := range rows {
			c.Check(string(content), qt.Contains, row)
		}
	}
}
