// Package clock reads a clock that also counts the time for which the machine was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is when the process was started on the monotonic clock of package time.
var start = time.Now()

// SinceBoot returns the time since the machine was started, including the time for which it was suspended. The monotonic clock
// of package time stands still then, so a machine that wakes up would take what it knew before for recent.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Since(start)
	}
	return time.Duration(t.Nano())
}
