package scheduler

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/interval"
	"go.uber.org/zap"
)

const (
	// shareResolution is the resolution in which workers report the share of its work that a run has done.
	shareResolution = 0.01
	// gangStartTime is the time in which all members of a gang have begun to work. A run that still reports a
	// share of 0 after it is waiting for another member, so its speed is unknown.
	gangStartTime = 500 * time.Millisecond
	// leavingSlack is a share of the time that a run still needs. The run is stopped early only if it needs longer
	// than its worker stays by more than this share.
	leavingSlack = 0.05
	// stopMargin is added to the maximum stop time when a run is stopped before its worker leaves. It covers the
	// stop command and the poll that reports the end of the run.
	stopMargin = 200 * time.Millisecond
	// finalStopTime is how long before a worker may be gone all of its runs are stopped.
	finalStopTime = 150 * time.Millisecond
)

// departure is the progress of a run on a leaving worker, and the time left until the worker leaves.
type departure struct {
	worked       time.Duration // How long the run had worked at its last report of a share.
	workDone     float64       // The share of its work that it had done by that report, rounded down.
	sinceReport  time.Duration // Time since the run's last report of a share.
	untilLeaving time.Duration // Time until the worker leaves.
	checkpoints  bool          // It checkpoints, so that its progress is kept if it ends early.
}

// isWorkLost reports whether the run can't end before its worker leaves, so that all of its progress is lost
// then.
func (d *departure) isWorkLost() bool {
	if d.checkpoints || d.worked <= 0 || d.workDone >= 1 || d.workDone < shareResolution && d.worked > gangStartTime {
		return false
	}
	whole := seconds(d.worked.Seconds() / (d.workDone + shareResolution)) // Lower bound: the share is rounded down.
	rest := whole - d.worked - d.sinceReport
	return rest > d.untilLeaving+time.Duration(leavingSlack*float64(rest))
}

// restartLostWork stops the runs whose work is sure to be lost when their worker leaves, so that their tasks
// restart elsewhere at once. Less work is lost, and urgent gangs that run for 2.5 s and must end within 3.75 s may
// still be in time. On days on which a tenth of the workers left twice with 1.8 s notice, waiting until they had
// left lost 5% to 7% of the value of urgent work.
func (h *shard) restartLostWork(w *workerState, now time.Time) {
	if !w.Draining || w.leavesAt.IsZero() {
		return
	}
	for _, r := range w.runs {
		d := h.departureOf(w, r, now)
		if r.allocation.stopping || !d.isWorkLost() {
			continue
		}
		h.Figures.Count("runs_left")
		h.Log.Info("scheduler: stopping a run that can't end before its worker leaves; its task restarts elsewhere", zap.String("job", string(r.task.Job)), zap.Int("step", r.task.Step),
			zap.Int("run", r.number), zap.Inline(w.incarnation), zap.Duration("left", d.untilLeaving), zap.Duration("worked", d.worked), zap.Float64("share", d.workDone))
		for _, m := range r.allocation.runs {
			h.stop(m.worker, m, "a worker leaves")
		}
	}
}

// recordDeparture applies what a worker's record, written after asOf, tells of its departure. Each rewritten
// record gives the time left when it was written, and the latest end by any of them is used. An earlier end may be
// wrong, because a successor doesn't know the age of the first record that it reads.
func (h *shard) recordDeparture(w *workerState, record *fleet.Worker, asOf time.Time) {
	if !record.Draining {
		w.leavesAt, w.staysUntil = time.Time{}, time.Time{}
		return
	}
	written := h.recentCommits.writtenAfter(record.Version)
	// A record that is read again without a change was not written after asOf.
	if isNews := !w.Draining || record.TimeLeft != w.TimeLeft; isNews && asOf.After(written) {
		written = asOf
	}
	if stays := written.Add(record.TimeLeft); !w.Draining || stays.After(w.staysUntil) {
		w.staysUntil = stays
	}
	if w.leavesAt.IsZero() {
		w.leavesAt = time.Now().Add(record.TimeLeft)
		announced := w.leavesAt
		h.background.Go(func() { h.drainLeaving(w, announced) })
	}
}

// drainLeaving stops the runs on a leaving worker before it may be gone. A run that ends in the last moments of
// its process can't report its end, and its task then waits until the worker's leases have expired. Runs that
// won't end in time are stopped as late as their stops surely still take effect, and all others finalStopTime
// before the worker may be gone. It returns early if w.leavesAt no longer equals announced.
func (h *shard) drainLeaving(w *workerState, announced time.Time) {
	h.stopBefore(w, announced, h.Bounds.StopTime+stopMargin, func(r *run) bool { return !r.allocation.endsBefore(w.staysUntil.Add(-finalStopTime)) })
	h.stopBefore(w, announced, finalStopTime, func(*run) bool { return true })
}

// stopBefore waits until the time ahead before the worker may be gone, and then stops the runs for which isLeft
// returns true, with their gangs. It returns early if w.leavesAt no longer equals announced.
func (h *shard) stopBefore(w *workerState, announced time.Time, ahead time.Duration, isLeft func(*run) bool) {
	for {
		h.mu.Lock()
		stays, left := w.staysUntil, w.leavesAt.Equal(announced)
		wait := time.Until(stays.Add(-ahead))
		if left && wait <= 0 {
			h.stopRuns(w, isLeft)
		}
		h.mu.Unlock()
		if !left || wait <= 0 || !interval.Sleep(h.ctx, wait) {
			return
		}
	}
}

// stopRuns stops the runs of a leaving worker for which isLeft returns true, each with its gang.
func (h *shard) stopRuns(w *workerState, isLeft func(*run) bool) {
	for _, r := range w.runs {
		if r.allocation.stopping || !isLeft(r) {
			continue
		}
		h.Figures.Count("runs_cleared")
		for _, m := range r.allocation.runs {
			h.stop(m.worker, m, "a worker is about to leave")
		}
	}
}

// endsBefore reports whether all runs of the allocation are expected to end before the given time, because a gang
// ends with its last member. When only the member on the leaving worker was checked, five of eight gangs that were
// left running were 0.2 to 2 s from their end when the worker left. They restarted 5 s later, after its leases had
// expired.
func (x *allocation) endsBefore(at time.Time) bool {
	return !slices.ContainsFunc(x.runs, func(r *run) bool { return !r.endsBefore(at) })
}

// endsBefore reports whether a run is expected to end before the given time, by its reported progress. It returns
// false if that is unknown.
func (r *run) endsBefore(at time.Time) bool {
	if r.lasts() {
		return false
	}
	p := &r.progress
	if ends, known := p.predictedEnd(); !known.IsZero() {
		return ends.Before(at)
	}
	if r.saved != "" || r.confirmed.IsZero() || p.share <= 0 {
		return false
	}
	whole := seconds(p.reportedAt.Sub(r.confirmed).Seconds() / p.share) // Upper bound: the share is rounded down.
	return r.confirmed.Add(whole).Before(at)
}

// departureOf returns the departure of a run on a leaving worker. It returns the zero value for a lasting run, for
// one that continued from a saved state, and for one whose progress is unknown.
func (h *shard) departureOf(w *workerState, r *run, now time.Time) departure {
	step := &r.job.Request.Steps[r.task.Step]
	p := &r.progress
	if p.reportedAt.IsZero() || r.confirmed.IsZero() || r.saved != "" || step.Lasting {
		return departure{}
	}
	return departure{
		worked: p.reportedAt.Sub(r.confirmed), workDone: p.share, sinceReport: now.Sub(p.reportedAt), untilLeaving: w.leavesAt.Sub(now), checkpoints: step.Checkpoints,
	}
}
