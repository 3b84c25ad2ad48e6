package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"go.uber.org/zap"
)

// TestForgottenJobStaysForgotten guards against jobs that run a second time: a read of the requests began
// before a job's rows were deleted, and was applied after the job had been forgotten.
func TestForgottenJobStaysForgotten(t *testing.T) {
	h := &shard{
		Scheduler: &Scheduler{Log: zap.NewNop()}, wake: make(chan struct{}, 1), jobs: map[job.ID]*trackedJob{},
		pastJobs: pastJobs{earlyCancellations: map[job.ID]time.Time{}, otherParts: map[job.ID][]string{}, forgotten: map[job.ID]forgotten{}},
	}
	stale := []ledger.Change{{ID: "a", Request: request("a", time.Second), Version: 5}, {ID: "a", Request: request("a", time.Second), Version: 7, FallbackPart: "p"}}
	h.applyChanges(stale, nil)
	quicktest.Assert(t, h.jobs["a"], quicktest.IsNotNil)
	h.forget("a")
	h.applyChanges(stale, nil)
	quicktest.Assert(t, h.jobs["a"], quicktest.IsNil)
	h.applyChanges([]ledger.Change{{ID: "a", Request: request("a", time.Second), Version: 9}}, nil)
	quicktest.Assert(t, h.jobs["a"], quicktest.IsNotNil) // Submitted again.
}

// TestForgottenJobsFitIntoABatch guards against commits that are too large for the store. While the scheduler's
// part of the store is out and those of the requests are not, jobs are forgotten round after round, and their
// rows can't be deleted. When all of them went into the next commit, it failed, and so did each commit after
// it. Now each commit deletes a few.
func TestForgottenJobsFitIntoABatch(t *testing.T) {
	h := offlineShard()
	const forgotten = 60
	for n := range forgotten {
		h.droppedJobs = append(h.droppedJobs, ledger.JobDeletion{ID: job.ID(fmt.Sprint(n)), Faults: n%2 == 0, FailedRuns: n%3 == 0})
	}
	deleted := map[job.ID]bool{}
	for range forgotten {
		f := h.prepare(false)
		if f == nil {
			break
		}
		rows := 0
		for _, x := range f.batch.Delete {
			rows += x.Rows()
			deleted[x.ID] = true
		}
		quicktest.Assert(t, rows <= ledger.MaxDeletedRows+2, quicktest.IsTrue, quicktest.Commentf("%d rows", rows))
	}
	quicktest.Check(t, deleted, quicktest.HasLen, forgotten)
	quicktest.Check(t, h.droppedJobs, quicktest.HasLen, 0)
}

// TestNothingIsForgottenBeforeItIsCommitted guards against a crash. The scheduler's part of the store was out
// for longer than ended jobs are shown, those of the requests were not. A job in a commit in flight counted as
// committed and was forgotten, and its request was deleted. When the commit failed, it was prepared again with
// a job that was unknown by then: a nil pointer.
func TestNothingIsForgottenBeforeItIsCommitted(t *testing.T) {
	h := offlineShard()
	h.leaseTerm = &ledger.LeaseTerm{}
	h.Bounds.Retain = time.Second
	h.addJob(request("a", time.Second), nil)
	ended := time.Now().Add(-time.Minute)
	h.jobs["a"].Cancel(ended.UnixMilli())
	h.markDirty("a")
	quicktest.Check(t, h.oldJobs(), quicktest.HasLen, 0)
	f := h.prepare(false)
	quicktest.Check(t, f.batch.Progress, quicktest.HasLen, 1)
	quicktest.Check(t, h.oldJobs(), quicktest.HasLen, 0) // Its commit is in flight.
	h.restore(f)
	quicktest.Check(t, h.oldJobs(), quicktest.HasLen, 0)
	f = h.prepare(false)
	h.afterCommit(f, time.Now(), 0)
	quicktest.Check(t, h.oldJobs(), quicktest.DeepEquals, []job.ID{"a"})
	h.markDirty("a") // While its request is being deleted.
	h.forget("a")
	f = h.prepare(false)
	quicktest.Check(t, f == nil || len(f.batch.Progress) == 0, quicktest.IsTrue)
}
