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
)

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

// learn takes in how a run ended, for the worker's trust and for the queue's run times.
func (h *shard) learn(w *workerState, r *run, outcome job.Outcome) {
	now := time.Now()
	switch outcome {
	case job.Succeeded:
		w.doubt = doubt{}
		if r.saved == "" && !r.adopted {
			if !r.learned && !r.far {
				h.learned.ran(r.job.Request, r.task.Step, now.Sub(r.placed))
			}
			h.learnSpeed(w, r, now.Sub(r.placed))
		}
	case job.FailedRun:
		// A task that failed elsewhere too is more likely to blame than the worker.
		weight := 1.0
		if len(r.job.avoid[r.group()]) > 0 {
			weight = 0.3
		}
		w.doubt.add(weight, now)
	}
}
