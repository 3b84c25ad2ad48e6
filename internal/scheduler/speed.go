package scheduler

import (
	"math"
	"time"
)

// This file holds the older estimate of workers' speeds, slowness. It is learned only from ended single tasks that are
// compared with the mean of their step, and placement uses it to avoid far slower workers (Worker.Slowness). The newer
// estimate, workerSpeed in speeds.go, says by how much a worker differs from a usual one and how certain that is.
// Placement uses that one (Worker.TimeFactor) only where the differences are material.

const (
	// speedWeight is the weight of the newest run in slowness.
	speedWeight = 0.2
	// minSpeedSamples is how many tasks of a step must have ended before further runs are compared with their mean for
	// slowness.
	minSpeedSamples = 3
)

// stepTimes holds the run times of the tasks of a step that have ended.
type stepTimes struct {
	count  int     // Number of ended tasks.
	logSum float64 // Sum of the natural logarithms of their run times in seconds.
}

// runSlowdown returns the largest slowdown of a run on a worker, as a factor of at least 1. The slowdown is the run's
// time so far divided by the mean run time of its step. For a task that is not in a gang, it is its best rate divided
// by its current rate if that is larger. It shows that a worker is slow or stalled before any run ends there.
func (h *shard) runSlowdown(w *workerState, now time.Time) float64 {
	most := 1.0
	for _, r := range w.runs {
		if !r.job.Request.Steps[r.task.Step].Gang {
			most = max(most, r.progress.slowdown())
		}
		t := h.stepTimes[r.stepKey()]
		if t == nil || t.count < minSpeedSamples || r.saved != "" || r.confirmed.IsZero() {
			continue
		}
		most = max(most, now.Sub(r.placed).Seconds()/math.Exp(t.logSum/float64(t.count)))
	}
	return most
}

// stepKey returns the key of a run's step. It is the same for all occurrences.
func (r *run) stepKey() groupKey { return stepOf(r.task.Job, r.task.Step) }

// slowness holds how many times longer work takes on a worker than on others, by the older estimate. The zero value is
// a worker of normal speed.
type slowness struct {
	logFactor float64 // Natural logarithm of the factor.
}

func (s slowness) factor() float64 { return math.Exp(s.logFactor) }

// learnSlowness updates a worker's slowness by comparing a successful run with the other tasks of its step, which do
// similar work. addSample does this for workerSpeed.
func (h *shard) learnSlowness(w *workerState, r *run, took time.Duration) {
	step := &r.job.Request.Steps[r.task.Step]
	if step.Gang || r.saved != "" || r.adopted || took <= 0 {
		return
	}
	t := h.stepTimes[r.stepKey()]
	if t == nil {
		t = &stepTimes{}
		h.stepTimes[r.stepKey()] = t
	}
	log := math.Log(took.Seconds())
	if t.count >= minSpeedSamples {
		w.slow.logFactor += speedWeight * (log - t.logSum/float64(t.count) - w.slow.logFactor)
	}
	t.count++
	t.logSum += log
}
