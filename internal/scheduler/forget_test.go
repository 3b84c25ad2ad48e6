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
