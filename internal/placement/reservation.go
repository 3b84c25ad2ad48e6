package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// maxUnpreemptedShare limits the reservations without preemption: tasks with such a reservation for each
// worker in an open hall. Reserved capacity stays idle until all of it is free.
const maxUnpreemptedShare = 0.4

// reserveWithoutPreemption reserves the capacity that comes free first for a gang that does not fit now.
// Nothing is preempted, but no other work that is not urgent starts there.
func (pl *planner) reserveWithoutPreemption(i int) {
	d := &pl.view.Demands[i]
	if pl.unpreemptedTasks > 0 && float64(pl.unpreemptedTasks+len(d.Waiting)) > maxUnpreemptedShare*float64(pl.openCount) {
		return
	}
	racks := pl.racks
	if !d.Step.RackLocal {
		racks = [][]int{pl.allWorkers}
	}
	var best map[int]string
	var earliest time.Duration
	for _, rack := range racks {
		workers, after := pl.earliestCapacity(d, rack)
		if workers != nil && (best == nil || after < earliest) {
			best, earliest = workers, after
		}
	}
	if best == nil {
		return
	}
	pl.unpreemptedTasks += len(best)
	for _, worker := range best {
		k := pl.mustWorkerIndex(worker)
		pl.free[k] = pl.free[k].Sub(d.Step.Each)
	}
	pl.outcome.Reservations = append(pl.outcome.Reservations, Reservation{Demand: i, Workers: best, WithoutPreemption: true})
}

// placeOnReserved starts a gang on capacity reserved without preemption for gangs that are served later.
// Other work may do so once it has waited too long while capacity is ample. With every gang limited to its
// own reservation, a dozen gangs waited 10 to 40 s for the last few of their workers, while 160 to 330 of
// their tasks would have fitted into all reservations together.
func (pl *planner) placeOnReserved(i int) bool {
	if !pl.mayUseReserved(i) {
		return false
	}
	reservations := pl.usableReservations()
	for _, j := range reservations {
		pl.returnReservation(j)
	}
	complete := len(reservations) > 0 && pl.place(i)
	for _, j := range reservations {
		pl.deductReservation(j)
	}
	if pl.started(i) {
		pl.dropUsedReservations(reservations)
	}
	return complete
}

// mayUseReserved reports whether a demand may start on capacity reserved without preemption for others.
func (pl *planner) mayUseReserved(i int) bool {
	d := &pl.view.Demands[i]
	return d.Priority > 0 && !pl.started(i) && (d.Step.Gang || pl.waitedTooLong)
}

// started reports whether this decision starts any task of the demand that is being served.
func (pl *planner) started(i int) bool {
	n := len(pl.outcome.Starts)
	return n > 0 && pl.outcome.Starts[n-1].Demand == i
}

// usableReservations returns the demands whose reservations without preemption may be used by the current
// demand: those served later, and also those served before if the current demand has waited too long while
// capacity is ample.
func (pl *planner) usableReservations() []int {
	var usable []int
	for j := range pl.view.Demands {
		if pl.view.Demands[j].ReservedWithoutPreemption && pl.deducted[j] && (pl.waitedTooLong || !pl.served[j]) {
			usable = append(usable, j)
		}
	}
	return usable
}

// dropUsedReservations drops the reservations that the last start used in part.
func (pl *planner) dropUsedReservations(reservations []int) {
	used := map[string]bool{}
	for _, worker := range pl.outcome.Starts[len(pl.outcome.Starts)-1].Workers {
		used[worker] = true
	}
	for _, j := range reservations {
		if pl.isReservationUsed(j, used) {
			pl.returnReservation(j)
			pl.unpreemptedTasks -= len(pl.view.Demands[j].Reservation)
			pl.droppedReservations[j] = true
			pl.outcome.DroppedReservations = append(pl.outcome.DroppedReservations, j)
		}
	}
}

// isReservationUsed reports whether the last start left too little capacity for a demand's reservation on
// one of the used workers.
func (pl *planner) isReservationUsed(j int, used map[string]bool) bool {
	for _, worker := range pl.view.Demands[j].Reservation {
		if k, ok := pl.workerIndex(worker); ok && used[worker] && !pl.free[k].Fits(job.Resources{}) {
			return true
		}
	}
	return false
}

// slot is capacity for one task on a worker, and the time until it comes free.
type slot struct {
	worker    int
	freeAfter time.Duration
}

// earliestCapacity returns the workers, by task index, on which capacity for all waiting tasks comes free
// first, and the time until all of it is free. It returns nil if they don't have enough capacity.
func (pl *planner) earliestCapacity(d *Demand, among []int) (map[int]string, time.Duration) {
	if !pl.fitsWhenEmpty(d, among) {
		return nil, 0
	}
	var slots []slot
	for _, k := range among {
		if pl.isSuitable(k) {
			slots = append(slots, pl.slots(d, k)...)
		}
	}
	if len(slots) < len(d.Waiting) {
		return nil, 0
	}
	slices.SortStableFunc(slots, func(x, y slot) int { return cmp.Compare(x.freeAfter, y.freeAfter) })
	workers := make(map[int]string, len(d.Waiting))
	for n, index := range d.Waiting {
		workers[index] = pl.view.Workers[slots[n].worker].ID
	}
	return workers, slots[len(d.Waiting)-1].freeAfter
}

// slots returns the slots of a worker for the demand's tasks, in the order in which they come free. Each
// allocation is taken to end at its expected time.
func (pl *planner) slots(d *Demand, k int) []slot {
	allocations := slices.Clone(pl.onWorker[k])
	slices.SortStableFunc(allocations, func(x, y int) int {
		return cmp.Compare(pl.view.Allocations[x].Remaining, pl.view.Allocations[y].Remaining)
	})
	free := pl.free[k]
	var list []slot
	add := func(after time.Duration) {
		for range pl.fittingTasks(d, k, free) - len(list) {
			list = append(list, slot{k, after})
		}
	}
	add(0)
	for _, h := range allocations {
		free = free.Add(pl.view.Allocations[h].Each)
		add(pl.view.Allocations[h].Remaining)
	}
	return list
}
