package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/loss"
	"go.uber.org/zap"
)

// charge applies what losses of workers tell about tasks.
func (h *shard) charge(charges []loss.Charge) {
	for _, c := range charges {
		j := h.jobs[c.Task.Job]
		if j == nil || j.Progress.State.Final() || !j.Charge(c.Task, c.Change) {
			continue
		}
		h.touch(c.Task.Job)
		counted := j.LossesOf(c.Task)
		h.Log.Info("scheduler: losses of workers counted against a task have changed", zap.String("task", c.Task.String()), zap.Int("all", counted.All),
			zap.Int("counted", counted.Counted), zap.Int("at_once", counted.AtOnce), zap.Int("change", c.Change.Counted),
			zap.Stringer("why", c.Why), zap.Inline(c.Worker), zap.Duration("seen", c.Run.Seen), zap.Bool("adopted", c.Run.Adopted))
		h.assess(j, c.Task)
	}
}

// countStart counts a start that ended for another reason than the loss of its worker, for tasks whose starts
// count.
func (h *shard) countStart(j *liveJob, t job.Task) {
	if j.Progress.State.Final() || !loss.StartsCount(j.LossesOf(t)) || !j.Charge(t, job.Losses{All: 1}) {
		return
	}
	h.touch(t.Job)
	counted := j.LossesOf(t)
	h.Log.Info("scheduler: start counted against a task like a lost worker", zap.String("task", t.String()), zap.Int("all", counted.All), zap.Int("counted", counted.Counted))
	h.assess(j, t)
}

// assess assesses the losses of workers counted against a task, and fails its job if the task is crash-looping.
func (h *shard) assess(j *liveJob, t job.Task) loss.Verdict {
	counted := j.LossesOf(t)
	verdict := h.losses.Weigh(t, counted, time.Now())
	if verdict == loss.Guilty {
		h.failCrashLooping(j, t, counted)
	}
	return verdict
}

// failCrashLooping fails a job of which one task crashes the workers that start it. All other tasks of the job
// are stopped at once.
func (h *shard) failCrashLooping(j *liveJob, t job.Task, counted job.Losses) {
	if !j.GiveUp(t, job.CrashesWorkers, counted.Counted, time.Now().UnixMilli()) {
		return
	}
	h.Log.Warn("scheduler: job failed, as one of its tasks crashes workers; stopping its runs", zap.String("job", string(t.Job)), zap.String("task", t.String()), zap.Stringer("reason", job.CrashesWorkers),
		zap.Int("workers_lost", counted.All), zap.Int("counted", counted.Counted), zap.Int("at_once", counted.AtOnce))
	h.touch(t.Job)
	h.jobEnded(j)
}

// jobEnded handles the end of a job, whose state has become final.
func (h *shard) jobEnded(j *liveJob) {
	r, state := j.Request, j.Progress.State
	h.Log.Info("scheduler: job ended", zap.String("job", string(r.ID)), zap.Stringer("state", state), zap.String("reason", j.Progress.Failure.Text()),
		zap.Int("priority", r.Terms.Priority), zap.Duration("took", time.Since(time.UnixMilli(r.Accepted))),
		zap.Duration("goal", h.allowed(r)), zap.Float64("value", h.value(r)), zap.Int("occurrences", r.Occurrences()))
	if j.Progress.Failure != nil {
		h.Figures.Count("jobs_" + j.Progress.Failure.Reason.String())
	}
	if state != job.Completed { // Else all of its tasks have ended, a gang's members with the first.
		h.stopJob(r.ID, "the job has ended")
	}
}

// judgeLosses reassesses all tasks with losses counted against them, as a loss may have been proven since, and
// reports whether there are any.
func (h *shard) judgeLosses() (some bool) {
	for _, j := range h.jobs {
		if len(j.Progress.Losses) == 0 || j.Progress.State.Final() {
			continue
		}
		some = true
		for i := range j.Progress.Losses {
			h.assess(j, j.TaskAt(i))
		}
	}
	return some
}

// watchWorkers regularly counts the workers that run no suspect task, to estimate how often workers are lost
// without a task causing it.
func (h *shard) watchWorkers(now time.Time) {
	if !h.losses.Due(now) {
		return
	}
	n := 0
	for _, w := range h.workers {
		if !w.gone && !w.runsSuspect() {
			n++
		}
	}
	h.losses.Watch(n, now)
}

// runsSuspect reports whether the worker runs a task under which workers were lost before.
func (w *workerState) runsSuspect() bool {
	for t, r := range w.runs {
		if len(r.job.Progress.Losses) > 0 && r.job.LossesOf(t).All > 0 {
			return true
		}
	}
	return false
}

// isHeld reports whether a task must not start: an orphaned run of it is being stopped, or workers fell silent
// under it and it may have crashed them.
func (h *shard) isHeld(j *liveJob, t job.Task) bool {
	if j.strays[t] > 0 {
		return true
	}
	return len(j.Progress.Losses) > 0 && h.losses.Weigh(t, j.LossesOf(t), time.Now()) != loss.Free
}

// suspect returns the job of a run that may be about to crash the worker, or "" for none. A run that has lasted
// for long is no suspect. It would keep its worker to itself for hours, although by then more counts against it
// than against what starts beside it.
func (w *workerState) suspect() job.ID {
	for t, r := range w.runs {
		if len(r.job.Progress.Losses) == 0 || w.answeredFor(r) > loss.CountedWithin {
			continue
		}
		if lost := r.job.LossesOf(t); lost.AtOnce > 0 || lost.Counted >= loss.AloneAfter {
			return t.Job
		}
	}
	return ""
}

// begun returns the job whose run was placed last on the worker, if that was a moment ago, or "" for none.
func (w *workerState) begun(now time.Time) job.ID {
	if now.Sub(w.lastPlacedAt) > loss.AtOnceWithin {
		return ""
	}
	return w.lastPlacedJob
}

// clearImmediateLosses takes back a task's immediate losses once a run of it lasts longer than one that crashes
// its worker at once.
func (h *shard) clearImmediateLosses(w *workerState, r *run) {
	if len(r.job.Progress.Losses) == 0 || w.answeredFor(r) < loss.ClearedAfter {
		return
	}
	if n := r.job.LossesOf(r.task).AtOnce; n > 0 && r.job.Charge(r.task, job.Losses{AtOnce: -n}) {
		h.Log.Info("scheduler: task with immediate losses of workers runs well now; taking these losses back", zap.String("task", r.task.String()), zap.Int("at_once", n),
			zap.Inline(w.life), zap.Duration("seen", w.answeredFor(r)))
		h.touch(r.task.Job)
	}
}
