package scheduler

import "time"

const (
	// quietGaps is how many times the usual time between two changes a feed may tell of nothing before the rows are read: at
	// random, a gap of 8 times the mean comes once in 3,000.
	quietGaps = 8
	// quietLeast and quietMost bound that. A feed can be deaf for a second and more, and then end without a word; reading all
	// rows costs nine calls and more.
	quietLeast = 200 * time.Millisecond
	quietMost  = 700 * time.Millisecond
	// gapWeight is the weight of the newest gap.
	gapWeight = 0.1
)

// patience is how long a feed may be quiet, by how often it has told of changes. At 25 jobs a second and a feed that was deaf for
// a second, 58 jobs were seen up to 1.6 s late with quietMost alone. The zero value has that patience.
type patience struct {
	gap    time.Duration // Between two changes, smoothed; 0 before the first.
	silent int           // Waits in a row without a change.
}

// quiet is how long to wait for the next change.
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

// told takes in that a feed told of changes after a wait.
func (p *patience) told(changes int, after time.Duration) {
	p.silent = 0
	gap := after / time.Duration(max(changes, 1))
	if p.gap == 0 {
		p.gap = gap
	}
	p.gap += time.Duration(gapWeight * float64(gap-p.gap))
}

// heardNothing takes in a wait without a change: the next one is longer, as there may be nothing to tell.
func (p *patience) heardNothing() { p.silent++ }
