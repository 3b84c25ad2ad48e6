package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/headroom"
	"github.com/pulleyring/pulleyring/internal/job"
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
