package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/loss"
	"go.uber.org/zap"
)

// applyCharges adds changes in the losses of workers counted against tasks, and assesses each of these tasks.
func (h *shard) applyCharges(charges []loss.CountChange) {
	for _, c := range charges {
		j := h.jobs[c.Task.Job]
		if j == nil || j.Progress.State.Final() || !j.AddLosses(c.Task, c.Change) {
			continue
		}
		h.markDirty(c.Task.Job)
		counted := j.LossesOf(c.Task)
		h.Log.Info("scheduler: losses of workers counted against a task have changed", zap.String("task", c.Task.String()), zap.Int("all", counted.All),
			zap.Int("counted", counted.Counted), zap.Int("at_once", counted.AtOnce), zap.Int("change", c.Change.Counted),
			zap.Stringer("why", c.Reason), zap.Inline(c.Worker), zap.Duration("seen", c.Run.SeenAfterStart), zap.Bool("adopted", c.Run.StartedByPredecessor))
		if h.assess(j, c.Task) != loss.MayStart && c.Change.Counted > 0 {
			j.pauseAfterCrash(c.Task, time.Now())
		}
	}
}

// countStart counts a start that ended for another reason than an unannounced loss of its worker. It does so only
// if loss.StartsCount reports that every further start of the task counts like a lost worker.
func (h *shard) countStart(j *trackedJob, t job.Task) {
	if j.Progress.State.Final() || !loss.StartsCount(j.LossesOf(t)) || !j.AddLosses(t, job.Losses{All: 1}) {
		return
	}
	h.markDirty(t.Job)
	counted := j.LossesOf(t)
	h.Log.Info("scheduler: start counted against a task like a lost worker", zap.String("task", t.String()), zap.Int("all", counted.All), zap.Int("counted", counted.Counted))
	h.assess(j, t)
}

// assess assesses the losses of workers counted against a task, and fails its job if the task is crash-looping.
func (h *shard) assess(j *trackedJob, t job.Task) loss.Verdict {
	counted := j.LossesOf(t)
	verdict := h.lossDetector.Verdict(t, counted, time.Now())
	if verdict == loss.CrashLooping && !j.Request.Steps[t.Step].Lasting {
		h.failCrashLooping(j, t, counted)
	}
	return verdict
}

// failCrashLooping fails a job of which one task crashes the workers that start it. All other tasks of the job
// are stopped at once.
func (h *shard) failCrashLooping(j *trackedJob, t job.Task, counted job.Losses) {
	if !j.FailJob(t, job.CrashesWorkers, counted.Counted, time.Now().UnixMilli()) {
		return
	}
	h.Log.Warn("scheduler: job failed, as one of its tasks crashes workers; stopping its runs", zap.String("job", string(t.Job)), zap.String("task", t.String()), zap.Stringer("reason", job.CrashesWorkers),
		zap.Int("workers_lost", counted.All), zap.Int("counted", counted.Counted), zap.Int("at_once", counted.AtOnce))
	h.markDirty(t.Job)
	h.handleJobEnd(j)
}

// handleJobEnd handles the end of a job, whose state has become final.
func (h *shard) handleJobEnd(j *trackedJob) {
	r, state := j.Request, j.Progress.State
	h.finishSamples(r)
	h.Log.Info("scheduler: job ended", zap.String("job", string(r.ID)), zap.Stringer("state", state), zap.String("reason", j.Progress.Failure.Message()),
		zap.Int("priority", r.Terms.Priority), zap.Duration("took", time.Since(time.UnixMilli(r.Accepted))),
		zap.Duration("goal", h.allowedTime(r)), zap.Float64("value", h.value(r)), zap.Int("occurrences", r.Occurrences()))
	if j.Progress.Failure != nil {
		h.Figures.Count("jobs_" + j.Progress.Failure.Reason.String())
	}
	if state != job.Completed { // A completed job has no runs left: a gang's members end with the first one.
		h.stopJob(r.ID, "the job has ended")
	}
}

// reassessLosses reassesses all tasks with losses counted against them, because a loss may have been proven since.
// It reports whether there are such tasks.
func (h *shard) reassessLosses() (some bool) {
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

// sampleWorkers regularly passes the number of workers that run no suspect task to the loss detector, which
// estimates how often workers are lost without a task causing it.
func (h *shard) sampleWorkers(now time.Time) {
	if !h.lossDetector.IsWatchDue(now) {
		return
	}
	n := 0
	for _, w := range h.workers {
		if !w.declaredLost && !w.runsSuspect() {
			n++
		}
	}
	h.lossDetector.Watch(n, now)
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

// isHeld reports whether a task must not start now. Either an orphaned run of it is being stopped, or it may have
// crashed the workers that fell silent while they ran it. A task that lasts is never failed, so it is not held for that.
func (h *shard) isHeld(j *trackedJob, t job.Task) bool {
	if j.orphans[t] > 0 {
		return true
	}
	return len(j.Progress.Losses) > 0 && !j.Request.Steps[t.Step].Lasting && h.lossDetector.Verdict(t, j.LossesOf(t), time.Now()) != loss.MayStart
}

// suspectJob returns the job of a run that may be about to crash the worker, or "" for none. A run that has lasted
// for longer than loss.AlwaysCountedWithin is no suspect. Otherwise nothing else would be placed on its worker for
// hours, although by then more losses are counted against its task than against tasks that start beside it.
func (w *workerState) suspectJob() job.ID {
	for t, r := range w.runs {
		if len(r.job.Progress.Losses) == 0 || w.answeredFor(r) > loss.AlwaysCountedWithin {
			continue
		}
		if lost := r.job.LossesOf(t); lost.AtOnce > 0 || lost.Counted >= loss.ExclusiveAfter {
			return t.Job
		}
	}
	return ""
}

// recentlyPlacedJob returns the job whose run was placed last on the worker, if that was a moment ago, or "" for none.
func (w *workerState) recentlyPlacedJob(now time.Time) job.ID {
	if now.Sub(w.lastPlacedAt) > loss.ImmediateWithin {
		return ""
	}
	return w.lastPlacedJob
}

// clearImmediateLosses sets a task's immediate losses to 0 once a run of it has lasted too long to have crashed
// its worker immediately.
func (h *shard) clearImmediateLosses(w *workerState, r *run) {
	if len(r.job.Progress.Losses) == 0 || w.answeredFor(r) < loss.NotImmediateAfter {
		return
	}
	if n := r.job.LossesOf(r.task).AtOnce; n > 0 && r.job.AddLosses(r.task, job.Losses{AtOnce: -n}) {
		h.Log.Info("scheduler: task with immediate losses of workers runs well now; taking these losses back", zap.String("task", r.task.String()), zap.Int("at_once", n),
			zap.Inline(w.incarnation), zap.Duration("seen", w.answeredFor(r)))
		h.markDirty(r.task.Job)
	}
}
