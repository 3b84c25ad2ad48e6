package scheduler

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/headroom"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/placement"
)

// headroomShard returns a shard with two workers of 8 accelerators.
func headroomShard() *shard {
	h := offlineShard()
	for _, id := range []string{"w1", "w2"} {
		h.workers[id] = workerOf(&fleet.Worker{ID: id, Service: "s", Capacity: job.Resources{Accelerators: 8}})
	}
	return h
}

// addTasks adds a job with one step of the given number of tasks.
func addTasks(h *shard, id job.ID, priority, tasks int, each int64, checkpoints bool) *trackedJob {
	step := job.Step{Count: tasks, Each: job.Resources{Accelerators: each}, Estimate: 10 * time.Second, Gang: true, Checkpoints: checkpoints}
	h.addJob(&job.Request{ID: id, Steps: []job.Step{step}, Terms: job.Terms{Queue: "q", Service: "s", Priority: priority, Attempts: 3, Stretch: 3, Objective: time.Second}, Accepted: time.Now().UnixMilli()}, nil)
	return h.jobs[id]
}

// placeTasks places a job's gang on a worker.
func placeTasks(h *shard, j *trackedJob, worker string, now time.Time) {
	d := h.demand(j, job.Group{}, now)
	on := map[int]string{}
	for _, i := range d.Waiting {
		on[i] = worker
	}
	h.place(&d, on, now)
}

// TestHeadroomCountsUrgentWorkThatRunsOrWaits fails if the load of urgent work contains other work or work that is being
// stopped, or if work is missing from it. With the part turned off, nothing is kept.
func TestHeadroomCountsUrgentWorkThatRunsOrWaits(t *testing.T) {
	h, now := headroomShard(), time.Now()
	placeTasks(h, addTasks(h, "runs", 0, 2, 2, false), "w1", now)
	stopped := addTasks(h, "stopped", 0, 1, 2, false)
	placeTasks(h, stopped, "w1", now)
	for _, r := range h.workers["w1"].runs {
		if r.job == stopped {
			h.stop(h.workers["w1"], r, "cancelled")
		}
	}
	addTasks(h, "waits", 0, 3, 2, false)
	placeTasks(h, addTasks(h, "other", 1, 1, 2, false), "w2", now)
	addTasks(h, "other waits", 2, 1, 2, false)

	v := h.updateView(now)
	shape := headroom.Shape{Service: "s", Each: job.Resources{Accelerators: 2}}
	reports := h.urgentLoad.estimator.Reports()
	quicktest.Assert(t, reports, quicktest.HasLen, 1)
	quicktest.Check(t, reports[0].Load, quicktest.DeepEquals, headroom.Load{Shape: shape, Held: 2, Waiting: 3})
	quicktest.Check(t, v.Headroom, quicktest.DeepEquals, []headroom.Kept{{Shape: shape}})

	h.updateView(now.Add(4 * time.Second)) // The load lasted for 4 s.
	h.cancelJob("waits")
	v = h.updateView(now.Add(4 * time.Second))
	quicktest.Check(t, v.Headroom, quicktest.DeepEquals, []headroom.Kept{{Shape: shape, Slots: 3}})

	h.Bounds.DisableHeadroom = true
	quicktest.Check(t, h.updateView(now.Add(4*time.Second)).Headroom, quicktest.HasLen, 0)
}

// TestBacklogKeepsNoMoreThanTheSite fails if waiting work for which the site has no capacity counts as load. After a
// backlog of ten times the capacity, the whole site was then kept free for more than 20 s.
func TestBacklogKeepsNoMoreThanTheSite(t *testing.T) {
	h, now := headroomShard(), time.Now()
	addTasks(h, "backlog", 0, 80, 2, false)
	h.updateView(now)
	h.updateView(now.Add(10 * time.Second))
	h.cancelJob("backlog")
	v := h.updateView(now.Add(10 * time.Second))
	quicktest.Assert(t, v.Headroom, quicktest.HasLen, 1)
	quicktest.Check(t, v.Headroom[0].Slots, quicktest.Equals, 8)
}

// TestStoppedJobPauses fails if a job that was stopped for urgent work may start again at once, or if its pause does not
// grow with its recent stops. Of the runs of a decision, each is stopped, but they count once.
func TestStoppedJobPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := headroomShard()
		j := addTasks(h, "a", 1, 2, 2, false)
		stopFor := func(reason string, outcome job.Outcome) time.Duration {
			now := time.Now()
			placeTasks(h, j, "w1", now)
			for _, r := range h.workers["w1"].runs {
				if reason == stoppedForUrgent {
					j.urgentStops.record(now)
				}
				h.stop(h.workers["w1"], r, reason)
			}
			time.Sleep(200 * time.Millisecond)
			for _, r := range h.workers["w1"].runs {
				h.endRun(h.workers["w1"], r, outcome, "")
			}
			return h.demand(j, job.Group{}, time.Now()).PausedUntil.Sub(time.Now())
		}
		quicktest.Check(t, stopFor("cancelled", job.Stopped) <= 0, quicktest.IsTrue)
		for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
			quicktest.Check(t, stopFor(stoppedForUrgent, job.Stopped), quicktest.Equals, want)
			time.Sleep(want)
		}
		time.Sleep(recentStopPeriod)
		quicktest.Check(t, stopFor(stoppedForUrgent, job.Stopped), quicktest.Equals, time.Second)
		time.Sleep(time.Second)
		h.Bounds.DisableHeadroom = true
		quicktest.Check(t, stopFor(stoppedForUrgent, job.Stopped) <= 0, quicktest.IsTrue)
	})
}

// TestUrgentJobDoesNotPause fails if an urgent job that was stopped for guaranteed work starts late because of a pause.
func TestUrgentJobDoesNotPause(t *testing.T) {
	h, now := headroomShard(), time.Now()
	j := addTasks(h, "a", 0, 1, 2, false)
	placeTasks(h, j, "w1", now)
	for _, r := range h.workers["w1"].runs {
		j.urgentStops.record(now)
		h.stop(h.workers["w1"], r, stoppedForUrgent)
		h.endRun(h.workers["w1"], r, job.Stopped, "")
	}
	quicktest.Check(t, h.demand(j, job.Group{}, time.Now()).PausedUntil.IsZero(), quicktest.IsTrue)
}

// TestDecisionCountsStopsForUrgentWork fails if the jobs that a decision stops for an urgent gang are not known as
// stopped, or if a gang of several members counts more than once.
func TestDecisionCountsStopsForUrgentWork(t *testing.T) {
	h, now := headroomShard(), time.Now()
	h.Bounds.StopTime, h.Bounds.Policy = time.Second, placement.Policy{RemoteFactor: 3, MaxStopTime: time.Second, WasteCost: 1e-6}
	for _, w := range h.workers {
		w.listed, w.clock = true, 1
	}
	stopped, spared := addTasks(h, "stopped", 2, 4, 2, false), addTasks(h, "spared", 2, 8, 1, false)
	placeTasks(h, stopped, "w1", now)
	placeTasks(h, spared, "w2", now)
	addTasks(h, "urgent", 0, 1, 8, false)
	for _, r := range h.workers["w2"].runs {
		r.placed = now.Add(-time.Minute) // Stopping it would lose more work.
	}
	h.decide()
	quicktest.Check(t, stopped.urgentStops.recent(now), quicktest.Equals, 1)
	quicktest.Check(t, spared.urgentStops.recent(now), quicktest.Equals, 0)
}

// TestAllocationsTellWhatAStopCosts fails if decisions don't know which work saves checkpoints and which was stopped
// recently.
func TestAllocationsTellWhatAStopCosts(t *testing.T) {
	h, now := headroomShard(), time.Now()
	saves, other := addTasks(h, "saves", 2, 1, 2, true), addTasks(h, "other", 2, 1, 2, false)
	other.urgentStops.record(now)
	placeTasks(h, saves, "w1", now)
	placeTasks(h, other, "w1", now)
	for _, x := range h.updateView(now).Allocations {
		quicktest.Check(t, x.SavesCheckpoints, quicktest.Equals, x.Job == "saves")
		quicktest.Check(t, x.RecentStops == 1, quicktest.Equals, x.Job == "other")
	}
	quicktest.Check(t, h.updateView(now.Add(recentStopPeriod + time.Second)).Allocations[1].RecentStops, quicktest.Equals, 0)
}

// TestOperatorsSeeHeadroom fails if operators can't see why work waits beside free capacity. The tasks that are kept back
// count once, not in each decision.
func TestOperatorsSeeHeadroom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := headroomShard()
		h.Figures = &measure.Metrics{}
		h.current.Store(h)
		quicktest.Check(t, (&Scheduler{}).Headroom(), quicktest.HasLen, 0)
		for _, w := range h.workers {
			w.listed, w.clock = true, 1
		}
		urgent := addTasks(h, "urgent", 0, 2, 8, false)
		h.updateView(time.Now())
		time.Sleep(4 * time.Second) // The urgent gang waits for 4 s, and is then cancelled.
		h.cancelJob("urgent")
		addTasks(h, "bulk", 2, 3, 2, false).Request.Steps[0].Gang = false
		for range 3 {
			h.decide()
		}
		quicktest.Check(t, h.Figures.CounterValue("starts_kept_back"), quicktest.Equals, int64(3))
		answer := httptest.NewRecorder()
		h.Figures.ServeHTTP(answer, nil)
		quicktest.Check(t, answer.Body.String(), quicktest.Contains, "gauge headroom_kept\n  value:              16")
		lines, _ := h.Why("bulk")
		quicktest.Check(t, lines, quicktest.DeepEquals, []string{"step 0 waits for room for 3 tasks since 0s: 2 workers are suitable, there is room for 6 now; 3 tasks would start, but their room is kept for urgent work"})
		each := urgent.Request.Steps[0].Each
		quicktest.Check(t, h.Headroom(), quicktest.DeepEquals, []HeadroomReport{{
			Service: "s", MilliCPU: each.MilliCPU, MemoryMB: each.MemoryMB, Accelerators: each.Accelerators, Mean: 2, Kept: 2, Free: 2,
		}})

		h.jobs["bulk"].urgentStops.pausedUntil = time.Now().Add(time.Second)
		h.decide() // The pause does not apply while capacity is ample.
		again, _ := h.Why("bulk")
		quicktest.Check(t, again, quicktest.DeepEquals, lines)
		placeTasks(h, addTasks(h, "other", 2, 6, 2, false), "w1", time.Now())
		h.decide()
		lines, _ = h.Why("bulk")
		quicktest.Check(t, lines, quicktest.HasLen, 1)
		quicktest.Check(t, lines[0], quicktest.Contains, "now; it was stopped for urgent work and pauses for another 1s")
		h.Bounds.DisableHeadroom = true
		h.decide()
		quicktest.Check(t, h.Headroom(), quicktest.HasLen, 0)
	})
}
