package process

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the instance booted, including the time in
// which it was suspended, which Go's monotonic clock does not count.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("process: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
