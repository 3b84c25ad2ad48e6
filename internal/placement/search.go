package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/pulleyring/pulleyring/internal/job"
)

// preemptionPlan is a set of allocations to stop and the workers on which the demand then fits.
type preemptionPlan struct {
	workers map[int]string // Worker by task index.
	stops   []int          // Indexes of the allocations to stop.
	moves   []Move         // Where stopped guaranteed work starts again.
	cost    float64        // Cost of all stops, in core-seconds.
}

// search holds the state of one search for allocations to stop. The cost of each candidate is cached and
// computed again only where capacity has changed: without the cache a decision for 1,100 workers and 20,000
// waiting tasks took 1.3 s, and delayed the scheduler by 0.2 s during a burst.
type search struct {
	demand      *Demand
	free        []job.Resources // By worker: free capacity after the stops chosen so far.
	included    []bool          // By worker: searched and suitable.
	fitting     int             // Number of waiting tasks that fit into free.
	candidateOf []int           // By allocation: number of the latest search in which it may be stopped; 0 once chosen.
	number      int             // Number of this search, from 1.
	candidates  []int           // Indexes of the allocations that may still be stopped.
	costPerTask []float64       // By candidate allocation: cost of stopping it for each task that then fits.
}

// maxRacksSearched limits the racks that are searched for preemption for one demand in one decision. Those
// with the most free capacity come first, as they need the fewest stops. A site of 48 workers has 6 racks.
// With 138 racks a decision over 2,000 waiting tasks takes 27 ms with the limit and 30 ms without
// (BenchmarkDecide).
const maxRacksSearched = 24

// racksToSearch returns the racks in which to search for preemption for a demand.
func (pl *planner) racksToSearch(d *Demand) [][]int {
	if len(pl.workersByRack) <= maxRacksSearched {
		return pl.workersByRack
	}
	type rackFit struct {
		rack []int
		fit  int
	}
	var list []rackFit
	for _, rack := range pl.workersByRack {
		if !pl.fitsWhenEmpty(d, rack) {
			continue
		}
		fit := 0
		for _, k := range rack {
			fit += pl.fittingTasks(d, k, pl.free[k].Add(pl.capacityFreeSoonByWorker[k]))
		}
		list = append(list, rackFit{rack, fit})
	}
	slices.SortStableFunc(list, func(x, y rackFit) int { return cmp.Compare(y.fit, x.fit) })
	racks := make([][]int, 0, maxRacksSearched)
	for _, f := range list[:min(len(list), maxRacksSearched)] {
		racks = append(racks, f.rack)
	}
	return racks
}

// planPreemption returns a cheap set of allocations to stop so that all waiting tasks of a demand fit onto the
// given workers. Until all tasks fit, it adds the allocation whose stop costs least for each further task that
// then fits. It returns nil if the tasks don't fit even with all candidates stopped.
func (pl *planner) planPreemption(d *Demand, among []int) *preemptionPlan {
	pl.beginSearch(d, among)
	if !pl.fitsWithAllStopped(d, among) {
		return nil
	}
	p := &preemptionPlan{}
	for pl.search.fitting < len(d.Waiting) {
		position := pl.cheapestCandidate()
		if position < 0 {
			return nil
		}
		h := pl.search.candidates[position]
		pl.search.candidates = slices.Delete(pl.search.candidates, position, position+1)
		pl.search.candidateOf[h] = 0
		pl.addFreedCapacity(h)
		p.stops = append(p.stops, h)
		p.cost += pl.preemptionCost(&pl.view.Allocations[h])
	}
	p.stops = pl.removeUnneededStops(d, p)
	p.workers = pl.assignTasks(d, pl.fasterFirst(among), pl.search.free)
	return p
}

// beginSearch resets the search to the present free capacity and collects the candidates to stop.
func (pl *planner) beginSearch(d *Demand, among []int) {
	s := &pl.search
	if s.free == nil {
		s.free, s.included = make([]job.Resources, len(pl.free)), make([]bool, len(pl.free))
		s.candidateOf, s.costPerTask = make([]int, len(pl.view.Allocations)), make([]float64, len(pl.view.Allocations))
	}
	clear(s.included)
	s.demand, s.fitting, s.candidates = d, 0, s.candidates[:0]
	s.number++
	for _, k := range among {
		s.free[k] = pl.free[k].Add(pl.capacityFreeSoonByWorker[k])
		if !pl.isSuitable(k) {
			continue
		}
		s.included[k] = true
		s.fitting += pl.fittingTasks(d, k, s.free[k])
		for _, h := range pl.allocationsOnWorker[k] {
			if s.candidateOf[h] != s.number && pl.isCandidate(d, h) {
				s.candidateOf[h] = s.number
				s.candidates = append(s.candidates, h)
			}
		}
	}
	for _, h := range s.candidates {
		s.costPerTask[h] = pl.costPerFittingTask(h)
	}
}

// isCandidate reports whether an allocation may be stopped for a demand.
func (pl *planner) isCandidate(d *Demand, h int) bool {
	allocation := &pl.view.Allocations[h]
	return !pl.stoppedAllocations[h] && !allocation.Stopping && !allocation.Guaranteed && !pl.endsSoon(h) && pl.mayPreempt(d, allocation)
}

// fitsWithAllStopped reports whether a demand would fit on the given workers if all candidates were stopped. If
// not, the search is skipped, which is so in most racks. A decision for 350 workers and 5,000 waiting tasks
// took 186 ms without this check and 32 ms with it.
func (pl *planner) fitsWithAllStopped(d *Demand, among []int) bool {
	s := &pl.search
	fitting := 0
	for _, k := range among {
		if !s.included[k] {
			continue
		}
		free := s.free[k]
		for _, h := range pl.allocationsOnWorker[k] {
			if s.candidateOf[h] == s.number {
				free = free.Add(pl.view.Allocations[h].Each)
			}
		}
		fitting += pl.fittingTasks(d, k, free)
	}
	return fitting >= len(d.Waiting)
}

// capacityFreeSoon returns the capacity of a worker that comes free within the time that a stop takes. It does
// not include capacity freed by the stops of this decision.
func (pl *planner) capacityFreeSoon(k int) job.Resources {
	free := pl.view.Workers[k].Freeing
	for _, h := range pl.allocationsOnWorker[k] {
		if pl.endsSoon(h) {
			free = free.Add(pl.view.Allocations[h].Each)
		}
	}
	return free
}

// endsSoon reports whether an allocation ends by itself within the time that a stop takes, judging by reported
// progress. Declared run times don't count.
func (pl *planner) endsSoon(h int) bool {
	allocation := &pl.view.Allocations[h]
	return allocation.RemainingReported && !allocation.Stopping && !pl.stoppedAllocations[h] && allocation.Remaining <= pl.view.Policy.MaxStopTime
}

// addFreedCapacity adds an allocation's resources to the free capacity of the search, as if it had been
// stopped. It also updates the cost of the candidates on the same workers.
func (pl *planner) addFreedCapacity(h int) {
	pl.updateCapacity(h, job.Resources.Add)
	s := &pl.search
	for _, k := range pl.view.Allocations[h].WorkerIndexes {
		if !s.included[k] {
			continue
		}
		for _, other := range pl.allocationsOnWorker[k] {
			if s.candidateOf[other] == s.number {
				s.costPerTask[other] = pl.costPerFittingTask(other)
			}
		}
	}
}

// updateCapacity applies change, which adds or subtracts, to the free capacity of the search for each task of
// an allocation.
func (pl *planner) updateCapacity(h int, change func(free, each job.Resources) job.Resources) {
	s := &pl.search
	for _, k := range pl.view.Allocations[h].WorkerIndexes {
		if s.included[k] {
			s.fitting -= pl.fittingTasks(s.demand, k, s.free[k])
			s.free[k] = change(s.free[k], pl.view.Allocations[h].Each)
			s.fitting += pl.fittingTasks(s.demand, k, s.free[k])
		}
	}
}

// assignTasks assigns all waiting tasks to workers; the given capacity is enough for them.
func (pl *planner) assignTasks(d *Demand, among []int, free []job.Resources) map[int]string {
	workers := make(map[int]string, len(d.Waiting))
	for _, k := range among {
		for range pl.fittingTasks(d, k, free[k]) {
			if len(workers) == len(d.Waiting) {
				return workers
			}
			workers[d.Waiting[len(workers)]] = pl.view.Workers[k].ID
		}
	}
	return workers
}

// cheapestCandidate returns the position in the candidates of the one whose stop costs least for each task that
// then fits. It returns -1 if no candidate is left that helps.
func (pl *planner) cheapestCandidate() int {
	best, bestCost := -1, math.Inf(1)
	for i, h := range pl.search.candidates {
		if cost := pl.search.costPerTask[h]; cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// costPerFittingTask returns the cost of stopping a candidate for each further task that then fits, or infinity
// if none does.
func (pl *planner) costPerFittingTask(h int) float64 {
	gain := pl.fittingTasksGained(h)
	if gain <= 0 {
		return math.Inf(1)
	}
	return (pl.preemptionCost(&pl.view.Allocations[h]) + 1) / gain
}

// fittingTasksGained returns how many more tasks of the demand fit once an allocation has ended. Capacity that
// is enough for only a part of a task counts as a fraction of it. So allocations that only together free enough
// for one task are found too.
func (pl *planner) fittingTasksGained(h int) float64 {
	s := &pl.search
	d := s.demand
	sum := 0.0
	need := max(d.Step.Each.Cores(), 1)
	each := pl.view.Allocations[h].Each
	for _, k := range pl.view.Allocations[h].WorkerIndexes {
		if !s.included[k] {
			continue
		}
		before := pl.fittingTasks(d, k, s.free[k])
		sum += float64(pl.fittingTasks(d, k, s.free[k].Add(each)) - before)
		if before < len(d.Waiting) {
			sum += partialTaskWeight * each.Cores() / need
		}
	}
	return sum
}

// partialTaskWeight is the weight of capacity for a part of a task, where a whole task counts as 1.
const partialTaskWeight = 0.1

// removeUnneededStops returns the stops of a plan without those that turn out to be unnecessary. It subtracts
// their cost from the plan and the capacity that they would free from the search.
func (pl *planner) removeUnneededStops(d *Demand, p *preemptionPlan) []int {
	var kept []int
	for _, h := range p.stops {
		pl.updateCapacity(h, job.Resources.Sub)
		if pl.search.fitting >= len(d.Waiting) {
			p.cost -= pl.preemptionCost(&pl.view.Allocations[h])
			continue
		}
		pl.updateCapacity(h, job.Resources.Add)
		kept = append(kept, h)
	}
	return kept
}
