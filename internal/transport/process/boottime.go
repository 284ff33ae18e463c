package process

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the instance started, counting the time in
// which it was suspended; Go's monotonic clock leaves that out.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("process: no clock that counts suspension: " + err.Error())
	}
	return time.Duration(t.Nano())
}
