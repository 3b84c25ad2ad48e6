package awake

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns how far CLOCK_BOOTTIME, which counts suspended time, is ahead of CLOCK_MONOTONIC.
func suspended() time.Duration {
	return clockOffset(clock(unix.CLOCK_MONOTONIC), clock(unix.CLOCK_BOOTTIME))
}

// clock returns a function that reads a system clock. It reads 0 if the system does not have the clock,
// so that no suspension is reported.
func clock(id int32) func() time.Duration {
	return func() time.Duration {
		var t unix.Timespec
		if err := unix.ClockGettime(id, &t); err != nil {
			return 0
		}
		return time.Duration(t.Nano())
	}
}
