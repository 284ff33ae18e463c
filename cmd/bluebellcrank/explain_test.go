package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestExplainFromLogs checks the timeline that is printed from the logs of two
// processes, and the errors for an unknown request and a missing file.
func TestExplainFromLogs(t *testing.T) {
	const (
		refusedLine = `{"@message":"request ended","@module":"edge-1","@timestamp":"2026-05-01T08:41:52.5Z","event":2101,"id":"r-1","status":503,"reason":"no-target"}`
		engineLine  = `{"@message":"engine does not respond","@module":"side-1","@timestamp":"2026-05-01T08:41:52.1Z","event":3208}`
	)
	dir := t.TempDir()
	var files []string
	for name, text := range map[string]string{"edge-1.log": refusedLine, "side-1.log": engineLine} {
		files = append(files, filepath.Join(dir, name))
		qt.New(t).Assert(os.WriteFile(files[len(files)-1], []byte(text), 0o644), qt.IsNil)
	}
	tests := []struct {
		name    string
		id      string
		files   []string
		want    string
		wantErr string
	}{
		{"over two processes", "r-1", files, "08:41:52.100  side-1  3208  engine does not respond\n" +
			"08:41:52.500  edge-1  2101  request ended  reason=no-target  status=503\n" +
			"The entry answered 503, no-target: no target of the service accepted requests.\nNo target ran the request.\n", ""},
		{"unknown request", "r-2", files, "", "no line of 2 logs belongs to request r-2"},
		{"no such file", "r-1", []string{filepath.Join(dir, "none")}, "", ".*no such file.*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var out bytes.Buffer
			cmd := explainCmd{ID: tt.id, Files: tt.files}
			err := cmd.printTimeline(&out)
			if tt.wantErr != "" {
				c.Check(err, qt.ErrorMatches, tt.wantErr)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(out.String(), qt.Equals, tt.want)
		})
	}
}
