package follower

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestListsAfterARestore checks which lists are the first of a restored store, and how long
// the watches after them wait.
func TestListsAfterARestore(t *testing.T) {
	const early, late = 2 * time.Second, 4 * time.Second
	tests := []struct {
		name string
		// generations and seconds are those of the lists, and now is the time after them.
		generations []int64
		seconds     []float64
		now         float64
		// isFirst is for the latest list.
		isFirst bool
		want    time.Duration
	}{
		{"the first list of all", []int64{3}, []float64{0}, 0, false, listWatchWait},
		{"no generation", []int64{0, 0}, []float64{0, 5}, 6, false, listWatchWait},
		{"the same generation", []int64{3, 3}, []float64{0, 5}, 6, false, listWatchWait},
		{"restored", []int64{3, 4}, []float64{0, 5}, 5.5, true, 1500 * time.Millisecond},
		{"the next list is due", []int64{3, 4}, []float64{0, 5}, 7.5, true, 0},
		{"a list too early", []int64{3, 4, 4}, []float64{0, 5, 6}, 6, false, time.Second},
		{"the list after the first period", []int64{3, 4, 4}, []float64{0, 5, 7}, 7, false, 2 * time.Second},
		{"the list after both", []int64{3, 4, 4, 4}, []float64{0, 5, 7, 9}, 9, false, listWatchWait},
		{"one late list after both", []int64{3, 4, 4}, []float64{0, 5, 20}, 20, false, listWatchWait},
		{"restored again", []int64{3, 4, 5}, []float64{0, 5, 6}, 6, true, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			at := func(seconds float64) time.Time {
				return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
			}
			var l listTimes
			isFirst := false
			for n, generation := range tt.generations {
				isFirst = l.record(generation, at(tt.seconds[n]))
			}
			c.Check(isFirst, qt.Equals, tt.isFirst)
			c.Check(l.untilNext(at(tt.now), early, late), qt.Equals, tt.want)
		})
	}
}
