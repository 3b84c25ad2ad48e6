package scheduler

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// endCursor records how far the ends of runs that a worker reports have been processed. The worker numbers them.
type endCursor struct {
	applied        int64 // All ends up to this number have been applied.
	acknowledged   int64 // The effects of all ends up to this number are committed.
	forgetSentUpTo int64 // The worker was told to forget all ends up to this number.
}

// forgetWindow is how long after a worker's last answer it may be told to forget ends up to a number. A later
// incarnation numbers its ends anew and must not get that number. A restart takes longer than forgetWindow.
const forgetWindow = 250 * time.Millisecond

// numberToForget returns the number up to which a worker should forget the ends that it has reported. It returns 0
// if the worker was already told, or if another incarnation of it might receive the number.
func (w *workerState) numberToForget() int64 {
	if w.forgetSentUpTo >= w.acknowledged || w.failures > 0 || !w.isCertain() || time.Since(w.polledAt) > forgetWindow {
		return 0
	}
	return w.acknowledged
}

// applyEnds applies the ends of runs that a worker reports. It includes the ends of runs that were presumed ended, and
// those in a report that was overtaken by a newer one. If such ends were skipped and acknowledged, they would be lost:
// finished tasks would run again, and failed attempts would not be counted.
func (h *shard) applyEnds(w *workerState, report *fleet.Report) {
	for i := range report.Ended {
		if e := &report.Ended[i]; e.Number > w.applied {
			h.applyEnd(w, report.Incarnation, e)
		}
	}
	w.applied = appliedUpTo(w.applied, report)
}

// applyFormerEnds applies the ends reported by an earlier incarnation of a worker. Their numbers are unrelated to
// those of the current incarnation.
func (h *shard) applyFormerEnds(w *workerState, report *fleet.Report) {
	for i := range report.Ended {
		h.applyEnd(w, report.Incarnation, &report.Ended[i])
	}
}

// appliedUpTo returns the number up to which all ends have been applied, once those of a report are applied too. before
// is that number without the report. A complete report leaves out only ends that the worker was told to forget. In a
// truncated report, the number stays below the first gap, and the ends after the gap will be applied again.
func appliedUpTo(before int64, report *fleet.Report) int64 {
	numbers := make([]int64, 0, len(report.Ended))
	for i := range report.Ended {
		numbers = append(numbers, report.Ended[i].Number)
	}
	if len(numbers) == 0 {
		return before
	}
	slices.Sort(numbers)
	if !report.More {
		return max(before, numbers[len(numbers)-1])
	}
	if before == 0 {
		before = numbers[0] - 1 // The previous lease holder told the worker to forget the earlier ends.
	}
	for _, n := range numbers {
		if n == before+1 {
			before = n
		}
	}
	return before
}

// applyEnd applies an end that an incarnation of a worker reports.
func (h *shard) applyEnd(w *workerState, l incarnation.ID, e *fleet.End) {
	h.recordReportedRun(e.Task, e.Run)
	r := w.runs[e.Task]
	found := r != nil && r.number == e.Run && r.incarnation.Matches(l)
	if found && !r.orphaned {
		h.endRun(w, r, e.Outcome, e.Saved)
		return
	}
	if found {
		h.dropRun(w, r)
	}
	line := h.untrackedEnd(w, l, e)
	line.ChangedProgress = h.applyUntrackedEnd(w, e)
	h.logUntrackedEnd(line)
}

// applyUntrackedEnd applies the end of a run that is no longer tracked and reports whether it changed anything. If it
// finishes a task, other runs of that task are stopped.
func (h *shard) applyUntrackedEnd(w *workerState, e *fleet.End) bool {
	j := h.jobs[e.Task.Job]
	if j == nil {
		return false
	}
	before := j.Progress.State
	if !j.EndRun(e.Task, e.Run, e.Outcome, e.Saved, time.Now().UnixMilli()) {
		return false
	}
	h.markDirty(e.Task.Job)
	g := job.Group{Occurrence: e.Task.Occurrence, Step: e.Task.Step}
	if e.Outcome == job.FailedRun {
		j.recordFailure(g, w.ID, true)
	}
	if e.Outcome == job.Succeeded {
		h.stopFinishedTasks(j, g)
	}
	if j.Progress.State != before && j.Progress.State.Final() {
		h.handleJobEnd(j)
	}
	return true
}

// stopFinishedTasks stops runs of a group's tasks that were finished by an earlier run.
func (h *shard) stopFinishedTasks(j *trackedJob, g job.Group) {
	for _, w := range h.workers {
		for task, r := range w.runs {
			if task.Job != j.Request.ID || r.group() != g {
				continue
			}
			if p, ok := j.Task(task); ok && p.State == job.Finished && p.Run != r.number {
				h.stop(w, r, "the task is done")
			}
		}
	}
}

// recordFailure records that a run of a group failed on a worker. If failed is false, the run never began there. The
// group's next runs are placed on other workers if possible.
func (j *trackedJob) recordFailure(g job.Group, worker string, failed bool) {
	if j.avoidWorkers[g] == nil {
		j.avoidWorkers[g] = map[string]bool{}
	}
	j.avoidWorkers[g][worker] = failed
}
