package scheduler

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/placement"
	"github.com/pulleyring/pulleyring/internal/queue"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// TestKeptViewEqualsOneCollectedAnew applies random events of jobs, runs and workers. It fails if the view that is
// updated with each event then differs from a view that is built from scratch.
func TestKeptViewEqualsOneCollectedAnew(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := offlineShard()
		for n := range rapid.IntRange(1, 40).Draw(r, "events") {
			drawEvent(r, h, n)
			if rapid.IntRange(0, 2).Draw(r, "look") == 0 {
				compareView(r, h)
			}
		}
		compareView(r, h)
	})
}

// offlineShard returns a shard without a store and without connections to workers.
func offlineShard() *shard {
	none := func() *queue.Configuration { return nil }
	return newShard(context.Background(), &Scheduler{Log: zap.NewNop(), Configuration: none, Ledger: &ledger.Ledger{}}, nil)
}

// drawEvent applies a random event to the shard.
func drawEvent(r *rapid.T, h *shard, n int) {
	now := time.Now()
	switch rapid.SampledFrom([]string{"worker", "job", "place", "place", "end", "stop", "tell", "leave"}).Draw(r, "event") {
	case "worker":
		id := fmt.Sprintf("w%d", rapid.IntRange(0, 99).Draw(r, "name"))
		if h.workers[id] == nil {
			h.workers[id] = workerOf(&fleet.Worker{ID: id, Capacity: job.Resources{Accelerators: 8}})
			h.sortedWorkers = nil
		}
	case "job":
		id := job.ID(fmt.Sprint("j", n))
		step := job.Step{Count: rapid.IntRange(1, 4).Draw(r, "tasks"), Each: job.Resources{Accelerators: 1}, Estimate: time.Second, Gang: rapid.Bool().Draw(r, "gang")}
		h.addJob(&job.Request{ID: id, Steps: []job.Step{step}, Terms: job.Terms{Attempts: 9}}, nil)
	case "place":
		drawPlacement(r, h, now)
	case "end":
		if x := drawRun(r, h); x != nil {
			outcome := rapid.SampledFrom([]job.Outcome{job.Succeeded, job.FailedRun, job.Stopped, job.NeverRan}).Draw(r, "outcome")
			h.endRun(x.worker, x, outcome, "")
		}
	case "stop":
		if x := drawRun(r, h); x != nil {
			h.stop(x.worker, x, "drawn")
		}
	case "tell":
		if x := drawRun(r, h); x != nil {
			h.recordRunning(x.worker, &fleet.Run{Task: x.task, Run: x.number, Done: rapid.Float64Range(0, 1).Draw(r, "done")})
		}
	case "leave":
		if len(h.workers) > 0 {
			id := rapid.SampledFrom(slices.Sorted(maps.Keys(h.workers))).Draw(r, "leaving")
			h.declareLost(h.workers[id], leasesExpired)
		}
	}
}

// drawPlacement places a random waiting group on random workers.
func drawPlacement(r *rapid.T, h *shard, now time.Time) {
	view := h.updateView(now)
	if len(view.Demands) == 0 || len(view.Workers) == 0 {
		return
	}
	d := view.Demands[rapid.IntRange(0, len(view.Demands)-1).Draw(r, "demand")]
	workers := map[int]string{}
	for _, i := range d.Waiting {
		workers[i] = view.Workers[rapid.IntRange(0, len(view.Workers)-1).Draw(r, "on")].ID
	}
	h.place(&d, workers, now)
}

// drawRun returns a random run that has not ended, or nil if there is none.
func drawRun(r *rapid.T, h *shard) *run {
	var all []*run
	for _, id := range slices.Sorted(maps.Keys(h.workers)) {
		w := h.workers[id]
		names := slices.SortedFunc(maps.Keys(w.runs), func(x, y job.Task) int { return slices.Compare([]byte(x.String()), []byte(y.String())) })
		for _, name := range names {
			all = append(all, w.runs[name])
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(r, "run")]
}

// wantAllocation is the expected view of an allocation.
type wantAllocation struct {
	workers  []string // Sorted names, one for each task; a name may occur several times.
	stopping bool
}

// compareView checks the updated view against one that is built from the workers' runs.
func compareView(r *rapid.T, h *shard) {
	view := h.updateView(time.Now())
	want := map[string]*wantAllocation{}
	for _, id := range slices.Sorted(maps.Keys(h.workers)) {
		w := h.workers[id]
		used, freeing := job.Resources{}, job.Resources{}
		for _, x := range w.runs {
			used = used.Add(x.each)
			if x.stopping {
				freeing = freeing.Add(x.each)
			}
			key := allocationKey(x.task.Job, x.group(), x.task.Index, x.job)
			if want[key] == nil {
				want[key] = &wantAllocation{}
			}
			want[key].workers = append(want[key].workers, id)
			want[key].stopping = want[key].stopping || x.stopping
		}
		at, ok := slices.BinarySearchFunc(view.Workers, id, func(w placement.Worker, id string) int { return slices.Compare([]byte(w.ID), []byte(id)) })
		if !ok || view.Workers[at].Free != w.Capacity.Sub(used) || view.Workers[at].Freeing != freeing {
			r.Fatalf("worker %s: %+v, want used %v freeing %v", id, view.Workers, used, freeing)
		}
	}
	if len(view.Workers) != len(h.workers) || len(view.Allocations) != len(want) {
		r.Fatalf("%d workers and %d allocations, want %d and %d", len(view.Workers), len(view.Allocations), len(h.workers), len(want))
	}
	for i := range view.Allocations {
		compareAllocation(r, h, view, i, want)
	}
}

// allocationKey returns the key of the allocation that a run belongs to.
func allocationKey(id job.ID, g job.Group, index int, j *trackedJob) string {
	if j.Request.Steps[g.Step].Gang {
		index = -1
	}
	return fmt.Sprint(id, g, index)
}

// compareAllocation checks an allocation of the view against the expected one and against its runs' expected ends.
func compareAllocation(r *rapid.T, h *shard, view *placement.View, i int, want map[string]*wantAllocation) {
	got := &view.Allocations[i]
	first := h.allocations.list[i].runs[0]
	expected := want[allocationKey(got.Job, got.Group, first.task.Index, first.job)]
	if expected == nil {
		r.Fatalf("no runs for allocation %+v", got)
	}
	var on []string
	for _, seat := range got.WorkerIndexes {
		on = append(on, view.Workers[seat].ID)
	}
	slices.Sort(on)
	if !slices.Equal(on, expected.workers) || expected.stopping && !got.Stopping {
		r.Fatalf("allocation %+v on workers %v, want %+v", got, on, expected)
	}
	ends, knownUntil := time.Time{}, time.Time{}
	for n, x := range h.allocations.list[i].runs {
		end, known := h.expectedEnd(x)
		if end.After(ends) {
			ends = end
		}
		if n == 0 || known.Before(knownUntil) {
			knownUntil = known
		}
	}
	// If not all runs have reported progress, the end is computed from the estimates as of the last event that changed
	// the allocation. It is not compared then.
	if got.RemainingReported != !view.Now.After(knownUntil) || got.RemainingReported && got.Remaining != max(ends.Sub(view.Now), 0) {
		r.Fatalf("allocation %+v, want end %v known until %v", got, ends, knownUntil)
	}
}
