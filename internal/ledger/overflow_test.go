package ledger_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"pgregory.net/rapid"
)

// progressSize describes the progress of a job.
type progressSize struct {
	tasks, nameBytes, savedBytes, workers, rowBytes int
}

func (s *progressSize) worker(n int) incarnation.ID {
	name := fmt.Sprintf("%d-", n)
	return incarnation.ID{Worker: name + strings.Repeat("n", max(0, s.nameBytes-len(name))), Born: 1792504406446}
}

// progress returns progress of that size; every task has been placed on a worker.
func (s *progressSize) progress() *job.Progress {
	p := &job.Progress{State: job.Running, GangRuns: make([]int, min(s.tasks, job.MaxSteps))}
	for i := range s.tasks {
		p.Tasks = append(p.Tasks, job.TaskProgress{State: job.Placed, Run: 1 + i, Failures: i % 3, Worker: s.worker(i % s.workers), Saved: strings.Repeat("s", s.savedBytes)})
	}
	return p
}

// TestProgressOfAnySizeIsStored fails if the store refuses the progress of a job because of the lengths of workers' names
// or saved states, if it is not read back as written, or if rows are left when it gets shorter or is deleted.
func TestProgressOfAnySizeIsStored(t *testing.T) {
	f, err := os.Open("testdata/progress_sizes.txt")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var s progressSize
		if _, err := fmt.Sscan(lines.Text(), &s.tasks, &s.nameBytes, &s.savedBytes, &s.workers, &s.rowBytes); err != nil {
			quicktest.Assert(t, strings.HasPrefix(lines.Text(), "#"), quicktest.IsTrue, quicktest.Commentf("%s", lines.Text()))
			continue
		}
		t.Run(lines.Text(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkStored(t, &s) })
		})
	}
}

// TestProgressOfDrawnSizesIsStored is the same for drawn sizes.
func TestProgressOfDrawnSizesIsStored(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := progressSize{
			tasks: rapid.IntRange(1, job.MaxTasks).Draw(r, "tasks"), nameBytes: rapid.IntRange(1, 191).Draw(r, "name"),
			rowBytes: rapid.SampledFrom([]int{0, 30000, 65536}).Draw(r, "row"),
		}
		s.workers = rapid.IntRange(1, s.tasks).Draw(r, "workers")
		s.savedBytes = rapid.IntRange(0, min(4000, job.MaxSavedBytes/s.tasks)).Draw(r, "saved")
		synctest.Test(t, func(t *testing.T) { checkStored(t, &s) })
	})
}

func checkStored(t *testing.T, s *progressSize) {
	t.Logf("%+v", *s)
	ctx := context.Background()
	rows := emulator.NewStore(1)
	if s.rowBytes > 0 {
		rows.SetRowBytes(s.rowBytes)
	}
	l := &ledger.Ledger{Store: rows.For("box-1", &emulator.Gate{}), Shard: "main", RowBytes: s.rowBytes}
	term, err := l.Claim(ctx, "box-1/a", ledger.Lease{}, time.Now())
	quicktest.Assert(t, err, quicktest.IsNil)
	check := func(p *job.Progress) {
		_, _, overflow := l.Measure(p)
		quicktest.Assert(t, term.Commit(ctx, &ledger.Batch{Progress: map[job.ID]*job.Progress{"a": p, "b": {State: job.Queued}}}), quicktest.IsNil)
		quicktest.Assert(t, rows.Rows("overflow"), quicktest.Equals, overflow)
		p.OverflowRows = overflow
		all, err := l.Progress(ctx)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, all["a"], quicktest.DeepEquals, p)
		one, err := l.ProgressOf(ctx, "a")
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, one, quicktest.DeepEquals, p)
	}
	p := s.progress()
	check(p)
	for i := range p.Tasks {
		p.Tasks[i].State, p.Tasks[i].Worker.Worker, p.Tasks[i].Saved = job.Finished, "w", ""
	}
	check(p)
	p = s.progress()
	check(p)
	quicktest.Assert(t, term.Commit(ctx, &ledger.Batch{Delete: []ledger.JobDeletion{ledger.DeletionOf("a", p)}}), quicktest.IsNil)
	quicktest.Assert(t, rows.Rows("overflow"), quicktest.Equals, 0)
}

// TestOutdatedOverflowIsIgnored fails if overflow that a box of an earlier version left behind, as it does not know the
// table, replaces progress that it wrote later.
func TestOutdatedOverflowIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		size := progressSize{tasks: 3, nameBytes: 100, savedBytes: 10, workers: 2, rowBytes: 400}
		rows := emulator.NewStore(1).For("box-1", &emulator.Gate{})
		l := &ledger.Ledger{Store: rows, Shard: "main", RowBytes: size.rowBytes}
		term, err := l.Claim(ctx, "box-1/a", ledger.Lease{}, time.Now())
		quicktest.Assert(t, err, quicktest.IsNil)
		p := size.progress()
		quicktest.Assert(t, term.Commit(ctx, &ledger.Batch{Progress: map[job.ID]*job.Progress{"a": p}}), quicktest.IsNil)
		p.Tasks[0].Run, p.Tasks[1].Worker.Worker, p.Tasks[2].Saved = 9, "w", "later"
		l.RowBytes = 0
		quicktest.Assert(t, term.Commit(ctx, &ledger.Batch{Progress: map[job.ID]*job.Progress{"a": p}}), quicktest.IsNil)
		all, err := l.Progress(ctx)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, all["a"].Tasks, quicktest.DeepEquals, p.Tasks)
	})
}

// TestSummariesOfAnySizeAreStored fails if the store refuses a batch because many queues have pending jobs or a long wait,
// many workspaces hold too much memory, or workers with long names share a row of addresses.
func TestSummariesOfAnySizeAreStored(t *testing.T) {
	for _, n := range []int{10, 1000, 20000} {
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			l := &ledger.Ledger{Store: emulator.NewStore(1).For("box-1", &emulator.Gate{}), Shard: "main"}
			term, err := l.Claim(ctx, "box-1/a", ledger.Lease{}, time.Now())
			quicktest.Assert(t, err, quicktest.IsNil)
			b := ledger.Batch{Summary: &ledger.Summary{Pending: map[string]int{"most": 1 << 20}}, Load: longLoad(n), Addresses: map[int]ledger.Addresses{0: {}}}
			for i := range n {
				b.Summary.Pending[fmt.Sprintf("queue-with-a-long-name-%05d", i)] = i
				b.Addresses[0][incarnation.ID{Worker: fmt.Sprintf("%0191d", i), Born: 1792504406446}] = "10.123.45.67:12345"
			}
			quicktest.Assert(t, term.Commit(ctx, &b), quicktest.IsNil)
			summary, err := l.Summary(ctx)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Check(t, summary.Pending["most"], quicktest.Equals, 1<<20)
			quicktest.Check(t, len(summary.Pending) >= min(n, 500), quicktest.IsTrue)
			_, _, err = l.Load(ctx)
			quicktest.Check(t, err, quicktest.IsNil)
			addresses, err := l.Addresses(ctx)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Check(t, len(addresses) >= min(n, 200), quicktest.IsTrue)
		})
	}
}

// longLoad returns the load of so many queues with long waits and workspaces that hold too much memory.
func longLoad(n int) *admission.Load {
	load := &admission.Load{Made: 1700000000004, Queues: map[string]admission.Queue{}, Full: admission.Full{Made: 1700000000004}}
	for i := range n {
		q := admission.Queue{RunTimeRatio: 1200}
		for k := range q.Waits {
			q.Waits[k] = admission.Wait{Ms: 20_000_000, Least: job.Resources{MilliCPU: 150000, MemoryMB: 512000, Accelerators: 1}}
		}
		load.Queues[fmt.Sprintf("queue-with-a-long-name-%05d", i)] = q
		load.Full.Workspaces = append(load.Full.Workspaces, fmt.Sprintf("workspace-with-a-long-name-%05d", i))
	}
	return load
}

// TestTooLargeRequestIsRefusedAtOnce fails if a request that the store refuses for its size is tried again, as if the
// store were down: its caller would wait and then be told to come back.
func TestTooLargeRequestIsRefusedAtOnce(t *testing.T) {
	for _, rowBytes := range []int{0, 65536, 300} {
		synctest.Test(t, func(t *testing.T) {
			rows := emulator.NewStore(1)
			rows.SetRowBytes(300)
			l := &ledger.Ledger{Store: rows.For("box-1", &emulator.Gate{}), Shard: "main", RowBytes: rowBytes}
			began := time.Now()
			err := l.Submit(context.Background(), &job.Request{ID: "a", Payload: strings.Repeat("p", 400), Steps: []job.Step{{Count: 1}}})
			quicktest.Check(t, err, quicktest.ErrorIs, ledger.ErrTooLarge)
			quicktest.Check(t, time.Since(began) < 20*time.Millisecond, quicktest.IsTrue)
		})
	}
}
