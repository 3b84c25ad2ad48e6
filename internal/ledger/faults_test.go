package ledger_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/store"
)

// entriesMost is what the store takes in one transaction: conditions, writes and deletes together (the users' pages).
const entriesMost = 100

// counting is a store that notes the size of the largest transaction.
type counting struct {
	store.Store
	most int
}

// Commit implements store.Store.
func (c *counting) Commit(ctx context.Context, tx *store.Transaction) (int64, error) {
	c.most = max(c.most, len(tx.Conditions)+len(tx.Writes)+len(tx.Deletes))
	return c.Store.Commit(ctx, tx)
}

// TestFaultsAreKept: what is counted against a job, and why it failed, is in the row that a successor reads, and goes with the job.
func TestFaultsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		l := &ledger.Ledger{Store: emulator.NewStore(1).For("box-1", &emulator.Gate{}), Shard: "main"}
		tenure, err := l.Claim(ctx, "box-1/a", ledger.Lease{}, time.Now())
		quicktest.Assert(t, err, quicktest.IsNil)
		p := &job.Progress{State: job.Failed, Tasks: make([]job.TaskProgress, 3), GangRuns: []int{0}}
		p.Losses = map[int]job.Losses{2: {All: 4, Counted: 3, AtOnce: 3}}
		p.Failure = &job.Failure{Reason: job.CrashesWorkers, Index: 2, Times: 3}
		plain := &job.Progress{Tasks: make([]job.TaskProgress, 1)}
		quicktest.Assert(t, tenure.Commit(ctx, &ledger.Batch{Progress: map[job.ID]*job.Progress{"a": p, "b": plain}}), quicktest.IsNil)
		all, err := l.Progress(ctx)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, all["a"].Losses, quicktest.DeepEquals, p.Losses)
		quicktest.Assert(t, *all["a"].Failure, quicktest.Equals, *p.Failure)
		quicktest.Assert(t, all["b"].Any(), quicktest.IsFalse)
		failure, err := l.Failure(ctx, "a")
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, failure.Text(), quicktest.Equals, "task 2 of step 0 was given up: 3 workers crashed while it ran there")
		quicktest.Assert(t, tenure.Commit(ctx, &ledger.Batch{Forget: []ledger.Forgotten{{ID: "a", Faults: true}, {ID: "b"}}}), quicktest.IsNil)
		failure, err = l.Failure(ctx, "a")
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, failure, quicktest.IsNil)
	})
}

// TestLargestBatch: the largest batch that a scheduler makes fits into one transaction of the store.
func TestLargestBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		rows := &counting{Store: emulator.NewStore(1).For("box-1", &emulator.Gate{})}
		l := &ledger.Ledger{Store: rows, Shard: "main"}
		tenure, err := l.Claim(ctx, "box-1/a", ledger.Lease{}, time.Now())
		quicktest.Assert(t, err, quicktest.IsNil)
		b := &ledger.Batch{Progress: map[job.ID]*job.Progress{}, Summary: &ledger.Summary{}, Addresses: map[int]ledger.Addresses{}, Release: true}
		for n := 0; n < ledger.MaxBatchRows; {
			p := &job.Progress{Tasks: make([]job.TaskProgress, 1)}
			p.Losses = map[int]job.Losses{0: {All: 1}}
			p.FailedRuns = job.FailedRuns{0: {1}}
			b.Progress[job.ID(fmt.Sprint(n))] = p
			n += ledger.Rows(p)
		}
		for n := 0; n < ledger.MaxForgetRows; {
			f := ledger.Forgotten{ID: job.ID(fmt.Sprint("old", n)), Faults: true, FailedRuns: true}
			b.Forget = append(b.Forget, f)
			n += f.Rows()
		}
		for n := range ledger.MaxAddressRows {
			b.Addresses[n] = ledger.Addresses{{Worker: "w"}: "a"}
		}
		quicktest.Assert(t, tenure.Commit(ctx, b), quicktest.IsNil)
		quicktest.Assert(t, rows.most <= entriesMost, quicktest.IsTrue, quicktest.Commentf("%d", rows.most))
	})
}

// TestFailedRunsAreKept: which runs of a job failed is in a row that a successor reads, and goes with the job. A successor knew only how many had failed, so that it
// could not tell one that its predecessor had given up from one that was counted. A box of the version before reads all of the table, passes over rows of
// jobs that it doesn't know, and finds the row of faults as it was.
func TestFailedRunsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		rows := emulator.NewStore(1).For("box-1", &emulator.Gate{})
		l := &ledger.Ledger{Store: rows, Shard: "main"}
		tenure, err := l.Claim(ctx, "box-1/a", ledger.Lease{}, time.Now())
		quicktest.Assert(t, err, quicktest.IsNil)
		p := &job.Progress{Tasks: make([]job.TaskProgress, 3), GangRuns: []int{0}, FailedRuns: job.FailedRuns{0: {1, 4}, 2: {300}}}
		p.Failure = &job.Failure{Reason: job.FailedTooOften, Index: 2, Times: 1}
		quicktest.Assert(t, tenure.Commit(ctx, &ledger.Batch{Progress: map[job.ID]*job.Progress{"a": p}}), quicktest.IsNil)
		all, err := l.Progress(ctx)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, all, quicktest.HasLen, 1)
		quicktest.Assert(t, all["a"].FailedRuns, quicktest.DeepEquals, p.FailedRuns)
		quicktest.Assert(t, *all["a"].Failure, quicktest.Equals, *p.Failure)

		page, err := store.ReadAll(ctx, rows, store.Range{Table: "faults", Part: "main"})
		quicktest.Assert(t, err, quicktest.IsNil)
		known := 0
		for i := range page.Rows {
			if all[job.ID(page.Rows[i].Name)] == nil {
				continue // As the version before does.
			}
			known++
			before := struct {
				_       struct{} `cbor:",toarray"`
				Losses  map[int]job.Losses
				Failure *job.Failure
			}{}
			quicktest.Assert(t, cbor.Unmarshal(page.Rows[i].Value, &before), quicktest.IsNil)
		}
		quicktest.Assert(t, known, quicktest.Equals, 1)

		quicktest.Assert(t, tenure.Commit(ctx, &ledger.Batch{Forget: []ledger.Forgotten{ledger.ForgottenAs("a", p)}}), quicktest.IsNil)
		page, err = store.ReadAll(ctx, rows, store.Range{Table: "faults", Part: "main"})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, page.Rows, quicktest.HasLen, 0)
	})
}
