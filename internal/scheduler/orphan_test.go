package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
)

// TestOrphanedRunIsNotInItsGang fails if an orphaned run is added to its task's restarted gang. Such a run is a
// member that was presumed ended and is then found still running. With it, the whole gang counted as being
// stopped, so its members were neither restarted nor stopped on a leaving worker.
func TestOrphanedRunIsNotInItsGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, lost := shardWithRun()
		other := workerOf(&fleet.Worker{ID: "v", Capacity: job.Resources{Accelerators: 8}})
		other.listed = true
		h.workers["v"] = other
		h.addJob(&job.Request{ID: "g", Steps: []job.Step{{Count: 2, Gang: true, Each: job.Resources{Accelerators: 1}}}, Terms: job.Terms{Attempts: 9}}, nil)
		place := func(workers map[int]string) {
			d := h.demand(h.jobs["g"], job.Group{}, time.Now())
			h.place(&d, workers, time.Now())
		}
		first, second := job.Task{Job: "g"}, job.Task{Job: "g", Index: 1}
		place(map[int]string{0: "w", 1: "v"})
		h.loseRuns(lost, leasesExpired)
		h.endRun(other, other.runs[second], job.Stopped, "")
		place(map[int]string{0: "v", 1: "v"})
		h.applyReport(lost, &fleet.Report{Incarnation: lost.incarnation, Clock: 2, Running: []fleet.Run{{Task: first, Run: 1, Done: 0.5}}}, lost.sendState(), 0)
		quicktest.Check(t, lost.runs[first].allocation.stopping, quicktest.IsTrue)
		for _, member := range []job.Task{first, second} {
			r := other.runs[member]
			quicktest.Check(t, r.number, quicktest.Equals, 2)
			quicktest.Check(t, r.allocation.stopping, quicktest.IsFalse)
			quicktest.Check(t, r.allocation.runs, quicktest.HasLen, 2)
		}
		h.applyReport(lost, &fleet.Report{Incarnation: lost.incarnation, Clock: 3, Ended: []fleet.End{{Number: 1, Task: first, Run: 1, Outcome: job.Stopped}}}, lost.sendState(), 0)
		quicktest.Check(t, other.runs[first].allocation.runs, quicktest.HasLen, 2)
	})
}
