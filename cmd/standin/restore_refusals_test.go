package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	api "bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/transport/operator"
)

// TestLostRefusalsAreWrittenAgain refuses requests, lets the platform lose the refusals
// that it has acknowledged, and reads them again.
func TestLostRefusalsAreWrittenAgain(t *testing.T) {
	const refusedCount = 5
	c := qt.New(t)
	f, _ := restoreFleet(t, "")
	started := time.Now()
	client := api.NewClient("http://"+f.platformAddress, time.Second)
	countWritten := func() int {
		list, dropped, err := operator.ReadRefusals(client, started)
		c.Assert(err, qt.IsNil)
		c.Check(dropped, qt.Equals, 0)
		return len(list)
	}
	refuse := func() {
		r, err := f.send("entry-1", "GET", "/bells/ready", "", map[string]string{"X-Api-Key": "unknown"})
		c.Assert(err, qt.IsNil)
		c.Assert(r.status, qt.Equals, 401, qt.Commentf("%s", r.body))
	}
	refuse()
	must(t, waitFor(func() bool { return countWritten() == 1 }, "the first refusal is written"), copyStore(f))
	for range refusedCount - 1 {
		refuse()
	}
	must(t, waitFor(func() bool { return countWritten() == refusedCount }, "all refusals are written"))
	must(t, restoreStore(f, restoreOptions{}))
	c.Assert(countWritten(), qt.Equals, 1)
	since, written := time.Now(), 0
	for written = countWritten(); written < refusedCount && time.Since(since) < maxPropagationDelay; written = countWritten() {
		time.Sleep(pollInterval)
	}
	c.Check(written, qt.Equals, refusedCount, qt.Commentf("%s after the restore", time.Since(since)))
	t.Logf("%d refusals %s after the restore", written, time.Since(since).Round(time.Millisecond))
}
