package scheduler

import (
	"math"
	"time"
)

const (
	// speedWeight is the weight of the newest run in what is known of a worker's speed.
	speedWeight = 0.2
	// speedSamples is how many tasks of a step must have ended before one is compared with them.
	speedSamples = 3
)

// stepTimes is how long the tasks of a step took so far.
type stepTimes struct {
	count int
	sum   float64 // Of the logarithms of seconds.
}

// overdue is how many times longer than the other tasks of their step took the runs on a worker have been under way, so
// that a worker that turns slow or stands still is known before anything ends there.
func (h *shard) overdue(w *workerState, now time.Time) float64 {
	most := 1.0
	for _, r := range w.runs {
		if !r.job.Request.Steps[r.task.Step].Gang {
			most = max(most, r.progress.slowed())
		}
		t := h.stepTimes[r.stepKey()]
		if t == nil || t.count < speedSamples || r.saved != "" || r.confirmed.IsZero() {
			continue
		}
		most = max(most, now.Sub(r.placed).Seconds()/math.Exp(t.sum/float64(t.count)))
	}
	return most
}

// stepKey names a run's step, over all occurrences.
func (r *run) stepKey() claimKey { return stepOf(r.task.Job, r.task.Step) }

// slowness is how many times longer than elsewhere work takes on a worker; the zero value is a sound one.
type slowness struct {
	log float64
}

func (s slowness) factor() float64 { return math.Exp(s.log) }

// learnSpeed compares a run that ended well with the other tasks of its step, which are alike.
func (h *shard) learnSpeed(w *workerState, r *run, took time.Duration) {
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
	if t.count >= speedSamples {
		w.slow.log += speedWeight * (log - t.sum/float64(t.count) - w.slow.log)
	}
	t.count++
	t.sum += log
}
