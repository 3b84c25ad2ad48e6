package loss

import (
	"math"
	"time"
)

const (
	// backgroundDecayTime is the time constant with which past losses are forgotten, so that a bad day
	// counts little the day after.
	backgroundDecayTime = 24 * time.Hour
	// priorTimePerLoss is the worker time in which one loss is expected before any loss is recorded. A
	// shorter time would excuse tasks that crash their workers after minutes on a site of two workers. With
	// a longer time, sound tasks would be blamed for longer where workers crash all the time.
	priorTimePerLoss = 15 * time.Minute
	// watchInterval is the minimum interval between two calls of Watch. The caller reads all runs to count the
	// workers for it, which is too much work for each decision.
	watchInterval = time.Second
	// maxWatchedInterval is the longest time between two calls of Watch that is added to the observed worker
	// time. The number of workers in a longer gap is unknown.
	maxWatchedInterval = 10 * time.Second
)

// Background estimates how likely a worker is to be lost without a fault of its tasks. It records the number of
// losses and the observed time of workers that run no suspect task. The zero value is ready to use.
type Background struct {
	Lost      float64   // Number of workers that were lost alone, decayed over time.
	Watched   float64   // Observed time of all workers, in seconds, decayed over time.
	lastWatch time.Time // Time of the last call of Watch.
}

// decay reduces the recorded losses and worker time by the share that is forgotten within elapsed.
func (b *Background) decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / backgroundDecayTime.Seconds())
	b.Lost *= factor
	b.Watched *= factor
}

// Due reports whether watchInterval has passed since the last call of Watch, so that Watch must be called
// again.
func (b *Background) Due(now time.Time) bool { return now.Sub(b.lastWatch) >= watchInterval }

// Watch records that the given number of live workers run no suspect task at present. Call it whenever Due
// reports true.
func (b *Background) Watch(workers int, now time.Time) {
	if !b.lastWatch.IsZero() {
		elapsed := now.Sub(b.lastWatch)
		b.decay(elapsed)
		b.Watched += float64(workers) * min(elapsed, maxWatchedInterval).Seconds()
	}
	b.lastWatch = now
}

// ExpectedLosses returns how many losses that no task caused are expected for one worker in the given time. If
// the task in question has lost a worker before, that loss may be among the recorded ones. One recorded loss is
// then left out.
func (b *Background) ExpectedLosses(watched time.Duration, lostBefore bool) float64 {
	lost := b.Lost
	if lostBefore {
		lost = max(0, lost-1)
	}
	return watched.Seconds() * (lost + 1) / (b.Watched + priorTimePerLoss.Seconds())
}

// expectedLosses returns how many losses that no task caused were expected for one worker, at the time of this
// loss, while the given run lasted. It returns 0 for a run so young that its loss always counts.
func (e *lossEvent) expectedLosses(r *Run) float64 {
	if r.SeenAfterStart <= AlwaysCountedWithin {
		return 0
	}
	return e.backgroundBefore.ExpectedLosses(r.SeenAfterStart, r.LossesBefore.All > 0)
}

// IsWatchDue reports whether Watch must be called again, as Background.Due does.
func (d *Detector) IsWatchDue(now time.Time) bool { return d.background.Due(now) }

// Watch records that the given number of live workers run no suspect task at present. Call it whenever Due
// reports true.
func (d *Detector) Watch(workers int, now time.Time) { d.background.Watch(workers, now) }

// Background returns the estimate of losses that no task caused. It includes the recent losses, whose cause may
// still turn out to be another.
func (d *Detector) Background() Background {
	b := d.background
	b.Lost += float64(d.keptBackgroundLosses)
	return b
}

// isBackgroundLoss reports whether a worker was lost alone and ran no suspect task.
func (e *lossEvent) isBackgroundLoss() bool {
	return !e.stillRuns && !e.hasSuspect && e.othersLost < minOthersLost && !e.hallLoss.isGroupLost() && !e.rackLoss.isGroupLost()
}

// updateBackground adds a loss to the number of background losses, or removes it, after it was counted again.
func (d *Detector) updateBackground(e *lossEvent) {
	isNow := e.isBackgroundLoss()
	switch {
	case isNow && !e.isCountedAsBackground:
		d.keptBackgroundLosses++
	case !isNow && e.isCountedAsBackground:
		d.keptBackgroundLosses--
	}
	e.isCountedAsBackground = isNow
}
