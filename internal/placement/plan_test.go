package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"pgregory.net/rapid"
)

// TestPlansEqualThoseReckonedAnew compares preemption plans, which are computed with cached sums,
// with plans that are computed from scratch for each choice. It fails if a cached sum is stale after a
// choice.
func TestPlansEqualThoseReckonedAnew(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := drawView(r)
		pl := newPlanner(v)
		d := &v.Demands[0]
		pl.setCurrentDemand(d)
		for _, among := range append([][]int{pl.allWorkers}, pl.workersByRack...) {
			got, want := pl.planPreemption(d, among), planFromScratch(pl, d, among)
			if (got == nil) != (want == nil) {
				r.Fatalf("%v, want %v", got, want)
			}
			if got != nil && (!slices.Equal(got.stops, want.stops) || !maps.Equal(got.workers, want.workers)) {
				r.Fatalf("%v, want %v", got, want)
			}
		}
	})
}

// drawView draws a full site and one urgent gang.
func drawView(r *rapid.T) *View {
	v := &View{Now: time.Unix(1000, 0), Policy: Policy{RemoteFactor: 3, GuaranteedStartLimit: 3 * time.Second, MaxStopTime: time.Second, WasteCost: 0.0015}}
	for k := range rapid.IntRange(1, 12).Draw(r, "workers") {
		w := Worker{ID: fmt.Sprint("w", k), Service: "s", Rack: fmt.Sprint("r", k/4), Capacity: gpus(8), Free: gpus(8)}
		w.AcceptsRuns = rapid.IntRange(0, 5).Draw(r, "usable") > 0
		v.Workers = append(v.Workers, w)
	}
	for n := range rapid.IntRange(0, 30).Draw(r, "holdings") {
		allocation := Allocation{Job: job.ID(fmt.Sprint("h", n)), Priority: rapid.IntRange(0, 2).Draw(r, "priority"), RemainingReported: rapid.Bool().Draw(r, "known")}
		allocation.Each = gpus(rapid.SampledFrom([]int64{1, 2, 4}).Draw(r, "each"))
		allocation.LostWork, allocation.Remaining = float64(rapid.IntRange(0, 50).Draw(r, "loss")), time.Duration(rapid.IntRange(0, 4000).Draw(r, "ms"))*time.Millisecond
		for range rapid.IntRange(1, 5).Draw(r, "tasks") {
			k := rapid.IntRange(0, len(v.Workers)-1).Draw(r, "on")
			if v.Workers[k].Free.Fits(allocation.Each) {
				v.Workers[k].Free = v.Workers[k].Free.Sub(allocation.Each)
				allocation.WorkerIndexes = append(allocation.WorkerIndexes, k)
			}
		}
		if len(allocation.WorkerIndexes) > 0 {
			v.Allocations = append(v.Allocations, allocation)
		}
	}
	d := Demand{Job: "d", Service: "s", Step: &job.Step{Each: gpus(rapid.SampledFrom([]int64{1, 2, 4, 8}).Draw(r, "asked")), Gang: true}}
	for i := range rapid.IntRange(1, 8).Draw(r, "waiting") {
		d.Waiting = append(d.Waiting, i)
	}
	v.Demands = []Demand{d}
	return v
}

// planFromScratch is planPreemption without cached sums.
func planFromScratch(pl *planner, d *Demand, among []int) *preemptionPlan {
	var candidates []int
	for _, k := range among {
		for _, h := range pl.allocationsOnWorker[k] {
			if pl.isSuitable(k) && pl.isCandidate(d, h) && !slices.Contains(candidates, h) {
				candidates = append(candidates, h)
			}
		}
	}
	if !fitsWithout(pl, d, among, candidates) {
		return nil
	}
	var stops []int
	for !fitsWithout(pl, d, among, stops) {
		position := cheapestFromScratch(pl, d, among, stops, candidates)
		if position < 0 {
			return nil
		}
		stops = append(stops, candidates[position])
		candidates = slices.Delete(candidates, position, position+1)
	}
	for _, h := range slices.Clone(stops) {
		without := slices.DeleteFunc(slices.Clone(stops), func(o int) bool { return o == h })
		if fitsWithout(pl, d, among, without) {
			stops = without
		}
	}
	if len(stops) == 0 {
		stops = nil
	}
	return &preemptionPlan{stops: stops, workers: pl.assignTasks(d, among, capacityWithout(pl, stops))}
}

// capacityWithout returns the free capacity by worker once the given allocations have ended.
func capacityWithout(pl *planner, stops []int) []job.Resources {
	free := make([]job.Resources, len(pl.free))
	for k := range free {
		free[k] = pl.free[k].Add(pl.capacityFreeSoonByWorker[k])
	}
	for _, h := range stops {
		for _, k := range pl.view.Allocations[h].WorkerIndexes {
			free[k] = free[k].Add(pl.view.Allocations[h].Each)
		}
	}
	return free
}

// fitsWithout reports whether a demand fits once the given allocations have ended.
func fitsWithout(pl *planner, d *Demand, among, stops []int) bool {
	return pl.fittingTasksAmong(d, among, capacityWithout(pl, stops)) >= len(d.Waiting)
}

// cheapestFromScratch returns the position of the candidate with the lowest cost for each task that then
// fits, or -1 if there is none.
func cheapestFromScratch(pl *planner, d *Demand, among, stops, candidates []int) int {
	free := capacityWithout(pl, stops)
	best, bestCost := -1, 0.0
	for i, h := range candidates {
		gain := 0.0
		each := pl.view.Allocations[h].Each
		for _, k := range pl.view.Allocations[h].WorkerIndexes {
			if !slices.Contains(among, k) || !pl.isSuitable(k) {
				continue
			}
			before := pl.fittingTasks(d, k, free[k])
			gain += float64(pl.fittingTasks(d, k, free[k].Add(each)) - before)
			if before < len(d.Waiting) {
				gain += partialTaskWeight * each.Cores() / max(d.Step.Each.Cores(), 1)
			}
		}
		if cost := (pl.preemptionCost(&pl.view.Allocations[h]) + 1) / gain; gain > 0 && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
	}
	return best
}
