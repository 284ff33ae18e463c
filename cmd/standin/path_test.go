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

var binaries string

// raceFlag builds the programs with the race detector; measurements do not.
var raceFlag = "-race=true"

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bluebellcrank-test")
	if err != nil {
		panic(err)
	}
	binaries = dir
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

// testFleet starts a platform; the test adds the rest and calls run.
func testFleet(t *testing.T) *fleet {
	f, err := newFleet(t.TempDir(), filepath.Join(binaries, "bluebellcrank"), filepath.Join(binaries, "standin"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.close()
		for _, p := range f.procs {
			content, _ := os.ReadFile(p.log)
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

// push writes files into a folder and pushes it.
func push(t *testing.T, f *fleet, files map[string]string) string {
	folder := filepath.Join(f.dir, "folder")
	_ = os.MkdirAll(folder, 0o755)
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	out, err := f.operator("push", folder, "--wait")
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

// withKey puts the digest of the callers' key into a configuration.
func withKey(config string) string {
	return strings.ReplaceAll(config, "DIGEST", digestOf(demoKey))
}

func write(t *testing.T, f *fleet, name, content string) {
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

// wholeStream is what a caller must get of an engine.
func wholeStream(token string, n int) string {
	return wholeAnswer(token, n)
}

func TestWholePath(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	must(t,
		f.addTarget("advisor-1", "advisor", "east", "--engine"),
		f.addTarget("bells-1", "bells", "west"),
		f.addEntry("entry-1", "east"),
		f.publish(),
	)
	push(t, f, map[string]string{"10.yaml": testConfig})
	must(t, f.ready("entry-1", "advisor", "bells"))

	draft, err := f.send("entry-1", "POST", "/advisor/v1/chat/completions", `{"token":"a","max_tokens":5}`, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(draft.body, qt.Equals, wholeStream("a", 5))
	key := map[string]string{"Idempotency-Key": "k"}
	for range 2 {
		order, err := f.send("entry-1", "POST", "/bells/ring", `{"token":"b"}`, key)
		c.Assert(err, qt.IsNil)
		c.Assert(order.body, qt.Equals, plainAnswer("b"))
	}
	rings := 0
	for _, r := range f.runs("bells-1") {
		if r.Path == "/ring" {
			rings++
		}
	}
	c.Assert(rings, qt.Equals, 1)
}
