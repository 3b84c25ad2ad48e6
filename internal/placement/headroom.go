package placement

import (
	"slices"

	"github.com/pulleyring/pulleyring/internal/headroom"
	"github.com/pulleyring/pulleyring/internal/job"
)

// KeptBack says how many tasks of a demand would have started without the capacity that is kept for urgent work.
type KeptBack struct {
	Demand int // Index of the demand.
	Tasks  int
}

// admittingWorkers is a set of workers for one version of the counts.
type admittingWorkers struct {
	version int
	admits  []bool // By worker.
}

// headroomLimit limits the start of one demand so that the slots of urgent work stay free. A nil limit admits
// everything.
type headroomLimit struct {
	planner *planner
	demand  *Demand
	left    []int // By shape: slots that may still be taken. It is updated as tasks are admitted.
	refused int   // Number of tasks that fit but were not admitted.
}

// mustLeaveHeadroom reports whether a demand must leave capacity to urgent work. Bulk work must, except if it has
// waited too long while capacity is ample, must start now to meet its next goal, or holds capacity for which other work
// was stopped. Gangs between urgent and bulk work need not: they wait longest for a rack as it is, and are worth more
// than bulk work.
func (pl *planner) mustLeaveHeadroom(d *Demand) bool {
	if d.Priority < bulkPriority || d.Guaranteed || pl.waitedTooLong || d.holdsFreedCapacity() {
		return false
	}
	return pl.hasMissedAllGoals(d) || !pl.mayPreemptNow(d)
}

// holdsFreedCapacity reports whether a demand has reserved capacity for which other work was stopped. No other demand
// may use that capacity, so it is idle until the demand starts.
func (d *Demand) holdsFreedCapacity() bool {
	return len(d.Reservation) > 0 && !d.ReservedWithoutPreemption
}

// limitByHeadroom sets the limit for the start of a demand.
func (pl *planner) limitByHeadroom(d *Demand) {
	pl.limit = nil
	if len(pl.view.Headroom) == 0 || !pl.mustLeaveHeadroom(d) {
		return
	}
	pl.updateUrgentRoom()
	l := &headroomLimit{planner: pl, demand: d, left: make([]int, len(pl.urgent.shapes))}
	limited := false
	for s := range pl.urgent.shapes {
		room := &pl.urgent.shapes[s]
		l.left[s] = room.free - room.kept
		limited = limited || room.kept > 0 && l.left[s] < len(d.Waiting)*mostSlotsTaken(&room.Shape, d.Step.Each)
	}
	if limited {
		pl.limit = l
	}
}

// mostSlotsTaken returns the most slots of a shape that a task with the given resources can take.
func mostSlotsTaken(s *headroom.Shape, each job.Resources) int {
	most := int64(1)
	for _, r := range [...]struct{ each, slot int64 }{
		{each.MilliCPU, s.Each.MilliCPU}, {each.MemoryMB, s.Each.MemoryMB}, {each.Accelerators, s.Each.Accelerators},
	} {
		if r.slot > 0 {
			most = max(most, (r.each+r.slot-1)/r.slot)
		}
	}
	return int(most)
}

// admit reports whether a further task may start on a worker where the given number of tasks of this start have been
// admitted. If it may, it counts the slots that the task takes.
func (l *headroomLimit) admit(k, admitted int) bool {
	if l == nil {
		return true
	}
	each := l.demand.Step.Each
	before := l.planner.free[k]
	for range admitted {
		before = before.Sub(each)
	}
	after := before.Sub(each)
	shapes := l.planner.urgent.shapes
	for s := range shapes {
		if l.planner.urgent.isShort(s, k, before, after, l.left[s]) {
			return false
		}
	}
	for s := range shapes {
		if shapes[s].usable[k] {
			l.left[s] -= l.planner.urgent.lostSlots(s, k, before, after)
		}
	}
	return true
}

// packGang assigns the gang's tasks to workers in the given order, passing over those that do not admit a task. It
// returns nil if not all of the tasks are admitted somewhere.
func (l *headroomLimit) packGang(order []int) map[int]string {
	left := slices.Clone(l.left)
	defer func() { l.left = left }()
	pl, d := l.planner, l.demand
	workers := map[int]string{}
	for _, k := range order {
		for n := range pl.fittingTasks(d, k, pl.free[k]) {
			if !l.admit(k, n) {
				break
			}
			workers[d.Waiting[len(workers)]] = pl.view.Workers[k].ID
			if len(workers) == len(d.Waiting) {
				return workers
			}
		}
	}
	return nil
}

// admitsGang reports whether a gang may start on the given workers. It is held back as a whole.
func (l *headroomLimit) admitsGang(workers map[int]string) bool {
	if l == nil {
		return true
	}
	left := slices.Clone(l.left)
	defer func() { l.left = left }()
	admitted := map[int]int{}
	for _, index := range l.demand.Waiting {
		k := l.planner.mustWorkerIndex(workers[index])
		if !l.admit(k, admitted[k]) {
			l.refused = len(l.demand.Waiting)
			return false
		}
		admitted[k]++
	}
	return true
}

// admittingAmong returns those of the given workers on which at least one task of the demand may start.
func (l *headroomLimit) admittingAmong(among []int) []int {
	if l == nil {
		return among
	}
	pl, each := l.planner, l.demand.Step.Each
	cached, ok := pl.urgent.admitting[each]
	if !ok || cached.version != pl.urgent.version {
		cached = admittingWorkers{pl.urgent.version, l.admittingWorkers(cached.admits)}
		pl.urgent.admitting[each] = cached
	}
	var list []int
	for _, k := range among {
		if cached.admits[k] {
			list = append(list, k)
			continue
		}
		l.countRefused(k, 0)
	}
	return list
}

// admittingWorkers returns by worker whether a task of the demand may start there. It reuses the given slice.
func (l *headroomLimit) admittingWorkers(admits []bool) []bool {
	pl, each := l.planner, l.demand.Step.Each
	if admits == nil {
		admits = make([]bool, len(pl.free))
	}
	for k, free := range pl.free {
		admits[k] = false
		if !free.Fits(each) {
			continue
		}
		after := free.Sub(each)
		short := func(s int) bool { return pl.urgent.isShort(s, k, free, after, l.left[s]) }
		admits[k] = true
		for s := range pl.urgent.shapes {
			if short(s) {
				admits[k] = false
				break
			}
		}
	}
	return admits
}

// countRefused counts the tasks that fit on a worker but are not admitted there. Idle workers that the demand must
// leave to urgent work anyway don't count.
func (l *headroomLimit) countRefused(k, admitted int) {
	pl := l.planner
	if l.refused >= len(l.demand.Waiting) {
		return
	}
	if pl.idleCount <= pl.idleReserve && pl.isIdle(k) && pl.mustLeaveReserve(l.demand) {
		return
	}
	l.refused += pl.fittingTasks(l.demand, k, pl.free[k]) - admitted
}

// recordKeptBack records how many tasks of demand i the limit has kept back, given the number that were assigned.
func (pl *planner) recordKeptBack(i, assigned int) {
	l := pl.limit
	if l == nil {
		return
	}
	tasks := min(l.refused, len(l.demand.Waiting)-assigned)
	last := len(pl.outcome.KeptBack) - 1
	if last >= 0 && pl.outcome.KeptBack[last].Demand == i { // A second attempt, with the reservations of others.
		pl.outcome.KeptBack = pl.outcome.KeptBack[:last]
	}
	if tasks > 0 {
		pl.outcome.KeptBack = append(pl.outcome.KeptBack, KeptBack{i, tasks})
	}
}
