package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

const (
	// failureBurstDuration is how long after the last immediate failure a failure burst lasts: as long as a
	// worker that fails everything is quarantined.
	failureBurstDuration = 8 * time.Second
	// healthyAfter is the age from which a running run has not failed immediately. The poll of its worker,
	// which waits for ends, would have reported a failure by then.
	healthyAfter = immediateFailureMax + 100*time.Millisecond
)

// failureBurst is a failure burst: a time in which unknown workers fail everything that they start. On a day with
// 9% of 1,100 workers failing everything for 6 s, gangs of 20 to 70 members used up their two or three attempts
// within a second, each on other workers not known yet. 15 of 1,000 jobs failed that way, which were all that
// were not served. A single immediate failure begins a burst, as tasks that cause their own failures fail after
// some work. The zero value is none.
type failureBurst struct {
	began time.Time
	last  time.Time
}

// failed records a run that was placed at the given time and failed as soon as it had begun.
func (o *failureBurst) failed(placed, now time.Time) {
	if !o.active(now) || placed.Before(o.began) {
		o.began = placed
	}
	o.last = now
}

// active reports whether the burst lasts.
func (o *failureBurst) active(now time.Time) bool {
	return !o.last.IsZero() && now.Sub(o.last) <= failureBurstDuration
}

// isHealthySince reports whether the worker has a run that did not fail immediately, placed since the given time and
// since its last immediate failure.
func (w *workerState) isHealthySince(since, now time.Time) bool {
	if w.healthySince.Before(since) {
		for _, r := range w.runs {
			if !r.confirmed.IsZero() && now.Sub(r.confirmed) > healthyAfter {
				w.recordHealthyRun(r)
			}
		}
	}
	return !w.healthySince.Before(since) && !w.healthySince.Before(w.immediateFailureAt)
}

// recordHealthyRun records that a run has not failed immediately.
func (c *workerHealth) recordHealthyRun(r *run) {
	if r.placed.After(c.healthySince) && r.placed.After(c.immediateFailureAt) {
		c.healthySince = r.placed
	}
}

// isLastAttempt reports whether a task that has failed before has one attempt left. Such a task is not tried on
// workers that may fail everything until it has waited long. The failures of a gang are counted at its first
// task.
func (j *trackedJob) isLastAttempt(g job.Group, t *job.TaskProgress) bool {
	step := &j.Request.Steps[g.Step]
	if step.Gang {
		t = &j.Tasks(g)[0]
	}
	return t.Failures > 0 && t.Failures+1 >= j.Request.Terms.Attempts && !step.Lasting
}
