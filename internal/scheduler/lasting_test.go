package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// lastingShard returns a shard with a worker and a job of some tasks that last, of which the first one runs.
func lastingShard(tasks int) (*shard, *workerState, *trackedJob, *run) {
	h := offlineShard()
	w := workerOf(&fleet.Worker{ID: "w", Service: "s"})
	h.workers["w"] = w
	r := request("a", time.Second)
	r.Steps[0].Count, r.Steps[0].Lasting = tasks, true
	h.addJob(r, nil)
	j := h.jobs["a"]
	j.Place(job.Group{}, map[int]incarnation.ID{0: {Worker: "w"}})
	started := &run{incarnation: incarnation.ID{Worker: "w"}, task: job.Task{Job: "a"}, number: 1, job: j, placed: time.Now(), confirmed: time.Now()}
	h.addRun(w, started)
	return h, w, j, started
}

// TestLastingRunsTeachNoRunTime fails if the end of a run that lasts changes the run times expected of other jobs of its
// queue, or makes its worker look fast or slow.
func TestLastingRunsTeachNoRunTime(t *testing.T) {
	inBubble(t, "end", func(t *testing.T) {
		h, w, j, r := lastingShard(1)
		before := h.estimates.taskTime(request("b", time.Minute), 0)
		time.Sleep(20 * time.Millisecond)
		h.endRun(w, r, job.Succeeded, "")
		quicktest.Check(t, h.estimates.taskTime(request("b", time.Minute), 0), quicktest.Equals, before)
		quicktest.Check(t, w.slow, quicktest.Equals, slowness{})
		quicktest.Check(t, j.Progress.State, quicktest.Equals, job.Running)
	})
}

// TestOtherMembersOfLastingGangAreStopped fails if the other members of a gang that lasts may run on after one of them has
// ended: the gang starts again only once all have.
func TestOtherMembersOfLastingGangAreStopped(t *testing.T) {
	for _, outcome := range []job.Outcome{job.Succeeded, job.FailedRun, job.Expired} {
		h := offlineShard()
		r := request("a", time.Second)
		r.Steps[0].Count, r.Steps[0].Lasting, r.Steps[0].Gang = 3, true, true
		h.addJob(r, nil)
		j, workers := h.jobs["a"], map[int]incarnation.ID{}
		for i := range 3 {
			workers[i] = incarnation.ID{Worker: fmt.Sprint("w", i)}
			h.workers[workers[i].Worker] = workerOf(&fleet.Worker{ID: workers[i].Worker, Service: "s"})
		}
		for _, o := range j.Place(job.Group{}, workers) {
			h.addRun(h.workers[o.Worker.Worker], &run{incarnation: o.Worker, task: o.Task, number: o.Run, job: j, placed: time.Now(), confirmed: time.Now()})
		}
		h.endRun(h.workers["w1"], h.workers["w1"].runs[job.Task{Job: "a", Index: 1}], outcome, "")
		for _, i := range []int{0, 2} {
			m := h.workers[fmt.Sprint("w", i)].runs[job.Task{Job: "a", Index: i}]
			quicktest.Check(t, m.stopping, quicktest.IsTrue, quicktest.Commentf("member %d after %s", i, outcome))
		}
		quicktest.Check(t, j.Ready(1), quicktest.HasLen, 0)
	}
}
