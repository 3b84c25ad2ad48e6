package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"go.uber.org/zap"
)

const (
	// evacuateEvery is how often the runs on a worker that leaves are looked through: about as often as their progress is told.
	evacuateEvery = 250 * time.Millisecond
	// evacuateSlack is how long before its worker leaves a run must have been stopped: an order's way there and back, and the
	// look that finds its end.
	evacuateSlack = 300 * time.Millisecond
)

// evacuate stops the runs on a worker that leaves before they end, as they would die with it: those that save their state just
// in time, so that they go on elsewhere from there, and all others at once, as they work for nothing. Their gangs go with them.
// With 46 of 350 workers leaving at 2 s notice, 15 to 30% of all work thrown away that day was that of 16 gangs that ran into
// it, and single tasks were started anew only 4.6 s after their worker had gone.
func (h *shard) evacuate(w *workerState) {
	for h.ctx.Err() == nil {
		h.mu.Lock()
		now := time.Now()
		if w.gone || !w.Draining || now.After(w.leavesAt) {
			h.mu.Unlock()
			return
		}
		for _, r := range w.runs {
			if !h.endsWithWorker(w, r, now) {
				continue
			}
			left, known := h.remaining(r, now)
			h.Log.Info("scheduler: a run's worker leaves before it ends", zap.String("task", r.task.String()), zap.Int("run", r.number),
				zap.String("worker", w.ID), zap.Duration("leaves_in", w.leavesAt.Sub(now)), zap.Duration("left", left), zap.Bool("known", known))
			h.stop(w, r, "its worker leaves")
			h.stopGang(r, "another member's worker leaves")
		}
		h.mu.Unlock()
		interval.Sleep(h.ctx, evacuateEvery)
	}
}

// endsWithWorker reports whether a run is to be stopped because its worker leaves.
func (h *shard) endsWithWorker(w *workerState, r *run, now time.Time) bool {
	step := &r.job.Request.Steps[r.task.Step]
	if r.stopping || step.Lasting {
		return false
	}
	rest := w.leavesAt.Sub(now)
	if left, _ := h.remaining(r, now); left <= rest {
		return false
	}
	return !step.Checkpoints || rest <= h.Bounds.StopTime+evacuateSlack+evacuateEvery
}
