package loss

import (
	"math"
	"time"
)

const (
	// backgroundDecayTime is the time constant with which past losses are forgotten, so that a bad day
	// counts little the day after.
	backgroundDecayTime = 24 * time.Hour
	// priorTimePerLoss is the worker time in which one loss is expected while no losses are known. A
	// shorter time excuses tasks that crash their workers after minutes on a site of two workers. A longer
	// time takes longer to stop blaming sound tasks where workers crash all the time.
	priorTimePerLoss = 15 * time.Minute
	// watchInterval is the interval at which workers are counted. Counting reads all runs, which is too
	// much work for each decision.
	watchInterval = time.Second
	// maxWatchedInterval limits the time that counts between two counts of workers, since the number of
	// workers in a longer gap is unknown.
	maxWatchedInterval = 10 * time.Second
)

// Background estimates how likely a worker is lost for a reason other than its tasks. It records losses and
// observed worker time of workers that run no suspect task. The zero value is ready to use.
type Background struct {
	Lost      float64   // Number of workers that were lost alone.
	Watched   float64   // Observed worker time, in seconds over all workers.
	lastWatch time.Time // Time of the last call of Watch.
}

// decay reduces the weight of past losses by the time that has passed.
func (b *Background) decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / backgroundDecayTime.Seconds())
	b.Lost *= factor
	b.Watched *= factor
}

// Due reports whether Watch must be called again.
func (b *Background) Due(now time.Time) bool { return now.Sub(b.lastWatch) >= watchInterval }

// Watch records how many live workers run no suspect task. Call it when Due reports true.
func (b *Background) Watch(workers int, now time.Time) {
	if !b.lastWatch.IsZero() {
		elapsed := now.Sub(b.lastWatch)
		b.decay(elapsed)
		b.Watched += float64(workers) * min(elapsed, maxWatchedInterval).Seconds()
	}
	b.lastWatch = now
}

// ExpectedLosses returns how many workers are expected to be lost for other reasons than their tasks, out of one
// worker observed for the given time. If the task in question has lost a worker before, that loss may be
// among the recorded ones, so one loss is left out.
func (b *Background) ExpectedLosses(watched time.Duration, lostBefore bool) float64 {
	lost := b.Lost
	if lostBefore {
		lost = max(0, lost-1)
	}
	return watched.Seconds() * (lost + 1) / (b.Watched + priorTimePerLoss.Seconds())
}

// expectedLosses returns how many workers are expected to be lost for other reasons than tasks during a run
// that was lost with its worker; 0 if the run was young.
func (e *lossEvent) expectedLosses(r *Run) float64 {
	if r.SeenAfterStart <= AlwaysCountedWithin {
		return 0
	}
	return e.backgroundBefore.ExpectedLosses(r.SeenAfterStart, r.LossesBefore.All > 0)
}

// Due reports whether Watch must be called again.
func (d *Detector) Due(now time.Time) bool { return d.background.Due(now) }

// Watch records how many live workers run no suspect task. Call it when Due reports true.
func (d *Detector) Watch(workers int, now time.Time) { d.background.Watch(workers, now) }

// Background returns the estimate of losses for other reasons than tasks, including the losses that are
// still kept.
func (d *Detector) Background() Background {
	b := d.background
	b.Lost += float64(d.keptBackgroundLosses)
	return b
}

// isBackgroundLoss reports whether a worker was lost alone and ran no suspect task.
func (e *lossEvent) isBackgroundLoss() bool {
	return !e.stillRuns && !e.hasSuspect && e.othersLost < minOthersLost && !e.hall.isGroupLost() && !e.rack.isGroupLost()
}

// updateBackground updates the number of background losses after a loss has changed.
func (d *Detector) updateBackground(e *lossEvent) {
	isNow := e.isBackgroundLoss()
	switch {
	case isNow && !e.background:
		d.keptBackgroundLosses++
	case !isNow && e.background:
		d.keptBackgroundLosses--
	}
	e.background = isNow
}
