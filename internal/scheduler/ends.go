package scheduler

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// endCursor records how far the ends that a worker reports have been processed, by their numbers.
type endCursor struct {
	applied      int64 // All ends up to this number have been applied.
	acknowledged int64 // Number of the last end whose effect is committed.
	forgotten    int64 // Number of the last end that the worker was told to forget.
}

// forgetWindow is how long after a worker's last answer it may be told to forget ends. A restart takes longer than
// that, so a later incarnation, which numbers its ends anew, never receives the number.
const forgetWindow = 250 * time.Millisecond

// toForget returns the number up to which a worker should forget its ends, or 0 if it was already told or if another
// incarnation might receive the number.
func (w *workerState) toForget() int64 {
	if w.forgotten >= w.acknowledged || w.failures > 0 || !w.isCertain() || time.Since(w.polledAt) > forgetWindow {
		return 0
	}
	return w.acknowledged
}

// applyEnds applies the ends that a worker reports, including those of runs that were presumed ended and those in a
// report that was overtaken by a newer one. A task that is done, or a failed attempt, counts no matter when it is
// reported. If such ends were skipped and acknowledged, they would be lost and the task would run again.
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

// appliedUpTo returns the number up to which all ends have been applied after those of a report were. A complete list
// leaves out only the ends that the worker was told to forget. In a truncated list, ends after a gap are not counted
// and will be applied again.
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
		before = numbers[0] - 1 // A predecessor told it to forget the earlier ones.
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
	line.Counts = h.applyUntrackedEnd(w, e)
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

// recordFailure records that a run of a group failed on a worker, or certainly never began there if failed is false.
// Other workers are tried first.
func (j *trackedJob) recordFailure(g job.Group, worker string, failed bool) {
	if j.avoidWorkers[g] == nil {
		j.avoidWorkers[g] = map[string]bool{}
	}
	j.avoidWorkers[g][worker] = failed
}
