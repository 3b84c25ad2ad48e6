package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

const (
	// failureHalfLife is the time in which a worker's failure score halves.
	failureHalfLife = 4 * time.Second
	// quarantineScore is the failure score from which a worker is quarantined and gets no new runs: more than one
	// failure in a half-life.
	quarantineScore = 1.5
	// repeatedFailureWeight is added to a worker's score by the failure of a task that has failed elsewhere
	// before. A task's first failure adds 1.
	repeatedFailureWeight = 0.3
	// immediateFailureWeight is added to a worker's score by a run that fails as soon as it has begun. It
	// quarantines the worker for 8 s. Tasks that cause their own failures fail after some work. On a day with 350
	// workers, 29 of which failed everything for 5.5 s, 171 of 324 failures came within 0.1 s of the placement, up
	// to 15 on one worker.
	immediateFailureWeight = 6
	// immediateFailureShare and immediateFailureMax define an immediate failure: one within this share of the
	// task's expected run time, and at most this long after its start.
	immediateFailureShare = 0.1
	immediateFailureMax   = 200 * time.Millisecond
)

// workerHealth is what the runs on a worker show of its health. The zero value is a healthy worker.
type workerHealth struct {
	failureScore       failureScore
	slow               slowness
	healthySince       time.Time // Placement of the newest run that has not failed immediately.
	immediateFailureAt time.Time // When a run last failed as soon as it had begun.
	unhealthyUntil     time.Time // No new runs are placed until then.
	stalled            bool      // A task on it had made no progress when it reported last.
	shownSlowAt        time.Time // When a gang member on it was last far slower than the others of its gang.
	// How many times longer than elsewhere its runs took when it reported last.
	overdue float64
}

// failureScore is a score of a worker's recent failures that decays over time. The part of each job is kept apart, so
// that it can be withdrawn. The zero value has none.
type failureScore struct {
	parts []scorePart
}

// scorePart is what the runs of one job add to a worker's failure score.
type scorePart struct {
	job       job.ID
	workspace string
	value     float64
	at        time.Time
}

func (p *scorePart) level(now time.Time) float64 {
	v := p.value * math.Exp2(-float64(now.Sub(p.at))/float64(failureHalfLife))
	if v < 0.05 {
		return 0
	}
	return v
}

func (s *failureScore) level(now time.Time) float64 {
	sum := 0.0
	for i := range s.parts {
		sum += s.parts[i].level(now)
	}
	return sum
}

func (s *failureScore) quarantined(now time.Time) bool { return s.level(now) >= quarantineScore }

// add adds the weight of a failed run of a job.
func (s *failureScore) add(r *job.Request, weight float64, now time.Time) {
	s.parts = slices.DeleteFunc(s.parts, func(p scorePart) bool { return p.level(now) == 0 })
	for i := range s.parts {
		if p := &s.parts[i]; p.job == r.ID {
			p.value, p.at = p.level(now)+weight, now
			return
		}
	}
	s.parts = append(s.parts, scorePart{r.ID, r.Terms.Workspace, weight, now})
}

// recordOutcome applies the outcome of a run to the worker's failure score and to the queue's run time estimates.
// A success clears the score, but after an immediate failure only if the run was placed later. When any success
// cleared it, a worker that failed all new runs left quarantine whenever one of seven older tasks succeeded: 11 of
// 24 tasks failed there instead of one (script outbreak_old_work). After other failures any success clears the
// score, because the task may have been the cause of the failure, and a worker with a score is the last choice for
// new runs.
func (h *shard) recordOutcome(w *workerState, r *run, outcome job.Outcome) {
	now := time.Now()
	switch outcome {
	case job.Succeeded:
		if r.placed.After(w.immediateFailureAt) {
			w.failureScore = failureScore{}
		}
		w.recordHealthyRun(r)
		if r.saved == "" && !r.adopted && !r.lasts() {
			if !r.usedForEstimate && !r.remote {
				h.estimates.addRun(r.job.Request, r.task.Step, scale(now.Sub(r.placed), 1/r.endFactor()))
			}
			h.learnSlowness(w, r, now.Sub(r.placed))
		}
		h.recordSuccess(w, r)
	case job.FailedRun:
		if h.blamesWorker(w, r, now) {
			w.failureScore.add(r.job.Request, h.failureWeight(w, r, now), now)
		}
	}
}

// failureWeight returns how much a failed run adds to its worker's failure score.
func (h *shard) failureWeight(w *workerState, r *run, now time.Time) float64 {
	begun := r.placed
	if !r.confirmed.IsZero() {
		begun = r.confirmed
	}
	atOnce := min(immediateFailureMax, time.Duration(immediateFailureShare*float64(h.estimates.taskTime(r.job.Request, r.task.Step))))
	switch {
	case now.Sub(begun) < atOnce:
		h.failureBurst.failed(r.placed, now)
		w.immediateFailureAt = now
		return immediateFailureWeight
	case r.lasts():
		return 0 // Tasks that last may fail at any moment.
	case len(r.job.avoidWorkers[r.group()]) > 0:
		return repeatedFailureWeight // Failing elsewhere too, the task is the more likely cause.
	}
	return 1
}
