package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/pulleyring/pulleyring/internal/job"
)

// Move says where the tasks of a stopped allocation are to start again.
type Move struct {
	Allocation int      // Index of the allocation, which is also stopped.
	Workers    []string // Worker by position in Allocation.WorkerIndexes.
}

// mayRelocate reports whether other guaranteed work may be moved for a demand. It may when the demand must start soon; a
// gang that needs one rack is spread over racks instead if it then fits.
func (pl *planner) mayRelocate(d *Demand) bool {
	if d.Step.Gang && d.Step.RackLocal && !pl.mustCrossRacks(d) {
		return false
	}
	return pl.mustPreemptForGuarantee(d)
}

// planRelocation returns a plan for a guaranteed demand that fits only if other guaranteed work is moved; nil if there is
// none. The capacity that is owned is less than the site's, but small tasks that are scattered over the workers can leave
// none of them with enough free for a larger task.
func (pl *planner) planRelocation(d *Demand) *preemptionPlan {
	if !d.Step.Gang || !d.Step.RackLocal {
		return pl.relocate(d, pl.allWorkers)
	}
	for _, rack := range pl.racksToSearch(d) {
		if p := pl.relocate(d, rack); p != nil {
			return p
		}
	}
	return pl.relocate(d, pl.allWorkers)
}

// relocation is the state of the search for a plan that moves guaranteed work. Tasks are placed in order of their size,
// the largest first. A task takes the place of borrowed work and of smaller guaranteed tasks, which are then placed in
// turn. Guaranteed tasks of any sizes thus fit if they do when they are packed by size.
type relocation struct {
	*planner
	demand  *Demand
	among   []int           // Workers for the demand.
	free    []job.Resources // By worker: capacity that is free soon, less that of placed tasks.
	evicted []bool          // By allocation.
	stops   []int           // Evicted allocations.
	queue   []relocatedTask // Tasks that are not placed yet.
	placed  []relocatedTask
	cost    float64
}

// relocatedTask is a task of the demand or of an evicted allocation.
type relocatedTask struct {
	allocation int // Index of the allocation; -1 for a task of the demand.
	position   int // Position in the allocation's WorkerIndexes, or in the demand's Waiting.
	each       job.Resources
	worker     int // Where it is placed.
}

// demandTask is the allocation index of the tasks of the demand.
const demandTask = -1

// moveCostFactor is the factor on the cost of stopping guaranteed work, so that borrowed work is preferred.
const moveCostFactor = 4

// relocate returns a plan that places all waiting tasks of a demand on the given workers; nil if there is none.
func (pl *planner) relocate(d *Demand, among []int) *preemptionPlan {
	l := &relocation{planner: pl, demand: d, among: among, free: make([]job.Resources, len(pl.free)), evicted: make([]bool, len(pl.view.Allocations))}
	for k := range l.free {
		l.free[k] = pl.free[k].Add(pl.capacityFreeSoonByWorker[k])
	}
	if !l.couldFit() {
		return nil
	}
	for n := range d.Waiting {
		l.queue = append(l.queue, relocatedTask{demandTask, n, d.Step.Each, 0})
	}
	for len(l.queue) > 0 {
		t := l.takeLargest()
		if !l.place(&t) {
			return nil
		}
		l.placed = append(l.placed, t)
	}
	return l.plan()
}

// couldFit reports whether what is free or borrowed is as much as the demand needs, however it lies.
func (l *relocation) couldFit() bool {
	var left job.Resources
	for k := range l.free {
		left = left.Add(l.free[k])
		for _, h := range l.allocationsOnWorker[k] {
			if l.isCandidate(l.demand, h) {
				left = left.Add(l.view.Allocations[h].Each)
			}
		}
	}
	for range l.demand.Waiting {
		left = left.Sub(l.demand.Step.Each)
	}
	return left.Fits(job.Resources{})
}

// takeLargest removes the largest task from the queue and returns it.
func (l *relocation) takeLargest() relocatedTask {
	best := 0
	for i := range l.queue {
		if compareSizes(l.queue[i].each, l.queue[best].each) > 0 {
			best = i
		}
	}
	t := l.queue[best]
	l.queue = slices.Delete(l.queue, best, best+1)
	return t
}

// compareSizes orders tasks by their accelerators, then by all resources.
func compareSizes(x, y job.Resources) int {
	return cmp.Or(cmp.Compare(x.Accelerators, y.Accelerators), cmp.Compare(x.Cores(), y.Cores()), cmp.Compare(x.MemoryMB, y.MemoryMB))
}

// place places a task where it fits without evictions, else on the worker where they cost least. It reports whether there
// is such a worker.
func (l *relocation) place(t *relocatedTask) bool {
	if t.allocation == demandTask {
		return l.placeAmong(t, l.among)
	}
	if rack := l.rackOfGang(t); rack != nil && l.placeAmong(t, rack) {
		return true
	}
	return l.placeAmong(t, l.allWorkers)
}

func (l *relocation) placeAmong(t *relocatedTask, among []int) bool {
	if k := l.fullestFitting(t, among); k >= 0 {
		l.occupy(t, k)
		return true
	}
	best, bestCost := -1, math.Inf(1)
	var bestEvictions []int
	for _, k := range among {
		if !l.mayPlace(t, k) {
			continue
		}
		if evictions, cost, ok := l.evictionsFor(t, k); ok && cost < bestCost {
			best, bestCost, bestEvictions = k, cost, evictions
		}
	}
	if best < 0 {
		return false
	}
	for _, h := range bestEvictions {
		l.evict(h)
	}
	l.occupy(t, best)
	l.cost += bestCost
	return true
}

// fullestFitting returns the worker with the fewest free accelerators on which a task fits; -1 if there is none.
func (l *relocation) fullestFitting(t *relocatedTask, among []int) int {
	best := -1
	for _, k := range among {
		if l.free[k].Fits(t.each) && (best < 0 || l.free[k].Accelerators < l.free[best].Accelerators) && l.mayPlace(t, k) {
			best = k
		}
	}
	return best
}

func (l *relocation) occupy(t *relocatedTask, k int) {
	t.worker = k
	l.free[k] = l.free[k].Sub(t.each)
}

// rackOfGang returns the workers of the rack in which the first members of a task's gang are placed, if the gang needs one
// rack.
func (l *relocation) rackOfGang(t *relocatedTask) []int {
	if s := l.view.Allocations[t.allocation].Step; !s.Gang || !s.RackLocal {
		return nil
	}
	for i := range l.placed {
		if l.placed[i].allocation == t.allocation {
			return l.workersInRack(l.view.Workers[l.placed[i].worker].Rack)
		}
	}
	return nil
}

// mayPlace reports whether a task may run on a worker, whatever runs there.
func (l *relocation) mayPlace(t *relocatedTask, k int) bool {
	if t.allocation == demandTask {
		return l.isSuitable(k) && l.isBelowMostPerWorker(l.demand.Step.MostPerWorker, l.demand.Placed[l.view.Workers[k].ID], demandTask, k)
	}
	a := &l.view.Allocations[t.allocation]
	shape := ShapeOf(a.Service, a.Step)
	return l.view.Workers[k].mayRun(&shape) && (a.Step.MostPerWorker == 0 || l.isBelowMostPerWorker(a.Step.MostPerWorker, l.tasksOfGroup(a, k), t.allocation, k))
}

// tasksOfGroup returns how many tasks of an allocation's group stay on a worker.
func (l *relocation) tasksOfGroup(a *Allocation, k int) int {
	n := 0
	for _, h := range l.allocationsOnWorker[k] {
		if o := &l.view.Allocations[h]; o.Job == a.Job && o.Group == a.Group && !l.evicted[h] {
			n++
		}
	}
	return n
}

// isBelowMostPerWorker reports whether another task of an allocation's group may be placed on a worker that runs some.
func (l *relocation) isBelowMostPerWorker(most, running, allocation, k int) bool {
	if most == 0 {
		return true
	}
	for i := range l.placed {
		if p := &l.placed[i]; p.worker == k && l.isSameGroup(p.allocation, allocation) {
			running++
		}
	}
	return running < most
}

func (l *relocation) isSameGroup(x, y int) bool {
	if x == demandTask || y == demandTask {
		return x == y
	}
	a, b := &l.view.Allocations[x], &l.view.Allocations[y]
	return a.Job == b.Job && a.Group == b.Group
}

// evictionsFor returns the allocations to evict so that a task fits on a worker, and their cost. It returns false if the
// task does not fit even without all of them.
func (l *relocation) evictionsFor(t *relocatedTask, k int) (evictions []int, cost float64, ok bool) {
	free := l.free[k]
	for _, h := range l.evictable(t, k) {
		evictions = append(evictions, h)
		free = free.Add(l.resourcesOn(h, k))
		if free.Fits(t.each) {
			break
		}
	}
	if !free.Fits(t.each) {
		return nil, 0, false
	}
	for i := len(evictions) - 1; i >= 0; i-- { // The last one is needed, but those before it may not be.
		if without := free.Sub(l.resourcesOn(evictions[i], k)); without.Fits(t.each) {
			free = without
			evictions = slices.Delete(evictions, i, i+1)
		}
	}
	for _, h := range evictions {
		cost += l.evictionCost(h)
	}
	return evictions, cost, true
}

// evictable returns the allocations on a worker that may be evicted for a task, the cheapest first, without duplicates.
func (l *relocation) evictable(t *relocatedTask, k int) []int {
	var list []int
	for _, h := range l.allocationsOnWorker[k] {
		if !l.evicted[h] && !slices.Contains(list, h) && (l.isCandidate(l.demand, h) || l.isMovable(t, h)) {
			list = append(list, h)
		}
	}
	slices.SortStableFunc(list, func(x, y int) int { return cmp.Compare(l.evictionCost(x), l.evictionCost(y)) })
	return list
}

// isMovable reports whether a guaranteed allocation may be moved for a task. Only smaller ones may, so that the search
// ends.
func (l *relocation) isMovable(t *relocatedTask, h int) bool {
	a := &l.view.Allocations[h]
	return a.Guaranteed && a.Step != nil && !a.Stopping && !l.stoppedAllocations[h] && !l.endsSoon(h) && compareSizes(a.Each, t.each) < 0
}

// resourcesOn returns the resources of an allocation's tasks on a worker.
func (l *relocation) resourcesOn(h, k int) (sum job.Resources) {
	a := &l.view.Allocations[h]
	for _, on := range a.WorkerIndexes {
		if on == k {
			sum = sum.Add(a.Each)
		}
	}
	return sum
}

// evictionCost returns the cost of evicting an allocation, in core-seconds.
func (l *relocation) evictionCost(h int) float64 {
	a := &l.view.Allocations[h]
	cost := l.preemptionCost(a) + 1
	if a.Guaranteed {
		cost *= moveCostFactor
	}
	return cost
}

// evict frees the resources of an allocation. The tasks of a guaranteed one are queued to be placed elsewhere.
func (l *relocation) evict(h int) {
	a := &l.view.Allocations[h]
	l.evicted[h] = true
	l.stops = append(l.stops, h)
	for position, k := range a.WorkerIndexes {
		l.free[k] = l.free[k].Add(a.Each)
		if a.Guaranteed {
			l.queue = append(l.queue, relocatedTask{h, position, a.Each, 0})
		}
	}
}

// plan returns the plan once all tasks are placed.
func (l *relocation) plan() *preemptionPlan {
	p := &preemptionPlan{workers: map[int]string{}, stops: l.stops, cost: l.cost}
	moves := map[int][]string{}
	for i := range l.placed {
		t := &l.placed[i]
		worker := l.view.Workers[t.worker].ID
		if t.allocation == demandTask {
			p.workers[l.demand.Waiting[t.position]] = worker
			continue
		}
		if moves[t.allocation] == nil {
			moves[t.allocation] = make([]string, len(l.view.Allocations[t.allocation].WorkerIndexes))
		}
		moves[t.allocation][t.position] = worker
	}
	for _, h := range l.stops {
		if moves[h] != nil {
			p.moves = append(p.moves, Move{h, moves[h]})
		}
	}
	return p
}
