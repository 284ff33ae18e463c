package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bluebellcrank/internal/state/account"
)

// binaryDir is the directory of the programs that TestMain builds.
var binaryDir string

// raceFlag is the flag of go build that enables the race detector; measurements
// disable it.
var raceFlag = "-race=true"

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bluebellcrank-test")
	if err != nil {
		panic(err)
	}
	binaryDir = dir
	for _, name := range []string{"bluebellcrank", "standin"} {
		out, err := exec.Command("go", "build", raceFlag, "-o", filepath.Join(dir, name), "bluebellcrank/cmd/"+name).CombinedOutput()
		if err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// testFleet starts a fleet that consists of a platform only; the test adds the
// instances. At the end of the test it kills all processes, and fails the test if
// one of them logged a data race or a panic.
func testFleet(t *testing.T) *fleet {
	f, err := newFleet(t.TempDir(), filepath.Join(binaryDir, "bluebellcrank"), filepath.Join(binaryDir, "standin"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.killAll()
		for _, p := range f.procs {
			content, _ := os.ReadFile(p.logPath)
			if strings.Contains(string(content), "DATA RACE") || strings.Contains(string(content), "panic:") {
				t.Errorf("%s:\n%s", p.name, content)
			}
			if t.Failed() {
				t.Logf("%s:\n%s", p.name, content)
			}
		}
	})
	return f
}

// push writes files into the fleet's configuration folder, pushes the folder with
// --wait and returns its path.
func push(t *testing.T, f *fleet, files map[string]string) string {
	folder := filepath.Join(f.dir, "folder")
	_ = os.MkdirAll(folder, 0o755)
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	out, err := f.runOperatorCommand("push", folder, "--wait")
	if err != nil {
		t.Fatalf("push: %v\n%s", err, out)
	}
	return folder
}

func must(t *testing.T, errs ...error) {
	t.Helper()
	for _, err := range errs {
		if err != nil {
			t.Fatal(err)
		}
	}
}

func digestOf(key string) string { return account.HashKey(key).String() }

// withKey replaces DIGEST in a configuration by the digest of demoKey.
func withKey(config string) string {
	return strings.ReplaceAll(config, "DIGEST", digestOf(demoKey))
}

// writeConfigFile writes a file into the fleet's configuration folder.
func writeConfigFile(t *testing.T, f *fleet, name, content string) {
	must(t, os.WriteFile(filepath.Join(f.dir, "folder", name), []byte(content), 0o644))
}

const testConfig = `
services:
  advisor: {kind: engine, cold-limit: 4, warm-limit: 32, warm-up: 16, timeout: 20s}
  bells: {kind: plain, cold-limit: 4, warm-limit: 32, warm-up: 16, timeout: 5s, echo-required: true, non-idempotent: [POST /ring]}
data-centres:
  east: {}
  west: {}
accounts:
  parish:
    services: [advisor, bells]
    keys: ["sha256:c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"]
`

// wantStream returns the answer that a caller must receive from an engine.
func wantStream(label string, n int) string {
	return streamedAnswer(label, n)
}

// TestWholePath sends requests through entry, agent and target; a non-idempotent
// request repeated under the same key must run once.
func TestWholePath(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	must(t,
		f.addTarget("advisor-1", "advisor", "east", "--engine"),
		f.addTarget("bells-1", "bells", "west"),
		f.addEntry("entry-1", "east"),
		f.publishInstances(),
	)
	push(t, f, map[string]string{"10.yaml": testConfig})
	must(t, f.waitReady("entry-1", "advisor", "bells"))

	completion, err := f.send("entry-1", "POST", "/advisor/v1/chat/completions", `{"token":"a","max_tokens":5}`, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(completion.body, qt.Equals, wantStream("a", 5))
	key := map[string]string{"Idempotency-Key": "k"}
	for range 2 {
		ring, err := f.send("entry-1", "POST", "/bells/ring", `{"token":"b"}`, key)
		c.Assert(err, qt.IsNil)
		c.Assert(ring.body, qt.Equals, plainAnswer("b"))
	}
	ringCount := 0
	for _, r := range f.readRunLog("bells-1") {
		if r.Path == "/ring" {
			ringCount++
		}
	}
	c.Assert(ringCount, qt.Equals, 1)
}
