package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// settleTime is longer than processes rely on nothing that the store may have lost.
const settleTime = 6 * time.Second

const guestKey = "key-guest"

// withGuest returns the configuration of an account with guestKey.
func withGuest() string {
	return "accounts: {guest: {services: [bells], keys: [\"" + digestOf(guestKey) + "\"]}}\n"
}

func isServed(f *fleet, entry string) bool {
	r, err := f.send(entry, "GET", "/bells/ready", "", map[string]string{"X-Api-Key": guestKey})
	return err == nil && r.status == 200
}

// TestRemovedKeyStaysRemovedAfterARestore removes a key, lets the platform lose the
// change, and starts one entry then, or all processes a little later.
func TestRemovedKeyStaysRemovedAfterARestore(t *testing.T) {
	tests := []struct {
		name    string
		restart bool
	}{
		{"an entry starts at once", false},
		{"all processes start later", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f, folder := restoreFleet(t, "")
			must(t, os.WriteFile(filepath.Join(folder, "20.yaml"), []byte(withGuest()), 0o644))
			c.Assert(awaitRevision(t, f, pushUnannounced(t, f, folder)), qt.HasLen, 0)
			c.Assert(isServed(f, "entry-1"), qt.IsTrue)
			must(t, copyStore(f), os.Remove(filepath.Join(folder, "20.yaml")))
			c.Assert(awaitRevision(t, f, pushUnannounced(t, f, folder)), qt.HasLen, 0)
			c.Assert(isServed(f, "entry-1"), qt.IsFalse)
			must(t, restoreStore(f, restoreOptions{EndWatches: true}))
			if tt.restart {
				time.Sleep(settleTime)
				for _, i := range f.instances {
					f.proc(i.ID).kill()
				}
				for _, i := range f.instances {
					if i.Service == "" {
						must(t, f.startEntry(i))
					} else {
						must(t, f.startAgent(i))
					}
				}
			} else {
				must(t, f.addEntry("entry-3", "east"))
			}
			entries := []string{"entry-1", "entry-2"}
			if !tt.restart {
				entries = []string{"entry-3"}
			}
			served, startedAt := 0, time.Now()
			for time.Since(startedAt) < settleTime+2*time.Second {
				for _, e := range entries {
					if isServed(f, e) {
						served++
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			c.Check(served, qt.Equals, 0)
			for _, e := range entries {
				must(t, f.waitReady(e, "bells"))
			}
		})
	}
}

// TestRevisionThatIsGivenOutAgainIsInForce pushes a change from a base of before one that
// the platform has lost, and checks that both are in force.
func TestRevisionThatIsGivenOutAgainIsInForce(t *testing.T) {
	c := qt.New(t)
	f, first := restoreFleet(t, "")
	second := copyFolder(t, f, "second")
	writeRegion(t, first, "30.yaml", "north")
	c.Assert(awaitRevision(t, f, pushUnannounced(t, f, first)), qt.HasLen, 0)
	must(t, restoreStore(f, restoreOptions{}))
	must(t, os.WriteFile(filepath.Join(second, "20.yaml"), []byte(withGuest()), 0o644))
	out, err := f.runOperatorCommand("push", second, "--wait")
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	for _, e := range []string{"entry-1", "entry-2"} {
		c.Check(isServed(f, e), qt.IsTrue, qt.Commentf("%s: %s", e, out))
	}
	fresh := filepath.Join(f.dir, "fresh")
	out, err = f.runOperatorCommand("pull", fresh)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	_, err = os.Stat(filepath.Join(fresh, "30.yaml"))
	c.Check(err, qt.IsNil)
}
