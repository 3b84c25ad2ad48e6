package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/store"
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

// TestProgressOfNewJobIsNotDeleted fails if the progress of a job is deleted because an earlier job of its name ended: a
// later lease holder would start all of its tasks again.
func TestProgressOfNewJobIsNotDeleted(t *testing.T) {
	h := offlineShard()
	const forgotten = 60
	for n := range forgotten {
		h.droppedJobs = append(h.droppedJobs, ledger.JobDeletion{ID: job.ID(fmt.Sprint(n))})
	}
	again := job.ID(fmt.Sprint(forgotten - 1))
	h.addJob(request(string(again), time.Second), nil)
	written := false
	for range forgotten {
		f := h.prepare(false)
		if f == nil {
			break
		}
		written = written || f.batch.Progress[again] != nil
		for _, x := range f.batch.Delete {
			quicktest.Check(t, x.ID, quicktest.Not(quicktest.Equals), again)
		}
	}
	quicktest.Check(t, h.droppedJobs, quicktest.HasLen, 0)
	quicktest.Check(t, written, quicktest.IsTrue, quicktest.Commentf("the progress of the earlier job is left"))
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

// deletions is a store that records deleted rows.
type deletions struct {
	store.Store
	deleted map[string]bool
	largest int // Rows of the largest transaction.
}

// Commit implements store.Store.
func (d *deletions) Commit(_ context.Context, tx *store.Transaction) (int64, error) {
	d.largest = max(d.largest, len(tx.Deletes))
	for _, k := range tx.Deletes {
		d.deleted[k.Name] = true
	}
	return 1, nil
}

// maxTransactionRows is the number of rows that the users' store accepts in a transaction.
const maxTransactionRows = 100

// TestOldJobsAreForgottenInTime fails if jobs end faster than they are forgotten, so that the memory of the box that
// schedules and the rows in the store grow all the time.
func TestOldJobsAreForgottenInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		h := offlineShard()
		rows := &deletions{deleted: map[string]bool{}}
		h.ctx, h.Ledger, h.Bounds.Retain = ctx, &ledger.Ledger{Store: rows, Shard: "main"}, time.Second
		go h.forgetLoop()
		const perSecond, seconds = 100, 60
		for n := range perSecond * seconds {
			h.mu.Lock()
			h.addJob(request(fmt.Sprint(n), time.Second), nil)
			h.jobs[job.ID(fmt.Sprint(n))].Cancel(time.Now().UnixMilli())
			h.mu.Unlock()
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(10 * time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		quicktest.Check(t, len(h.jobs), quicktest.Equals, 0)
		quicktest.Check(t, len(rows.deleted), quicktest.Equals, 2*perSecond*seconds, quicktest.Commentf("a request and a cancellation each"))
		quicktest.Check(t, rows.largest <= maxTransactionRows, quicktest.IsTrue, quicktest.Commentf("%d rows", rows.largest))
	})
}
