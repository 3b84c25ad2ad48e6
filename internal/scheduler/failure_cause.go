package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"go.uber.org/zap"
)

const (
	// minFailedWorkers is the number of workers on which runs must have failed before that can be the fault of the work.
	minFailedWorkers = 3
	// failureWindow is how long a failed run counts.
	failureWindow = 16 * time.Second
)

// failureCause tells whether the failures of a job or workspace are caused by the work or by the workers. Sound work
// fails on few of the workers that it runs on, and work that fails by its own fault on all. Without the distinction, a
// task that fails after each of its starts has all workers quarantined in turn, for everybody. The zero value has no
// failures.
type failureCause struct {
	failedOn map[string]time.Time // By worker: when a run last failed there, if none has succeeded there since.
	ownFault bool                 // The work causes its failures.
}

// recordFailed records a failed run on a worker, and forgets old ones.
func (c *failureCause) recordFailed(worker string, now time.Time) {
	if c.failedOn == nil {
		c.failedOn = map[string]time.Time{}
	}
	c.failedOn[worker] = now
	for other, at := range c.failedOn {
		if now.Sub(at) > failureWindow {
			delete(c.failedOn, other)
		}
	}
}

// blamesWorker records a failed or stalled run and reports whether it counts against its worker. It does not if the job
// or its workspace causes its failures; what these have added to the scores of workers before is then withdrawn.
func (h *shard) blamesWorker(w *workerState, r *run, now time.Time) bool {
	c := &r.job.failureCause
	before := c.ownFault
	c.recordFailed(w.ID, now)
	failsWidely := len(c.failedOn) >= max(minFailedWorkers, r.job.countOthers(c))
	c.ownFault = failsWidely || r.job.crashLoops.isLooping(r.task, r.job.Request)
	if c.ownFault && !before {
		h.Log.Info("scheduler: a job fails wherever it runs; its failures no longer count against workers", zap.String("job", string(r.job.Request.ID)),
			zap.String("workspace", r.job.Request.Terms.Workspace), zap.Int("workers", len(c.failedOn)))
		h.withdrawScores(func(p *scorePart) bool { return p.job == r.job.Request.ID })
	}
	return !h.recordWorkspaceFailure(w, r.job.Request.Terms.Workspace, now) && !c.ownFault
}

// recordWorkspaceFailure records a failed run of a workspace and reports whether the workspace causes its failures. Its
// jobs may each fail on few workers, so it does if they have failed on most of the service's.
func (h *shard) recordWorkspaceFailure(w *workerState, workspace string, now time.Time) bool {
	c := h.workspaceFailures[workspace]
	if c == nil {
		c = &failureCause{}
		if h.workspaceFailures == nil {
			h.workspaceFailures = map[string]*failureCause{}
		}
		h.workspaceFailures[workspace] = c
	}
	before := c.ownFault
	c.recordFailed(w.ID, now)
	c.ownFault = len(c.failedOn) >= minFailedWorkers && len(c.failedOn) > h.countWorkers(w.Service)/2
	if c.ownFault && !before {
		h.Log.Info("scheduler: the jobs of a workspace fail wherever they run; their failures no longer count against workers", zap.String("workspace", workspace), zap.Int("workers", len(c.failedOn)))
		h.withdrawScores(func(p *scorePart) bool { return p.workspace == workspace })
	}
	return c.ownFault
}

// withdrawScores removes parts of the failure scores of all workers.
func (h *shard) withdrawScores(withdrawn func(p *scorePart) bool) {
	for _, w := range h.workers {
		kept := w.failureScore.parts[:0]
		for _, p := range w.failureScore.parts {
			if !withdrawn(&p) {
				kept = append(kept, p)
			}
		}
		w.failureScore.parts = kept
	}
	h.decisionDue = true
}

// recordSuccess records that a run has succeeded on a worker.
func (h *shard) recordSuccess(w *workerState, r *run) {
	delete(r.job.failureCause.failedOn, w.ID)
	if c := h.workspaceFailures[r.job.Request.Terms.Workspace]; c != nil {
		delete(c.failedOn, w.ID)
	}
}

// countOthers returns the number of workers on which the job runs and has not failed; one more than it has failed on if
// there are more.
func (j *trackedJob) countOthers(c *failureCause) int {
	others := map[string]bool{}
	for i := range j.Progress.Tasks {
		t := &j.Progress.Tasks[i]
		if _, failed := c.failedOn[t.Worker.Worker]; t.State == job.Placed && !failed {
			if others[t.Worker.Worker] = true; len(others) > len(c.failedOn) {
				break
			}
		}
	}
	return len(others)
}

func (h *shard) countWorkers(service string) int {
	n := 0
	for _, w := range h.workers {
		if w.Service == service {
			n++
		}
	}
	return n
}
