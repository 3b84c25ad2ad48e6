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
	number int // Of those seen so far.
	began  time.Time
	last   time.Time
}

// failed takes in a run that was placed at a time and failed as soon as it had begun.
func (o *outbreak) failed(placed, now time.Time) {
	if !o.active(now) {
		o.number++
		o.began = placed
	}
	if placed.Before(o.began) {
		o.began = placed
	}
	o.last = now
}

// active reports whether workers are about that fail everything.
func (o *outbreak) active(now time.Time) bool {
	return !o.last.IsZero() && now.Sub(o.last) <= outbreakOver
}

// proofs counts the runs on a worker that began in an outbreak, and since one last failed at once there, and have not failed at once.
// One proves little where workers fail only some of what starts: on a day with 16% of 350 workers failing a third for 5 s,
// 3 of 470 urgent gangs lost all of their attempts.
type proofs struct {
	count  int
	of     int       // The outbreak that they are of.
	failed time.Time // When a run last failed there at once.
}

// failedAtOnce takes in that a run failed at once.
func (p *proofs) failedAtOnce(now time.Time) { p.count, p.failed = 0, now }

// take takes in that a run that was placed at a time has not failed at once.
func (p *proofs) take(o *outbreak, placed time.Time) {
	if p.of != o.number {
		p.of, p.count = o.number, 0
	}
	if !placed.Before(o.began) && placed.After(p.failed) {
		p.count++
	}
}

// proofs counts those of a worker; its runs are counted once, when they are old enough or have ended well.
func (h *shard) proofs(w *workerState, now time.Time) int {
	for _, r := range w.runs {
		if !r.confirmed.IsZero() && now.Sub(r.confirmed) > provenAfter {
			h.notFailed(w, r)
		}
	}
	if w.proofs.of != h.outbreak.number {
		return 0
	}
	return w.proofs.count
}

// notFailed takes in that a run has not failed at once.
func (h *shard) notFailed(w *workerState, r *run) {
	if !r.proof {
		r.proof = true
		w.proofs.take(&h.outbreak, r.placed)
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
