// Package awake tells for how long the machine has been suspended. The runtime's clock doesn't count that time: a process that wakes takes all that it knows for
// as fresh as before, while leases ran out and others took over.
package awake

import "time"

// Slept is how long the machine has been suspended since it started, 0 where the system doesn't tell. It only ever grows, and steps of the time of day don't change it.
func Slept() time.Duration { return slept() }

// precise is how close to each other clocks are read at least, in a few tries: a process that stood still between the readings must not look like a suspension.
const (
	precise = 100 * time.Microsecond
	tries   = 5
)

// between is how far a clock that counts suspensions is ahead of one that doesn't. It is read between two readings of the other one, and never told as more than it is.
func between(awake, all func() time.Duration) time.Duration {
	most := time.Duration(0)
	for range tries {
		before, counted, after := awake(), all(), awake()
		most = max(most, counted-after)
		if after-before <= precise {
			break
		}
	}
	return most
}
