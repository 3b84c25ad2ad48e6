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

// TestForgottenJobStaysForgotten fails if a job whose rows were deleted runs a second time. That happened when a
// read of the requests began before the deletion and was applied after it.
func TestForgottenJobStaysForgotten(t *testing.T) {
	h := &shard{
		Scheduler: &Scheduler{Log: zap.NewNop()}, wake: make(chan struct{}, 1), jobs: map[job.ID]*trackedJob{},
		pastJobs: pastJobs{earlyCancellations: map[job.ID]earlyCancellation{}, otherParts: map[job.ID][]string{}, forgotten: map[job.ID]forgottenJob{}},
	}
	stale := []ledger.Change{{ID: "a", Request: request("a", time.Second), Version: 5}, {ID: "a", Request: request("a", time.Second), Version: 7, FallbackPart: "p"}}
	h.applyChanges(stale, nil)
	quicktest.Assert(t, h.jobs["a"], quicktest.IsNotNil)
	h.forget("a")
	h.applyChanges(stale, nil)
	quicktest.Assert(t, h.jobs["a"], quicktest.IsNil)
	h.applyChanges([]ledger.Change{{ID: "a", Request: request("a", time.Second), Version: 9}}, nil)
	quicktest.Assert(t, h.jobs["a"], quicktest.IsNotNil) // A new request with the same name starts.
}

// TestForgottenJobsFitIntoABatch fails if a commit deletes more rows than the store accepts. While only the
// scheduler's part of the store is down, the requests of old jobs are deleted, but their progress rows accumulate.
// When all of these went into the next commit, it failed, and so did each commit after it.
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

// TestNothingIsForgottenBeforeItIsCommitted guards against a crash by a nil pointer. The scheduler's part of the
// store was down for longer than ended jobs are kept. A job in a commit in flight was taken for committed, so its
// request was deleted and its state dropped. The commit failed and was prepared again, with a job that was unknown
// by then.
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
	h.restoreChanges(f)
	quicktest.Check(t, h.oldJobs(), quicktest.HasLen, 0)
	f = h.prepare(false)
	h.afterCommit(f, time.Now(), 0)
	quicktest.Check(t, h.oldJobs(), quicktest.DeepEquals, []job.ID{"a"})
	h.markDirty("a") // The job changes while its request is being deleted.
	h.forget("a")
	f = h.prepare(false)
	quicktest.Check(t, f == nil || len(f.batch.Progress) == 0, quicktest.IsTrue)
}
