package scheduler

import "time"

const (
	// maxQuietGaps limits how long a feed may be quiet before all rows are read, in mean gaps between two changes. For
	// random arrivals, 1 gap in 3,000 is longer than 8 times the mean.
	maxQuietGaps = 8
	// minQuietTime and maxQuietTime limit the time that a feed may be quiet before all rows are read. A feed can miss
	// changes for a second or more and then end without an error. Reading all rows costs at least nine calls to the
	// store.
	minQuietTime = 200 * time.Millisecond
	maxQuietTime = 700 * time.Millisecond
	// gapWeight is the weight of the newest gap in the mean gap.
	gapWeight = 0.1
)

// feedTimeout computes how long a feed may be quiet, from how often it has reported changes. Without it, the limit was
// always maxQuietTime: at 25 jobs a second, a feed missed changes for a second, and 58 jobs were noticed up to 1.6 s
// late. The zero value allows maxQuietTime.
type feedTimeout struct {
	meanGap    time.Duration // Mean time between two changes, smoothed; 0 before the first change.
	emptyWaits int           // Number of successive waits without a change.
}

// next returns how long to wait for the next change before all rows are read.
func (p *feedTimeout) next() time.Duration {
	if p.meanGap == 0 {
		return maxQuietTime
	}
	wait := max(maxQuietGaps*p.meanGap, minQuietTime)
	for range p.emptyWaits {
		wait = min(2*wait, maxQuietTime)
	}
	return min(wait, maxQuietTime)
}

// recordChanges records that a feed reported changes after a wait.
func (p *feedTimeout) recordChanges(changes int, after time.Duration) {
	p.emptyWaits = 0
	gap := after / time.Duration(max(changes, 1))
	if p.meanGap == 0 {
		p.meanGap = gap
	}
	p.meanGap += time.Duration(gapWeight * float64(gap-p.meanGap))
}

// recordNoChange records a wait without a change. The next wait is longer, as there may be no changes to report.
func (p *feedTimeout) recordNoChange() { p.emptyWaits++ }
