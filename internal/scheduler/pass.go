package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/life"
	"github.com/pulleyring/pulleyring/internal/placement"
	"go.uber.org/zap"
)

// claimKey identifies a group of a job.
type claimKey struct {
	job   job.ID
	group job.Group
}

// claimed is capacity that is reserved for a waiting group until running work there has ended.
type claimed struct {
	workers  map[int]string // Worker names by the index of the task.
	until    time.Time      // When the reservation expires and a new plan is made.
	draining bool           // No work is preempted for the reservation.
}

// plans holds what decisions remember about waiting groups.
type plans struct {
	claims     map[claimKey]claimed   // Capacity that is reserved.
	noPlan     map[claimKey]time.Time // Until when no new plan to free capacity is made.
	waitLogged map[claimKey]time.Time // When the reason for waiting was last logged.
}

// claimSlack is how much longer than a stop a reservation is kept. It covers two commits and the commands to the
// worker.
const claimSlack = 600 * time.Millisecond

// planRetry is the delay before another plan to free capacity is made after none was found. Planning is the costly
// part of a decision.
const planRetry = 250 * time.Millisecond

// drainFor is how long a reservation without preemption is kept for a gang before another place is sought: about as
// long as batch work runs.
const drainFor = 8 * time.Second

// pass makes a placement decision and applies it: it stops preempted work, keeps reservations and places what starts.
func (h *shard) pass() {
	h.changed = false
	now := time.Now()
	h.lastPass = now
	view := h.takeView(now)
	h.Figures.Took("scheduler_view", time.Since(now))
	if len(view.Demands) == 0 {
		return
	}
	out := placement.Decide(view)
	h.Figures.Took("scheduler_pass", time.Since(now))
	for _, i := range out.Stops {
		for _, r := range h.holdings.list[i].runs {
			h.stop(r.worker, r, "room for urgent work")
		}
	}
	for _, i := range out.Dropped {
		delete(h.claims, claimKey{view.Demands[i].Job, view.Demands[i].Group})
	}
	for _, c := range out.Claims {
		d := &view.Demands[c.Demand]
		kept := h.Bounds.StopTime + claimSlack
		if c.Draining {
			kept = drainFor
		}
		h.claims[claimKey{d.Job, d.Group}] = claimed{c.Workers, now.Add(kept), c.Draining}
		h.Log.Info("scheduler: reserving capacity", zap.String("job", string(d.Job)), zap.String("workspace", d.Workspace),
			zap.Duration("waited", now.Sub(d.Since)), zap.Int("stops", len(out.Stops)), zap.Bool("draining", c.Draining))
	}
	for _, i := range out.NoPlans {
		d := &view.Demands[i]
		h.noPlan[claimKey{d.Job, d.Group}] = now.Add(planRetry)
	}
	h.logWaits(view, &out, now)
	for _, s := range out.Starts {
		h.place(&view.Demands[s.Demand], s.Workers, now)
	}
}

// waitLogEvery is the interval at which the reason why a group still waits is logged.
const waitLogEvery = 5 * time.Second

// logWaits logs why groups that have waited for at least waitLogEvery still wait, each at most once per waitLogEvery.
func (h *shard) logWaits(view *placement.View, out *placement.Outcome, now time.Time) {
	started := map[int]bool{}
	for _, s := range out.Starts {
		started[s.Demand] = true
	}
	for i := range view.Demands {
		d := &view.Demands[i]
		key := claimKey{d.Job, d.Group}
		if started[i] || now.Sub(d.Since) < waitLogEvery || now.Sub(h.waitLogged[key]) < waitLogEvery {
			continue
		}
		h.waitLogged[key] = now
		w := placement.Explain(view, i)
		h.Log.Info("scheduler: waiting", zap.String("job", string(d.Job)), zap.Int("occurrence", d.Group.Occurrence),
			zap.Int("step", d.Group.Step), zap.Duration("waited", now.Sub(d.Since)), zap.Duration("to_goal", d.Goal.Sub(now)),
			zap.Int("tasks", w.Need), zap.Int("suitable_workers", w.Suitable), zap.Int("closed_workers", w.Closed), zap.Int("fit_now", w.Now),
			zap.Int("fit_in_rack", w.Rack), zap.Int("fit_in_empty_rack", w.Empty), zap.Bool("draining", d.Draining),
			zap.Bool("claimed", d.Claim != nil))
	}
}

// place records a placement. The start commands are sent once it is committed.
func (h *shard) place(d *placement.Demand, workers map[int]string, now time.Time) {
	j := h.jobs[d.Job]
	delete(h.claims, claimKey{d.Job, d.Group})
	delete(h.noPlan, claimKey{d.Job, d.Group})
	delete(h.waitLogged, claimKey{d.Job, d.Group})
	lives := map[int]life.ID{}
	for i, name := range workers {
		lives[i] = h.workers[name].life
	}
	orders := j.Place(d.Group, lives)
	h.Figures.Took("scheduler_waited", now.Sub(d.Since))
	h.Figures.Add("runs_placed", int64(len(orders)))
	racks := map[string]bool{}
	for _, o := range orders {
		racks[h.workers[o.Worker.Worker].Rack] = true
	}
	far := 0
	for _, o := range orders {
		w := h.workers[o.Worker.Worker]
		r := &run{
			life: o.Worker, task: o.Task, number: o.Run, saved: o.Saved, each: d.Step.Each, job: j, placed: now,
			far: isFar(d.Step, racks, w.Rack),
		}
		if r.far {
			far++
		}
		h.addRun(w, r)
		h.launches = append(h.launches, r)
	}
	h.touch(d.Job)
	h.Log.Info("scheduler: placed", zap.String("job", string(d.Job)), zap.Int("occurrence", d.Group.Occurrence),
		zap.Int("step", d.Group.Step), zap.Int("tasks", len(orders)), zap.Int("waiting", len(d.Waiting)),
		zap.Duration("waited", now.Sub(d.Since)), zap.Duration("to_goal", d.Goal.Sub(now)), zap.Bool("covered", d.Covered),
		zap.Int("far", far), zap.Strings("racks", slices.Sorted(maps.Keys(racks))))
}

// isFar reports whether a run takes longer than elsewhere: its data is in another rack, or its gang is spread over
// several racks.
func isFar(step *job.Step, racks map[string]bool, rack string) bool {
	if step.Gang && step.RackLocal && len(racks) > 1 {
		return true
	}
	return step.DataRack != "" && step.DataRack != rack
}

// loss returns the core-seconds of work that are lost if a run is stopped.
func (h *shard) loss(r *run, step *job.Step, now time.Time) float64 {
	lost := now.Sub(r.placed)
	if step.Checkpoints {
		lost = min(lost, checkpointLoss)
	}
	return lost.Seconds() * r.each.Cores()
}

// restartDelay is how long stopped work is expected to wait until it can start again.
const restartDelay = 2 * time.Second

// checkpointLoss is the work time lost when a run that saves its state is stopped. The run saves once more at a stop,
// so that only the times to stop and to restore are lost.
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
