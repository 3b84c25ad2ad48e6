package loss

import (
	"math"
	"time"
)

const (
	// backgroundKept is for about how long losses are remembered: a bad day is forgotten the day after.
	backgroundKept = 24 * time.Hour
	// backgroundPrior is the worker time in which one worker is expected to be lost where nothing is known yet. A shorter one excuses tasks that crash their
	// workers after minutes on a site of two workers, a longer one blames sound work for longer where workers crash all the time.
	backgroundPrior = 15 * time.Minute
	// watchEvery is how often workers are counted: looking through all runs for it is no work for each decision.
	watchEvery = time.Second
	// watchedMost bounds the time between two counts of workers: no more is known of those between.
	watchedMost = 10 * time.Second
)

// Background is how many workers were lost that ran no suspect task, of how many that were watched, so that it tells how likely any worker is lost without
// a task's doing. The zero value knows nothing.
type Background struct {
	Lost      float64 // Workers lost alone.
	Watched   float64 // Seconds, over all workers.
	watchedAt time.Time
}

// age forgets what is long ago.
func (b *Background) age(by time.Duration) {
	kept := math.Exp(-by.Seconds() / backgroundKept.Seconds())
	b.Lost *= kept
	b.Watched *= kept
}

// Due reports whether workers are to be counted again.
func (b *Background) Due(now time.Time) bool { return now.Sub(b.watchedAt) >= watchEvery }

// Watch takes in how many workers live that run no suspect task. It is to be called when Due says so.
func (b *Background) Watch(workers int, now time.Time) {
	if !b.watchedAt.IsZero() {
		by := now.Sub(b.watchedAt)
		b.age(by)
		b.Watched += float64(workers) * min(by, watchedMost).Seconds()
	}
	b.watchedAt = now
}

// Expected is how many workers are lost, by their own doing, in a time for which one was watched. Where the task in question has lost a worker before, that may be one
// of those that were counted.
func (b *Background) Expected(watched time.Duration, lostBefore bool) float64 {
	lost := b.Lost
	if lostBefore {
		lost = max(0, lost-1)
	}
	return watched.Seconds() * (lost + 1) / (b.Watched + backgroundPrior.Seconds())
}

// chance is how many workers are lost by themselves in the time of a run that was lost with a worker; none in that of a young one.
func (e *event) chance(r *Run) float64 {
	if r.Seen <= CountedWithin {
		return 0
	}
	return e.before.Expected(r.Seen, r.Before.All > 0)
}

// Due reports whether workers are to be counted again.
func (j *Judge) Due(now time.Time) bool { return j.background.Due(now) }

// Watch takes in how many workers live that run no suspect task. It is to be called when Due says so.
func (j *Judge) Watch(workers int, now time.Time) { j.background.Watch(workers, now) }

// Background is how often workers are lost without a task's doing, as far as is known.
func (j *Judge) Background() Background {
	b := j.background
	b.Lost += float64(j.lostAlone)
	return b
}

// isBackground reports whether a worker was lost for no suspect task's doing, alone.
func (e *event) isBackground() bool {
	return !e.refuted && !e.suspect && e.others < othersLost && !e.hall.lostAsOne() && !e.rack.lostAsOne()
}

// settle notes whether a loss is one of the background.
func (j *Judge) settle(e *event) {
	is := e.isBackground()
	switch {
	case is && !e.background:
		j.lostAlone++
	case !is && e.background:
		j.lostAlone--
	}
	e.background = is
}
