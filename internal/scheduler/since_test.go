package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"go.uber.org/zap"
)

// TestRefusedStartKeepsWaitingTime fails if the waiting time of a task begins anew when a worker refuses its start.
// Guaranteed work must start within a time limit. Only for a task that has run does the waiting time begin anew.
func TestRefusedStartKeepsWaitingTime(t *testing.T) {
	for outcome, kept := range map[job.Outcome]bool{job.NeverRan: true, job.Stopped: false, job.Expired: false} {
		h := &shard{Scheduler: &Scheduler{Log: zap.NewNop()}, wake: make(chan struct{}, 1), jobs: map[job.ID]*trackedJob{}, uncommitted: uncommitted{dirtyJobs: map[job.ID]bool{}}}
		h.addJob(request("a", time.Second), nil)
		j, group, since := h.jobs["a"], job.Group{}, time.Unix(1000, 0)
		j.readySince[group] = since
		order := j.Place(group, map[int]incarnation.ID{0: {Worker: "w"}})[0]
		r := &run{task: order.Task, number: order.Run, job: j}
		w := workerOf(&fleet.Worker{})
		h.addRun(w, r)
		h.endRun(w, r, outcome, "")
		_, waits := j.readySince[group]
		quicktest.Check(t, waits, quicktest.Equals, kept, quicktest.Commentf("%v", outcome))
	}
}
