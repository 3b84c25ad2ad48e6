package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"go.uber.org/zap"
)

const (
	// leavingShare is the least share of its work after which a run's pace is told well enough: it comes in whole percent.
	leavingShare = 0.05
	// leavingSlack is how much longer than its worker stays a run must need to be given up, as a share of that need.
	leavingSlack = 0.1
)

// departure is a run on a worker that leaves, and what it comes to if it is begun anew. Times are from now.
type departure struct {
	left  time.Duration // Until the worker leaves.
	rest  time.Duration // Until the run would end there.
	anew  time.Duration // Until its job would end if it began anew now.
	goal  time.Duration // Ended by then the job earns all.
	last  time.Duration // Ended by then it earns a part.
	keeps bool          // What it has done is kept when it ends early.
}

// isLost reports whether the run surely does not end before its worker leaves, and all that it has done is lost then.
func (d *departure) isLost() bool {
	return !d.keeps && d.rest > d.left+time.Duration(leavingSlack*float64(d.rest))
}

// gains reports whether the job earns more if the run begins anew now than once the worker has left.
func (d *departure) gains() bool {
	return d.isLost() && d.earns(d.anew) > d.earns(d.anew+d.left)
}

// earns is the share of its value that a job earns which ends after a time.
func (d *departure) earns(after time.Duration) float64 {
	switch {
	case after <= d.goal:
		return 1
	case after <= d.last:
		return lateShare
	}
	return 0
}

// lookAtLeaving asks a worker that has just said that it leaves how far its runs are: what was told last is up to 1.5 s old.
func (h *shard) lookAtLeaving(w *workerState) {
	h.mu.Lock()
	look, target := &fleet.Look{Token: h.tenure.Epoch(), Acknowledged: w.acknowledged}, w.Worker
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(h.ctx, answerTimeout)
	defer cancel()
	sent := time.Now()
	report, err := h.Orders.Look(ctx, &target, look)
	if err != nil {
		return // The looks in turn find out why.
	}
	h.takeReport(w, &report, sent, look.Acknowledged)
}

// endLeaving has gangs begin anew at once that are surely lost when a worker leaves, where their job earns more so. Urgent gangs of 2.5 s
// with a goal of 1.5 times that can't lose 1.8 s more: on days on which a tenth of the workers leaves twice at such notice,
// 5% to 7% of the worth of urgent work was lost by waiting for that.
func (h *shard) endLeaving(w *workerState, now time.Time) {
	if !w.Draining || w.leavesAt.IsZero() {
		return
	}
	for _, r := range w.runs {
		x := r.held
		if x.stopping || r.job.Request.Steps[r.task.Step].Lasting {
			continue
		}
		d, known := h.departureOf(w, r, now)
		if !known || !d.gains() {
			continue
		}
		h.Figures.Count("runs_left")
		h.Log.Info("scheduler: begun anew before a worker leaves", zap.String("job", string(r.task.Job)), zap.Int("step", r.task.Step), zap.Int("run", r.number),
			zap.String("worker", w.ID), zap.Duration("left", d.left), zap.Duration("rest", d.rest), zap.Duration("anew", d.anew), zap.Duration("goal", d.goal))
		for _, m := range slices.Clone(x.runs) {
			h.stop(m.worker, m, "a worker leaves")
		}
	}
}

// departureOf is what a run on a leaving worker comes to; not known before its progress tells.
func (h *shard) departureOf(w *workerState, r *run, now time.Time) (departure, bool) {
	p := &r.progress
	worked := p.at.Sub(r.confirmed)
	if p.at.IsZero() || r.confirmed.IsZero() || r.saved != "" || p.share < leavingShare || p.share >= 1 || worked <= 0 {
		return departure{}, false
	}
	request := r.job.Request
	whole := seconds(worked.Seconds() / p.share)
	after := max(h.learned.chain(request, r.task.Step)-h.learned.task(request, r.task.Step), 0)
	due := time.UnixMilli(request.Due(r.task.Occurrence)).Sub(now)
	allowed := time.Duration(request.Terms.Stretch*float64(whole+after)) + request.Terms.Objective
	return departure{
		left: w.leavesAt.Sub(now), rest: p.at.Add(whole - worked).Sub(now), anew: h.Bounds.StopTime + restartSoon + whole + after,
		goal: due + allowed, last: due + lateFactor*allowed, keeps: request.Steps[r.task.Step].Checkpoints,
	}, true
}
