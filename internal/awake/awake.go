// Package awake measures for how long the machine has been suspended. Go's monotonic clock does not count that time:
// after a resume, a process would treat its data as fresh, although its leases have expired and other boxes took over.
package awake

import "time"

// Suspended returns how long the machine has been suspended since it booted, or 0 where the system does not report it.
// The value never decreases, and changes of the wall clock do not affect it.
func Suspended() time.Duration { return suspended() }

// Limits for comparing the clocks. A process that is paused between two readings must not look like a suspended
// machine, so the readings are repeated until they lie close together.
const (
	maxReadingGap = 100 * time.Microsecond // Longest time between the readings of a precise comparison.
	maxTries      = 5
)

// clockOffset returns how far the clock boottime, which counts suspended time, is ahead of monotonic, which does not.
// It reads boottime between two readings of monotonic. A pause of the process can make the result too small,
// never too large.
func clockOffset(monotonic, boottime func() time.Duration) time.Duration {
	offset := time.Duration(0)
	for range maxTries {
		before, total, after := monotonic(), boottime(), monotonic()
		offset = max(offset, total-after)
		if after-before <= maxReadingGap {
			break
		}
	}
	return offset
}
