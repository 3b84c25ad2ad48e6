package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/placement"
	"go.uber.org/zap"
)

// groupKey identifies a group of a job.
type groupKey struct {
	job   job.ID
	group job.Group
}

// reservation is capacity that is reserved for a waiting group until running work there has ended.
type reservation struct {
	workers           map[int]string // Worker names by the index of the task.
	until             time.Time      // When the reservation expires; a new plan is made then.
	withoutPreemption bool           // No work is preempted for the reservation.
}

// plans holds, by waiting group, what later decisions need from earlier ones.
type plans struct {
	reservations map[groupKey]reservation // Capacity that is reserved.
	noPlanUntil  map[groupKey]time.Time   // Time before which no new plan to free capacity is made.
	waitLoggedAt map[groupKey]time.Time   // When the reason for waiting was last logged.
}

// reservationSlack is added to the time that a stop takes to get the time for which a reservation is kept. It covers
// two commits and the commands to the worker.
const reservationSlack = 600 * time.Millisecond

// planRetryDelay is the delay before another plan to free capacity is made after none was found. Planning is the costly
// part of a decision.
const planRetryDelay = 250 * time.Millisecond

// maxReservationWait is how long a reservation without preemption is kept for a gang before other workers are sought.
// Batch tasks run for about that long.
const maxReservationWait = 8 * time.Second

// decideOrPostpone makes a placement decision unless too many starts of earlier ones are queued.
func (h *shard) decideOrPostpone() {
	if h.startQueue.isFull() {
		h.decisionDue, h.startQueue.postponed, h.lastDecision = true, true, time.Now()
		h.Figures.Count("decisions_postponed")
		return
	}
	h.decide()
}

// decide makes a placement decision and applies it: it stops preempted work, keeps reservations and places what starts.
func (h *shard) decide() {
	h.decisionDue = false
	now := time.Now()
	h.lastDecision = now
	view := h.updateView(now)
	h.Figures.ObserveDuration("scheduler_view", time.Since(now))
	if len(view.Demands) == 0 {
		return
	}
	out := placement.Decide(view)
	h.Figures.ObserveDuration("scheduler_pass", time.Since(now))
	h.recordKeptBack(view, &out)
	h.recordMoves(view, out.Moves)
	for _, i := range out.Stops {
		for _, r := range h.allocations.list[i].runs {
			r.job.urgentStops.record(now)
			h.stop(r.worker, r, r.reasonToStop())
		}
	}
	for _, i := range out.DroppedReservations {
		delete(h.reservations, groupKey{view.Demands[i].Job, view.Demands[i].Group})
	}
	h.logWaits(view, &out, now)
	for _, s := range out.Starts {
		d := &view.Demands[s.Demand]
		if d.Step.Gang && s.TooSlow {
			h.Figures.Count("gangs_placed_slow")
		}
		h.place(d, s.Workers, now)
	}
	for _, c := range out.Reservations { // After the starts, which end the reservations of their groups.
		d := &view.Demands[c.Demand]
		kept := h.Bounds.StopTime + reservationSlack
		if c.WithoutPreemption {
			kept = maxReservationWait
		}
		h.reservations[groupKey{d.Job, d.Group}] = reservation{c.Workers, now.Add(kept), c.WithoutPreemption}
		h.Log.Info("scheduler: reserving capacity", zap.String("job", string(d.Job)), zap.String("workspace", d.Workspace),
			zap.Duration("waited", now.Sub(d.ReadySince)), zap.Int("stops", len(out.Stops)), zap.Bool("draining", c.WithoutPreemption))
	}
	for _, i := range out.WithoutPlan {
		d := &view.Demands[i]
		h.noPlanUntil[groupKey{d.Job, d.Group}] = now.Add(planRetryDelay)
	}
	h.decisionDue = h.decisionDue || out.LimitReached
}

// waitLogInterval is the interval at which the reason why a group still waits is logged.
const waitLogInterval = 5 * time.Second

// logWaits logs why groups that have waited for at least waitLogInterval still wait, each at most once per
// waitLogInterval.
func (h *shard) logWaits(view *placement.View, out *placement.Outcome, now time.Time) {
	started := map[int]bool{}
	for _, s := range out.Starts {
		started[s.Demand] = true
	}
	for i := range view.Demands {
		d := &view.Demands[i]
		key := groupKey{d.Job, d.Group}
		if started[i] || now.Sub(d.ReadySince) < waitLogInterval || now.Sub(h.waitLoggedAt[key]) < waitLogInterval {
			continue
		}
		h.waitLoggedAt[key] = now
		w := placement.Explain(view, i)
		h.Log.Info("scheduler: waiting", zap.String("job", string(d.Job)), zap.Int("occurrence", d.Group.Occurrence),
			zap.Int("step", d.Group.Step), zap.Duration("waited", now.Sub(d.ReadySince)), zap.Duration("to_goal", d.Goal.Sub(now)),
			zap.Int("tasks", w.WaitingTasks), zap.Int("suitable_workers", w.SuitableWorkers), zap.Int("closed_workers", w.ClosedWorkers), zap.Int("fit_now", w.FitNow),
			zap.Int("fit_fast_enough", w.FitFastEnough),
			zap.Int("fit_in_rack", w.FitInRack), zap.Int("fit_in_empty_rack", w.FitInEmptyRack), zap.Bool("draining", d.ReservedWithoutPreemption),
			zap.Bool("claimed", d.Reservation != nil), zap.Int("kept_back", h.urgentLoad.keptBack[key]))
	}
}

// place records a placement. The start commands are sent once it is committed.
func (h *shard) place(d *placement.Demand, workers map[int]string, now time.Time) {
	j := h.jobs[d.Job]
	delete(h.reservations, groupKey{d.Job, d.Group})
	delete(h.noPlanUntil, groupKey{d.Job, d.Group})
	delete(h.waitLoggedAt, groupKey{d.Job, d.Group})
	incarnations := map[int]incarnation.ID{}
	for i, name := range workers {
		incarnations[i] = h.workers[name].incarnation
	}
	if j.Progress.State == job.Queued {
		j.placedSince = now
	}
	commands := j.Place(d.Group, incarnations)
	if !j.isPresumedBegun(now) {
		j.Requeue()
	}
	h.Figures.ObserveDuration("scheduler_waited", now.Sub(d.ReadySince))
	h.Figures.Add("runs_placed", int64(len(commands)))
	racks := map[string]bool{}
	for _, o := range commands {
		racks[h.workers[o.Worker.Worker].Rack] = true
	}
	remote := 0
	var placed []*run
	for _, o := range commands {
		w := h.workers[o.Worker.Worker]
		r := &run{
			incarnation: o.Worker, task: o.Task, number: o.Run, saved: o.Saved, each: d.Step.Each, job: j, placed: now,
			remote: isRemote(d.Step, racks, w.Rack),
		}
		if r.remote {
			remote++
		}
		h.addRun(w, r)
		h.pendingStarts = append(h.pendingStarts, r)
		placed = append(placed, r)
	}
	if d.Step.Gang {
		setSlowestFactor(placed)
	}
	h.markDirty(d.Job)
	h.Log.Info("scheduler: placed", zap.String("job", string(d.Job)), zap.Int("occurrence", d.Group.Occurrence),
		zap.Int("step", d.Group.Step), zap.Int("tasks", len(commands)), zap.Int("waiting", len(d.Waiting)),
		zap.Duration("waited", now.Sub(d.ReadySince)), zap.Duration("to_goal", d.Goal.Sub(now)), zap.Bool("covered", d.Guaranteed),
		zap.Int("far", remote), zap.Strings("racks", slices.Sorted(maps.Keys(racks))))
}

// isRemote reports whether a run is slowed down by its location: its data is in another rack, or its gang should be in
// one rack but is spread over several.
func isRemote(step *job.Step, racks map[string]bool, rack string) bool {
	if step.Gang && step.RackLocal && len(racks) > 1 {
		return true
	}
	return step.DataRack != "" && step.DataRack != rack
}

// lostWork returns the core-seconds of work that are lost if a run is stopped.
func (h *shard) lostWork(r *run, step *job.Step, now time.Time) float64 {
	lost := now.Sub(r.placed)
	if step.Checkpoints {
		lost = min(lost, checkpointLoss)
	}
	return lost.Seconds() * r.each.Cores()
}

// restartDelay is how long stopped work is expected to wait until it can start again.
const restartDelay = 2 * time.Second

// checkpointLoss is the run time that is lost when a run with checkpoints is stopped. The run saves its state once more
// before it stops, so only the times to stop and to restore are lost.
const checkpointLoss = 500 * time.Millisecond

// anyWaiting reports whether any group of tasks waits for capacity or for its due time.
func (h *shard) anyWaiting() bool {
	now := time.Now().UnixMilli()
	for _, j := range h.jobs {
		if j.Progress.State.Final() {
			continue
		}
		if len(j.Ready(now)) > 0 || j.NextDue(now) > 0 {
			return true
		}
	}
	return false
}
