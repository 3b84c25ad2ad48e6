package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

const (
	// outbreakOver is how long after the last run that failed as soon as it had begun workers that fail everything are taken to
	// be about: as long as such a worker is barred.
	outbreakOver = 8 * time.Second
	// provenAfter is the age of a run that has not failed at once: its worker would have told of the end by then, as a look there
	// waits for one.
	provenAfter = atOnceMost + 100*time.Millisecond
)

// outbreak is a time in which workers fail everything that they start, and nobody knows which. On a day with 9% of 1,100
// workers failing all for 6 s, gangs of 20 to 70 members used up their two or three attempts within a second, each on other
// workers that were not known yet: 15 of 1,000 jobs failed so, all that were not served. A single such run
// begins one: tasks that are themselves to blame fail after some work. The zero value is none.
type outbreak struct {
	began time.Time
	last  time.Time
}

// failed takes in a run that was placed at a time and failed as soon as it had begun.
func (o *outbreak) failed(placed, now time.Time) {
	if !o.active(now) || placed.Before(o.began) {
		o.began = placed
	}
	o.last = now
}

// active reports whether workers are about that fail everything.
func (o *outbreak) active(now time.Time) bool {
	return !o.last.IsZero() && now.Sub(o.last) <= outbreakOver
}

// proven reports whether a run that began on a worker since a time, and since one last failed at once there, has not failed at once.
func (w *workerState) proven(since, now time.Time) bool {
	if w.soundSince.Before(since) {
		for _, r := range w.runs {
			if !r.confirmed.IsZero() && now.Sub(r.confirmed) > provenAfter {
				w.notFailed(r)
			}
		}
	}
	return !w.soundSince.Before(since) && !w.soundSince.Before(w.failedAt)
}

// notFailed takes in that a run has not failed at once.
func (c *conduct) notFailed(r *run) {
	if r.placed.After(c.soundSince) && r.placed.After(c.failedAt) {
		c.soundSince = r.placed
	}
}

// isLastAttempt reports whether a task that has failed before has one attempt left: it is not tried on workers that may fail
// everything until it has waited long. The failures of a gang count at its first task.
func (j *liveJob) isLastAttempt(g job.Group, t *job.TaskProgress) bool {
	step := &j.Request.Steps[g.Step]
	if step.Gang {
		t = &j.Tasks(g)[0]
	}
	return t.Failures > 0 && t.Failures+1 >= j.Request.Terms.Attempts && !step.Lasting
}
