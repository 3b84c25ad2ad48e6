package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// maxShareReservedWithoutPreemption is the maximum number of tasks that hold a reservation without preemption,
// for each worker in an open hall. A limit is needed because reserved capacity stays idle until all of the
// reservation is free.
const maxShareReservedWithoutPreemption = 0.4

// reserveWithoutPreemption reserves the capacity that comes free first for a gang that does not fit now. Capacity with
// which the gang meets its goal is preferred. Nothing is preempted, but no other work that is not urgent starts there.
func (pl *planner) reserveWithoutPreemption(i int) {
	d := &pl.view.Demands[i]
	if pl.tasksReservedWithoutPreemption > 0 && float64(pl.tasksReservedWithoutPreemption+len(d.Waiting)) > maxShareReservedWithoutPreemption*float64(pl.openCount) {
		return
	}
	racks := pl.workersByRack
	if !d.Step.RackLocal {
		racks = [][]int{pl.allWorkers}
	}
	var best map[int]string
	var earliest time.Duration
	bestValue := 0.0
	for _, rack := range racks {
		workers, after, value := pl.earliestValuableCapacity(d, rack)
		if workers != nil && (best == nil || value > bestValue || value == bestValue && after < earliest) {
			best, earliest, bestValue = workers, after, value
		}
	}
	if best == nil {
		return
	}
	pl.tasksReservedWithoutPreemption += len(best)
	for _, worker := range best {
		k := pl.mustWorkerIndex(worker)
		pl.free[k] = pl.free[k].Sub(d.Step.Each)
	}
	pl.outcome.Reservations = append(pl.outcome.Reservations, Reservation{Demand: i, Workers: best, WithoutPreemption: true})
}

// placeOnReserved starts tasks of demand i on capacity that is reserved without preemption for other demands.
// It reports whether no task of the demand is left waiting. Gangs may use the reservations of demands that are
// served later. Other work may use reservations once it has waited too long while capacity is ample. When every
// gang was limited to its own reservation, a dozen gangs waited 10 to 40 s for the last few of their workers,
// while 160 to 330 of their tasks would have fitted into all reservations together.
func (pl *planner) placeOnReserved(i int) bool {
	if !pl.mayUseReserved(i) {
		return false
	}
	reservations := pl.usableReservations()
	for _, j := range reservations {
		pl.returnReservation(j)
	}
	complete := len(reservations) > 0 && pl.startFittingTasks(i)
	for _, j := range reservations {
		pl.deductReservation(j)
	}
	if pl.startsAnyTask(i) {
		pl.dropUsedReservations(reservations)
	}
	return complete
}

// mayUseReserved reports whether a demand may start on capacity reserved without preemption for others.
func (pl *planner) mayUseReserved(i int) bool {
	d := &pl.view.Demands[i]
	return d.Priority > 0 && !pl.startsAnyTask(i) && (d.Step.Gang || pl.waitedTooLong)
}

// startsAnyTask reports whether the latest start of this decision is one of demand i.
func (pl *planner) startsAnyTask(i int) bool {
	n := len(pl.outcome.Starts)
	return n > 0 && pl.outcome.Starts[n-1].Demand == i
}

// usableReservations returns the demands whose reservations without preemption the current demand may use.
// These are the demands served later. If the current demand has waited too long while capacity is ample, those
// served before are usable too.
func (pl *planner) usableReservations() []int {
	var usable []int
	for j := range pl.view.Demands {
		if pl.view.Demands[j].ReservedWithoutPreemption && pl.deductedReservations[j] && (pl.waitedTooLong || !pl.servedDemands[j]) {
			usable = append(usable, j)
		}
	}
	return usable
}

// dropUsedReservations drops those of the given reservations for which too little capacity is left after the
// latest start.
func (pl *planner) dropUsedReservations(reservations []int) {
	used := map[string]bool{}
	for _, worker := range pl.outcome.Starts[len(pl.outcome.Starts)-1].Workers {
		used[worker] = true
	}
	for _, j := range reservations {
		if pl.isReservationUsed(j, used) {
			pl.returnReservation(j)
			pl.tasksReservedWithoutPreemption -= len(pl.view.Demands[j].Reservation)
			pl.droppedReservations[j] = true
			pl.outcome.DroppedReservations = append(pl.outcome.DroppedReservations, j)
		}
	}
}

// isReservationUsed reports whether the latest start left too little capacity for the reservation of demand j,
// on any worker that the start uses.
func (pl *planner) isReservationUsed(j int, used map[string]bool) bool {
	for _, worker := range pl.view.Demands[j].Reservation {
		if k, ok := pl.workerIndex(worker); ok && used[worker] && !pl.free[k].Fits(job.Resources{}) {
			return true
		}
	}
	return false
}

// taskSlot is capacity for one task on a worker, and the time until it comes free.
type taskSlot struct {
	worker    int
	freeAfter time.Duration
}

// earliestCapacity returns the workers, by task index, on which capacity for all waiting tasks comes free
// first, and the time until all of it is free. It returns nil if the given workers don't have enough capacity.
func (pl *planner) earliestCapacity(d *Demand, among []int) (map[int]string, time.Duration) {
	if !pl.fitsWhenEmpty(d, among) {
		return nil, 0
	}
	var slots []taskSlot
	for _, k := range among {
		if pl.isSuitable(k) {
			slots = append(slots, pl.taskSlots(d, k)...)
		}
	}
	if len(slots) < len(d.Waiting) {
		return nil, 0
	}
	slices.SortStableFunc(slots, func(x, y taskSlot) int { return cmp.Compare(x.freeAfter, y.freeAfter) })
	workers := make(map[int]string, len(d.Waiting))
	for n, index := range d.Waiting {
		workers[index] = pl.view.Workers[slots[n].worker].ID
	}
	return workers, slots[len(d.Waiting)-1].freeAfter
}

// taskSlots returns the slots for the demand's tasks on a worker, in the order in which they come free. It
// assumes that each allocation ends at its expected time.
func (pl *planner) taskSlots(d *Demand, k int) []taskSlot {
	allocations := slices.Clone(pl.allocationsOnWorker[k])
	slices.SortStableFunc(allocations, func(x, y int) int {
		return cmp.Compare(pl.view.Allocations[x].Remaining, pl.view.Allocations[y].Remaining)
	})
	free := pl.free[k]
	var list []taskSlot
	add := func(after time.Duration) {
		for range pl.fittingTasks(d, k, free) - len(list) {
			list = append(list, taskSlot{k, after})
		}
	}
	add(0)
	for _, h := range allocations {
		free = free.Add(pl.view.Allocations[h].Each)
		add(pl.view.Allocations[h].Remaining)
	}
	return list
}

// drainingWorkers returns by worker whether any of its capacity is reserved without preemption.
func (pl *planner) drainingWorkers() []bool {
	draining := make([]bool, len(pl.view.Workers))
	for i := range pl.view.Demands {
		if !pl.view.Demands[i].ReservedWithoutPreemption {
			continue
		}
		for _, worker := range pl.view.Demands[i].Reservation {
			if k, ok := pl.workerIndex(worker); ok {
				draining[k] = true
			}
		}
	}
	return draining
}

// drainingRank returns 1 for a worker that an urgent demand uses only if it fits nowhere else, because capacity drains
// there for other work, and 0 for others, to sort by. Urgent gangs may use such capacity. When they did not avoid it,
// they took the idle workers of racks that drained for large gangs, which then waited for up to 17 s.
func (pl *planner) drainingRank(d *Demand, k int) int {
	if d.Priority > 0 {
		return 0
	}
	if pl.draining == nil {
		pl.draining = pl.drainingWorkers()
	}
	if pl.draining[k] {
		return 1
	}
	return 0
}

// drainingTasks returns how many of the assigned tasks are on workers that an urgent demand should avoid.
func (pl *planner) drainingTasks(d *Demand, workers map[int]string) int {
	n := 0
	for _, worker := range workers {
		n += pl.drainingRank(d, pl.mustWorkerIndex(worker))
	}
	return n
}
