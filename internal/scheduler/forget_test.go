package scheduler

import (
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
