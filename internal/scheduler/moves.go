package scheduler

import (
	"maps"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/placement"
	"go.uber.org/zap"
)

// movedForGuarantee is the reason of stops of guaranteed work that starts again elsewhere, so that other guaranteed work
// fits.
const movedForGuarantee = "moved to make room for guaranteed work"

// recordMoves records where the runs that a decision moves are to start again.
func (h *shard) recordMoves(view *placement.View, moves []placement.Move) {
	for _, m := range moves {
		for i, r := range h.allocations.list[m.Allocation].runs {
			r.movesTo = m.Workers[i]
			h.Log.Info("scheduler: moving guaranteed work", zap.String("task", r.task.String()), zap.Int("run", r.number),
				zap.Inline(r.incarnation), zap.String("to", r.movesTo), zap.Float64("lost_work", view.Allocations[m.Allocation].LostWork))
		}
		h.Figures.Add("runs_moved", int64(len(m.Workers)))
	}
}

// reasonToStop returns why a decision stops a run.
func (r *run) reasonToStop() string {
	if r.movesTo != "" {
		return movedForGuarantee
	}
	return stoppedForUrgent
}

// moveTargets returns the indexes of the workers to which the runs of an allocation are being moved.
func (h *shard) moveTargets(x *allocation) (targets []int) {
	if !x.stopping {
		return nil
	}
	for _, r := range x.runs {
		if w := h.workers[r.movesTo]; w != nil {
			targets = append(targets, w.index)
		}
	}
	return targets
}

// reserveForMoved reserves the capacity to which a run was being moved, once it has ended, if its task waits now.
func (h *shard) reserveForMoved(r *run, now time.Time) {
	p, ok := r.job.Task(r.task)
	if r.movesTo == "" || !ok || p.State != job.Waiting || r.job.Progress.State.Final() {
		return
	}
	key := groupKey{r.task.Job, r.group()}
	reserved := h.reservations[key]
	workers := maps.Clone(reserved.workers)
	if workers == nil || reserved.withoutPreemption {
		workers = map[int]string{}
	}
	workers[r.task.Index] = r.movesTo
	h.reservations[key] = reservation{workers: workers, until: now.Add(h.Bounds.StopTime + reservationSlack)}
}
