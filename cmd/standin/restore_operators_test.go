package main

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPushAfterARestoreLosesNoChange pushes from folders whose base the store has lost,
// while another operator's change has got the same revision and version.
func TestPushAfterARestoreLosesNoChange(t *testing.T) {
	c := qt.New(t)
	f := testFleet(t)
	must(t, f.publishInstances())
	first := push(t, f, map[string]string{"10.yaml": withKey(coldConfig)})
	second := copyFolder(t, f, "second")
	third := copyFolder(t, f, "third")
	must(t, copyStore(f))
	writeRegion(t, first, "20.yaml", "north")
	out, err := f.runOperatorCommand("push", first)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	out, err = f.runOperatorCommand("pull", third)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	must(t, restoreStore(f, restoreOptions{}))
	writeRegion(t, second, "30.yaml", "south")
	out, err = f.runOperatorCommand("push", second)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))

	// The folders have 20.yaml, which the store has lost.
	for _, folder := range []string{first, third} {
		writeRegion(t, folder, "40.yaml", filepath.Base(folder))
		out, err = f.runOperatorCommand("push", folder)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s: %s", folder, out))
		c.Check(out, qt.Contains, "was restored from a copy and has lost revision 2")
		out, err = f.runOperatorCommand("pull", folder)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s: %s", folder, out))
		_, err = os.Stat(filepath.Join(folder, "20.yaml"))
		c.Check(err, qt.IsNil)
	}

	fresh := filepath.Join(f.dir, "fresh")
	out, err = f.runOperatorCommand("pull", fresh)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	writeRegion(t, fresh, "20.yaml", "north")
	out, err = f.runOperatorCommand("push", fresh)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
}
