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

// TestForgottenJobStaysForgotten brings about what once ran jobs a second time: a read of the requests that began before
// a job's rows were deleted was taken in after the job had been forgotten.
func TestForgottenJobStaysForgotten(t *testing.T) {
	h := &shard{
		Scheduler: &Scheduler{Log: zap.NewNop()}, wake: make(chan struct{}, 1), jobs: map[job.ID]*liveJob{},
		pastJobs: pastJobs{early: map[job.ID]time.Time{}, away: map[job.ID][]string{}, forgotten: map[job.ID]forgotten{}},
	}
	stale := []ledger.Change{{ID: "a", Request: request("a", time.Second), Version: 5}, {ID: "a", Request: request("a", time.Second), Version: 7, Away: "p"}}
	h.takeChanges(stale, nil)
	quicktest.Assert(t, h.jobs["a"], quicktest.IsNotNil)
	h.forget("a")
	h.takeChanges(stale, nil)
	quicktest.Assert(t, h.jobs["a"], quicktest.IsNil)
	h.takeChanges([]ledger.Change{{ID: "a", Request: request("a", time.Second), Version: 9}}, nil)
	quicktest.Assert(t, h.jobs["a"], quicktest.IsNotNil) // Handed in anew.
}

// TestForgottenJobsFitIntoABatch: while the scheduler's own part of the store is out and those of the requests are not, jobs are forgotten round after round, and none of their rows can
// be deleted. All of them went into the next commit, which had more entries than the store takes in one, and so did each commit after it, for good. They go a few at a time.
func TestForgottenJobsFitIntoABatch(t *testing.T) {
	h := keptShard()
	const forgotten = 60
	for n := range forgotten {
		h.dropped = append(h.dropped, ledger.Forgotten{ID: job.ID(fmt.Sprint(n)), Faults: n%2 == 0, FailedRuns: n%3 == 0})
	}
	deleted := map[job.ID]bool{}
	for range forgotten {
		f := h.prepare(false)
		if f == nil {
			break
		}
		rows := 0
		for _, x := range f.batch.Forget {
			rows += x.Rows()
			deleted[x.ID] = true
		}
		quicktest.Assert(t, rows <= ledger.MaxForgetRows+2, quicktest.IsTrue, quicktest.Commentf("%d rows", rows))
	}
	quicktest.Check(t, deleted, quicktest.HasLen, forgotten)
	quicktest.Check(t, h.dropped, quicktest.HasLen, 0)
}

// TestNothingIsForgottenBeforeItIsCommitted: the scheduler's own part of the store was out for longer than jobs are shown after their end, those of the requests were not. While a commit was under way the
// jobs in it counted as committed, so that one was forgotten whose end no row told; its request was deleted, and as the commit failed it was to be committed again, though it was not known any more: the
// scheduler ended with a nil pointer.
func TestNothingIsForgottenBeforeItIsCommitted(t *testing.T) {
	h := keptShard()
	h.tenure = &ledger.Tenure{}
	h.Bounds.Retain = time.Second
	h.addJob(request("a", time.Second), nil)
	ended := time.Now().Add(-time.Minute)
	h.jobs["a"].Cancel(ended.UnixMilli())
	h.touch("a")
	quicktest.Check(t, h.old(), quicktest.HasLen, 0)
	f := h.prepare(false)
	quicktest.Check(t, f.batch.Progress, quicktest.HasLen, 1)
	quicktest.Check(t, h.old(), quicktest.HasLen, 0) // It is under way.
	h.restore(f)
	quicktest.Check(t, h.old(), quicktest.HasLen, 0)
	f = h.prepare(false)
	h.committed(f, time.Now(), 0)
	quicktest.Check(t, h.old(), quicktest.DeepEquals, []job.ID{"a"})
	h.touch("a") // While its request is being deleted.
	h.forget("a")
	f = h.prepare(false)
	quicktest.Check(t, f == nil || len(f.batch.Progress) == 0, quicktest.IsTrue)
}
