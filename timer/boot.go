package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine was started, suspensions included. It returns 0
// if the clock cannot be read, which never looks like a suspension.
func Boot() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
