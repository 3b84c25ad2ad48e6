package scheduler

import "time"

const (
	// quietGaps is how many times the mean gap between two changes a feed may be quiet before the rows are read. For
	// random arrivals, a gap of 8 times the mean occurs once in 3,000.
	quietGaps = 8
	// quietLeast and quietMost limit the time that a feed may be quiet. A feed can miss changes for a second or more
	// and then end without an error; reading all rows costs at least nine calls to the store.
	quietLeast = 200 * time.Millisecond
	quietMost  = 700 * time.Millisecond
	// gapWeight is the weight of the newest gap in the mean gap.
	gapWeight = 0.1
)

// patience computes how long a feed may be quiet from how often it has reported changes. With a fixed limit of
// quietMost, 25 jobs a second and a feed that missed changes for a second, 58 jobs were noticed up to 1.6 s late. The
// zero value allows quietMost.
type patience struct {
	gap    time.Duration // Mean time between two changes, smoothed; 0 before the first change.
	silent int           // Number of successive waits without a change.
}

// quiet returns how long to wait for the next change.
func (p *patience) quiet() time.Duration {
	if p.gap == 0 {
		return quietMost
	}
	wait := max(quietGaps*p.gap, quietLeast)
	for range p.silent {
		wait = min(2*wait, quietMost)
	}
	return min(wait, quietMost)
}

// told records that a feed reported changes after a wait.
func (p *patience) told(changes int, after time.Duration) {
	p.silent = 0
	gap := after / time.Duration(max(changes, 1))
	if p.gap == 0 {
		p.gap = gap
	}
	p.gap += time.Duration(gapWeight * float64(gap-p.gap))
}

// heardNothing records a wait without a change. The next wait is longer, as there may be no changes to report.
func (p *patience) heardNothing() { p.silent++ }
