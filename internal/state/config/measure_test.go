//go:build bench

package config

import (
	"runtime"
	"testing"
	"time"
)

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// TestMeasureAccounts measures the memory that client accounts use and the time
// of a rebuild after a change of one file.
func TestMeasureAccounts(t *testing.T) {
	for _, accounts := range []int{1000, 6500, 26000} {
		files := accountFiles(accounts, 500)
		heapBefore := heapBytes()
		b := NewBuilder()
		c, err := b.Build(Head{}, files)
		if err != nil {
			t.Fatal(err)
		}
		heapAfter := heapBytes()
		start := time.Now()
		changed := append([]File(nil), files...)
		changed[1].Content = append([]byte("# changed\n"), changed[1].Content...)
		if _, err := b.Build(Head{}, changed); err != nil {
			t.Fatal(err)
		}
		t.Logf("row | configuration of %d accounts, memory | %.4g | MB | - | - |", accounts, (heapAfter-heapBefore)/1e6)
		t.Logf("row | configuration of %d accounts, memory | %.4g | B an account | - | - |", accounts, (heapAfter-heapBefore)/float64(accounts))
		t.Logf("row | configuration of %d accounts, one file of 500 changed | %.4g | ms | - | - |", accounts, float64(time.Since(start).Microseconds())/1000)
		runtime.KeepAlive(c)
		runtime.KeepAlive(b)
	}
}
