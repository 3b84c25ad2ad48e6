package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
)

// addJobs adds jobs of a workspace with a payload of 4,000 bytes.
func addJobs(h *shard, workspace string, count int) {
	for range count {
		h.addJob(&job.Request{
			ID: job.ID(fmt.Sprint(workspace, len(h.jobs))), Payload: strings.Repeat("x", 4000),
			Terms: job.Terms{Workspace: workspace, Attempts: 9}, Steps: []job.Step{{Count: 1}},
		}, nil)
	}
}

// TestFullWorkspaces fails if the jobs of a workspace may exceed their part of the limit, if a workspace that holds less
// is kept out, or if a workspace stays full once its jobs are deleted.
func TestFullWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := shardWithWorkers(1)
		h.Bounds.JobMemory = 1 << 20
		addJobs(h, "guest", 50)
		addJobs(h, "desk", 10)
		quicktest.Check(t, loadIn(h), quicktest.IsNil)
		addJobs(h, "guest", 50)
		quicktest.Check(t, loadIn(h).Full.Workspaces, quicktest.DeepEquals, []string{"guest"}, quicktest.Commentf("published at once"))
		time.Sleep(loadInterval)
		addJobs(h, "third", 60) // All together exceed the limit; a third of a half is 175 KB.
		quicktest.Check(t, loadIn(h).Full.Workspaces, quicktest.DeepEquals, []string{"guest", "third"})
		for id, j := range h.jobs {
			if j.Request.Terms.Workspace != "desk" {
				h.forget(id)
			}
		}
		time.Sleep(loadInterval)
		quicktest.Check(t, loadIn(h).Full.IsEmpty(), quicktest.IsTrue)
		quicktest.Check(t, h.holdings.byWorkspace, quicktest.HasLen, 1)
		h.Bounds.JobMemory = 0
		quicktest.Check(t, h.holdings.full(h.Bounds.JobMemory).IsEmpty(), quicktest.IsTrue)
	})
}

// TestManyTasksAreCounted fails if a short request with many tasks counts by its length.
func TestManyTasksAreCounted(t *testing.T) {
	tasks := &job.Request{Steps: []job.Step{{Count: job.MaxTasks}}}
	times := &job.Request{Steps: []job.Step{{Count: 1}}, Schedule: job.Schedule{Times: job.MaxTasks}}
	for _, r := range []*job.Request{tasks, times} {
		quicktest.Check(t, r.Footprint() > 100*job.MaxTasks, quicktest.IsTrue)
	}
}

// TestManyCancellationsAreFull fails if cancellations of unknown jobs are kept without a limit.
func TestManyCancellationsAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := shardWithWorkers(1)
		h.Bounds.JobMemory = 1 << 20
		for i := range 300 {
			h.applyChanges([]ledger.Change{{ID: job.ID(fmt.Sprint(i)), Cancelled: true, Version: 1}}, nil)
		}
		load := loadIn(h)
		quicktest.Assert(t, load, quicktest.IsNotNil)
		quicktest.Check(t, load.Full.Cancellations, quicktest.IsTrue)
		quicktest.Check(t, load.Full.Workspaces, quicktest.HasLen, 0)
	})
}
