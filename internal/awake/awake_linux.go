package awake

import (
	"time"

	"golang.org/x/sys/unix"
)

func slept() time.Duration {
	return between(clock(unix.CLOCK_MONOTONIC), clock(unix.CLOCK_BOOTTIME))
}

// clock reads one of the system's clocks; one that it doesn't have shows 0, so that nothing is told of suspensions.
func clock(id int32) func() time.Duration {
	return func() time.Duration {
		var t unix.Timespec
		if err := unix.ClockGettime(id, &t); err != nil {
			return 0
		}
		return time.Duration(t.Nano())
	}
}
