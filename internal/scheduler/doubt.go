package scheduler

import (
	"math"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

const (
	// doubtHalfLife is how fast a worker's failures are forgiven.
	doubtHalfLife = 4 * time.Second
	// barredAt is the level from which a worker gets no new runs: more than one failure in a half-life.
	barredAt = 1.5
	// againWeight is what the failure of a task counts for that failed elsewhere before, against 1 for a first one.
	againWeight = 0.3
	// atOnceWeight is what a run counts for that failed as soon as it had begun: its worker is barred for 8 s. Tasks that are
	// themselves to blame fail after some work: on a day with 350 workers of which 29 failed everything for 5.5 s, 171 of 324
	// failures came within 0.1 s of the placement, up to 15 on one worker.
	atOnceWeight = 6
	// atOnceShare and atOnceMost say what "as soon as" is: a share of the time that the task should take, and a bound.
	atOnceShare = 0.1
	atOnceMost  = 200 * time.Millisecond
)

// conduct is what the runs on a worker show of it; the zero value is a sound worker.
type conduct struct {
	doubt      doubt
	slow       slowness
	soundSince time.Time // When the newest run began there that has not failed at once.
	failedAt   time.Time // When a run last failed there as soon as it had begun.
	unhealthy  time.Time // Takes no new runs until then.
	stalled    bool      // A task on it stood still at its last report.
	laggedAt   time.Time // When a gang's member last showed it to be slow.
	overdue    float64   // How many times longer than others its runs took at its last report.
}

// doubt counts a worker's recent failures; the zero value trusts it.
type doubt struct {
	value float64
	at    time.Time
}

func (d *doubt) level(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	v := d.value * math.Exp2(-float64(now.Sub(d.at))/float64(doubtHalfLife))
	if v < 0.05 {
		return 0
	}
	return v
}

func (d *doubt) barred(now time.Time) bool { return d.level(now) >= barredAt }

func (d *doubt) add(weight float64, now time.Time) {
	d.value, d.at = d.level(now)+weight, now
}

// learn takes in how a run ended, for the worker's trust and for the queue's run times. The success of work that is older than a
// failure at once tells nothing of what starts now: with any success clearing the doubt, a worker that failed all that started, while seven
// older tasks ended well there, was unbarred each time, and 11 of 24 tasks failed there instead of one (script outbreak_old_work). After
// other failures any success clears it: a task may be to blame itself, and a worker in doubt is used last.
func (h *shard) learn(w *workerState, r *run, outcome job.Outcome) {
	now := time.Now()
	switch outcome {
	case job.Succeeded:
		if r.placed.After(w.failedAt) {
			w.doubt = doubt{}
		}
		w.notFailed(r)
		if r.saved == "" && !r.adopted {
			if !r.learned && !r.far {
				h.learned.ran(r.job.Request, r.task.Step, now.Sub(r.placed))
			}
			h.learnSpeed(w, r, now.Sub(r.placed))
		}
	case job.FailedRun:
		w.doubt.add(h.blame(w, r, now), now)
	}
}

// blame is what a failed run counts for against its worker.
func (h *shard) blame(w *workerState, r *run, now time.Time) float64 {
	begun := r.placed
	if !r.confirmed.IsZero() {
		begun = r.confirmed
	}
	atOnce := min(atOnceMost, time.Duration(atOnceShare*float64(h.learned.task(r.job.Request, r.task.Step))))
	switch {
	case now.Sub(begun) < atOnce:
		h.outbreak.failed(r.placed, now)
		w.failedAt = now
		return atOnceWeight
	case len(r.job.avoid[r.group()]) > 0:
		return againWeight // A task that failed elsewhere too is more likely to blame than the worker.
	}
	return 1
}
