package scheduler

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/store"
)

// pickyStore refuses transactions that write any of some rows, as if they exceeded a limit. It keeps the others.
type pickyStore struct {
	store.Store
	refused []string // Names of rows, or tables.
	calls   int
	version int64
	rows    map[store.Key]store.Row
}

// Commit implements store.Store.
func (s *pickyStore) Commit(_ context.Context, tx *store.Transaction) (int64, error) {
	s.calls++
	for i := range tx.Writes {
		if slices.Contains(s.refused, tx.Writes[i].Name) || slices.Contains(s.refused, tx.Writes[i].Table) {
			return 0, store.ErrInvalid
		}
	}
	s.version++
	for _, w := range tx.Writes {
		w.Version = s.version
		s.rows[w.Key] = w
	}
	return s.version, nil
}

// Read implements store.Store.
func (s *pickyStore) Read(_ context.Context, r store.Range) (page store.Page, err error) {
	for k, row := range s.rows {
		if k.Table == r.Table && k.Name >= r.From {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// TestRefusedRowsDoNotStopCommits fails if rows that the store refuses for their size keep the progress of other jobs
// from being committed, if a job stays left out although its progress is accepted again, or if refused batches are
// repeated all the time.
func TestRefusedRowsDoNotStopCommits(t *testing.T) {
	for _, refused := range [][]string{{"urgent7"}, {"urgent0", "urgent50", "urgent99"}, {"summary"}, {"summary", "addresses", "urgent3"}} {
		t.Run(fmt.Sprint(refused), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := context.Background()
				rows := &pickyStore{refused: refused, rows: map[store.Key]store.Row{}}
				h := shardWithWorkers(1)
				h.Ledger = &ledger.Ledger{Store: rows, Shard: "main"}
				term, err := h.Ledger.Claim(ctx, "box-1/a", ledger.Lease{}, time.Now())
				quicktest.Assert(t, err, quicktest.IsNil)
				h.leaseTerm, h.ctx = term, ctx
				addGangs(h, "urgent", 0, 100)
				commitFor := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						if f := h.prepare(true); f != nil {
							_ = h.commit(ctx, f) // Refused batches are part of the test.
						}
					}
				}
				markAll := func() {
					for id := range h.jobs {
						h.markDirty(id)
					}
				}
				markAll()
				commitFor(3 * time.Second)
				stored, err := h.Ledger.Progress(ctx)
				quicktest.Assert(t, err, quicktest.IsNil)
				for id := range h.jobs {
					quicktest.Check(t, stored[id] != nil, quicktest.Equals, !slices.Contains(refused, string(id)), quicktest.Commentf("%s", id))
				}
				changed := map[job.ID]time.Time{}
				for n := range 600 {
					id := job.ID(fmt.Sprint("urgent", n%len(h.jobs)))
					if h.markDirty(id); changed[id].IsZero() {
						changed[id] = time.Now()
					}
					commitFor(50 * time.Millisecond)
					for id, at := range changed {
						if !h.dirtyJobs[id] {
							delete(changed, id)
							continue
						}
						quicktest.Assert(t, slices.Contains(refused, string(id)) || time.Since(at) < 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%s: %s", id, time.Since(at)))
					}
				}
				before := rows.calls
				commitFor(60 * time.Second)
				quicktest.Check(t, rows.calls-before < 1300, quicktest.IsTrue, quicktest.Commentf("%d calls", rows.calls-before))
				rows.refused = nil
				markAll()
				commitFor(2 * refusedJobPause)
				stored, err = h.Ledger.Progress(ctx)
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Check(t, len(stored), quicktest.Equals, len(h.jobs))
				quicktest.Check(t, h.dirtyJobs, quicktest.HasLen, 0)
				quicktest.Check(t, h.refusedBatch.paused, quicktest.HasLen, 0)
			})
		})
	}
}

// TestBatchesAreLimitedInBytes fails if a batch holds more progress than a transaction of the store takes, or if a job is
// left out of all batches because of its size.
func TestBatchesAreLimitedInBytes(t *testing.T) {
	for _, c := range []struct{ jobs, tasks, saved, name int }{{40, 300, 400, 10}, {5, job.MaxTasks, 100, 190}, {200, 20, 16, 36}, {300, 1, 4000, 190}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			h := offlineShard()
			for n := range c.jobs {
				r := request(fmt.Sprint("j", n), time.Second)
				r.Steps[0].Count = c.tasks
				h.addJob(r, nil)
				for i := range c.tasks {
					h.jobs[r.ID].Progress.Tasks[i] = job.TaskProgress{
						State: job.Placed, Run: 1, Saved: strings.Repeat("s", c.saved), Worker: incarnation.ID{Worker: fmt.Sprintf("%0*d", c.name, i), Born: 1792504406446},
					}
				}
				h.markDirty(r.ID)
			}
			written := map[job.ID]bool{}
			for f := h.prepare(false); f != nil; f = h.prepare(false) {
				size, rows := 0, 0
				for id, p := range f.batch.Progress {
					bytes, needed, _ := h.Ledger.Measure(p)
					size, rows = size+bytes, rows+needed
					written[id] = true
				}
				quicktest.Assert(t, len(f.batch.Progress) == 1 || size <= ledger.MaxBatchBytes && rows <= ledger.MaxBatchRows, quicktest.IsTrue, quicktest.Commentf("%d jobs, %d bytes, %d rows", len(f.batch.Progress), size, rows))
			}
			quicktest.Check(t, written, quicktest.HasLen, c.jobs)
		})
	}
}

// TestSavedStatesAreCounted fails if a job's saved states take memory that is not counted for its workspace, or if it
// stays counted when the tasks or the job end.
func TestSavedStatesAreCounted(t *testing.T) {
	h := offlineShard()
	r := request("a", time.Second)
	r.Steps[0].Count, r.Steps[0].Checkpoints, r.Terms.Workspace = 20, true, "desk"
	h.addJob(r, nil)
	base := h.holdings.total
	j := h.jobs["a"]
	for i := range 20 {
		t := job.Task{Job: "a", Index: i}
		j.Progress.Tasks[i].State, j.Progress.Tasks[i].Run = job.Placed, 1
		j.RecordSavedState(t, 1, string(make([]byte, 1000)))
		h.holdings.addSaved(j)
	}
	quicktest.Check(t, h.holdings.total-base, quicktest.Equals, int64(20*(1000-usualSavedBytes)))
	quicktest.Check(t, h.holdings.byWorkspace["desk"], quicktest.Equals, h.holdings.total)
	for i := range 20 {
		j.EndRun(job.Task{Job: "a", Index: i}, 1, job.Succeeded, "", 1)
	}
	h.holdings.addSaved(j)
	quicktest.Check(t, h.holdings.total, quicktest.Equals, base)
	h.forget("a")
	quicktest.Check(t, h.holdings.total, quicktest.Equals, int64(0))
	quicktest.Check(t, h.holdings.byWorkspace, quicktest.HasLen, 0)
}
