package hedge

import (
	"math"
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// classBits is the number of bits of the size that one class spans, a factor of 8: time
	// grows with size, and finer classes would have too few times.
	classBits = 3
	// maxSizeClass is the class of all sizes from 1 Mi (bytes or tokens) on.
	maxSizeClass = 7
	// timeUnit and maxTime are the resolution and the range of the histograms, and
	// timeDigits their precision; a histogram has about 14 KB.
	timeUnit   = 100 * time.Microsecond
	maxTime    = time.Minute
	timeDigits = 2
	// timeSlots is the number of slots of the window of times. A slot ends after
	// minSlotTime if it has minSlotTimes, so that quantiles of a quiet service have a
	// basis too, and after maxSlotTime in any case.
	timeSlots    = 4
	minSlotTime  = 5 * time.Second
	minSlotTimes = 32
	maxSlotTime  = time.Minute
	// minTimes is the number of times below which there is no quantile.
	minTimes = 20
	// delayLifetime is how long a computed delay is used, because adding up the slots
	// takes 0.3 µs for times that are alike, but 49 µs for times over the whole range.
	delayLifetime = 250 * time.Millisecond
	// minDelay bounds the delay from below: timers are no finer.
	minDelay = time.Millisecond
)

// Class is a class of requests with similar times.
type Class struct {
	stream bool
	size   int
}

// ClassOf returns the class of a request by the size of its prompt or body.
func ClassOf(stream bool, size int) Class {
	return Class{stream: stream, size: min(bits.Len(uint(max(size, 0)))/classBits, maxSizeClass)}
}

// times are the recent times of the requests of one class.
type times struct {
	window    *hdrhistogram.WindowedHistogram
	slotBegan time.Time
	// delay is the quantile as of delayAt; 0 if there is none.
	delay   time.Duration
	delayAt time.Time
}

func newTimes(now time.Time) *times {
	return &times{window: hdrhistogram.NewWindowed(timeSlots, 1, int64(maxTime/timeUnit), timeDigits), slotBegan: now}
}

// rotate ends slots that are over. After a long time without a request it ends all.
func (t *times) rotate(now time.Time) {
	age := now.Sub(t.slotBegan)
	if age < minSlotTime || age < maxSlotTime && t.window.Current.TotalCount() < minSlotTimes {
		return
	}
	for range max(1, min(timeSlots, int(age/maxSlotTime))) {
		t.window.Rotate()
	}
	t.slotBegan = now
}

func (t *times) record(d time.Duration, now time.Time) {
	t.rotate(now)
	// Values within the range are always recorded.
	_ = t.window.Current.RecordValue(int64(min(max(d, timeUnit), maxTime) / timeUnit))
}

// quantile returns the quantile of the window, or false if it has too few times.
func (t *times) quantile(q float64, now time.Time) (time.Duration, bool) {
	t.rotate(now)
	if t.delayAt.IsZero() || now.Sub(t.delayAt) >= delayLifetime {
		t.delayAt, t.delay = now, 0
		if all := t.window.Merge(); all.TotalCount() >= max(minTimes, int64(math.Ceil(1/(1-q)))) {
			t.delay = max(time.Duration(all.ValueAtQuantile(100*q))*timeUnit, minDelay)
		}
	}
	return t.delay, t.delay > 0
}
