package claim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNewestClaimsAreWrittenAgainFirst keeps records of several times, some of which expire.
func TestNewestClaimsAreWrittenAgainFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	k := NewKept()
	for n := range 5 {
		k.Add(Entry{Key: fmt.Sprint("k-", n), Record: Record{Attempt: fmt.Sprint("a-", n)}}, now.Add(time.Duration(n)*keepPeriod/2))
	}
	var keys []string
	for _, e := range k.Entries() {
		keys = append(keys, e.Key)
	}
	c.Check(keys, qt.DeepEquals, []string{"k-4", "k-3", "k-2"})
}
