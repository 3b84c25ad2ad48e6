package scheduler

import (
	"time"
)

// reserveMemory is how long the peak of urgent use is remembered: a few times the length of an urgent job.
const reserveMemory = 10 * time.Second

// urgentUse follows how many accelerators urgent work takes. Its room, once free, is kept for the urgent work that comes
// next: given to other work it would have to be taken back, and what that had done would be lost.
type urgentUse struct {
	peak   float64
	peakAt time.Time
}

// reserve takes in the present use and returns how many accelerators to keep free.
func (u *urgentUse) reserve(used int64, now time.Time) int64 {
	left := u.peak * max(0, 1-float64(now.Sub(u.peakAt))/float64(reserveMemory))
	if float64(used) >= left {
		u.peak, u.peakAt = float64(used), now
		return 0
	}
	return int64(left) - used
}

// urgentAccelerators is what urgent work takes now.
func (h *shard) urgentAccelerators() int64 {
	sum := int64(0)
	for _, w := range h.workers {
		for _, r := range w.runs {
			if r.job != nil && r.job.Request.Terms.Priority == 0 {
				sum += r.each.Accelerators
			}
		}
	}
	return sum
}
