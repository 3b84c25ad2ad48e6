package placement

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/headroom"
	"github.com/pulleyring/pulleyring/internal/job"
)

// KeptBack says how many tasks of a demand would have started without the capacity that is kept for urgent work.
type KeptBack struct {
	Demand int // Index of the demand.
	Tasks  int
}

// urgentRoom counts the free slots of urgent work during a decision, by shape. The counts are made once, for the
// first demand that must leave capacity to urgent work, and are then updated for each worker whose free capacity
// has changed.
type urgentRoom struct {
	shapes  []shapeRoom
	counted []job.Resources // By worker: the free capacity that the counts contain.
	// By worker: capacity that is free, but reserved without preemption. Urgent work may use it, so it is a part of the
	// slots on the worker. A task on the rest of the worker's free capacity takes these slots.
	reserved  []job.Resources
	drains    []drain // All reservations without preemption.
	seenPlans int     // Number of reservations of this decision that drains contains.
	version   int     // Changes whenever counted or reserved changes.
	// admitting caches the workers on which at least one task may start, by the resources of the task. Most
	// waiting tasks of bulk work are alike, and hundreds of demands may wait.
	admitting map[job.Resources]admittingWorkers
}

// drain is a reservation without preemption.
type drain struct {
	demand  int  // Index of the demand.
	isNew   bool // Made by this decision.
	active  bool // Contained in reserved.
	each    job.Resources
	workers []int // Index of the worker of each task.
}

// shapeRoom holds the free slots of one shape.
type shapeRoom struct {
	headroom.Shape
	usable []bool // By worker: may run tasks of this shape.
	kept   int    // Slots to keep for this shape and larger ones together.
	free   int    // Free slots on all usable workers.
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

// hasMissedAllGoals reports whether a demand can't meet any goal, even if it starts now.
func (pl *planner) hasMissedAllGoals(d *Demand) bool {
	return pl.view.Now.Add(d.Remaining).After(d.LastGoal)
}

// isPaused reports whether a demand that was stopped for urgent work must not start yet. If it started at once, it would
// often be stopped again: one job was stopped 194 times. The pause ends early if capacity is ample, if the demand
// holds capacity for which other work was stopped, and if it would miss its next goal because of the pause.
func (pl *planner) isPaused(d *Demand) bool {
	if d.Priority == 0 || !pl.view.Now.Before(d.PausedUntil) || d.holdsFreedCapacity() || pl.hasAmpleCapacity(d) {
		return false
	}
	return pl.hasMissedAllGoals(d) || !pl.latestStart(d).Before(d.PausedUntil)
}

// latestStart returns the time by which a demand must start to meet its next goal.
func (pl *planner) latestStart(d *Demand) time.Time {
	_, goal := pl.valueAtStake(d)
	return goal.Add(-time.Duration(runTimeMargin * float64(d.Remaining)))
}

const (
	// checkpointPreference is the factor on the cost of stopping work that saves checkpoints. Without it, other work that
	// has just started is the cheapest to stop, and makes no progress if it is stopped each time.
	checkpointPreference = 0.8
	// recentStopPenalty is added to the factor on the cost for each recent stop, up to maxRecentStopPenalty.
	recentStopPenalty    = 0.2
	maxRecentStopPenalty = 0.6
)

// preferenceFactor returns the factor on the cost of stopping an allocation by which others are preferred to it.
func preferenceFactor(h *Allocation) float64 {
	factor := 1 + min(recentStopPenalty*float64(h.RecentStops), maxRecentStopPenalty)
	if h.SavesCheckpoints {
		factor *= checkpointPreference
	}
	return factor
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

// updateUrgentRoom counts the free slots by shape, or updates the counts for the workers that have changed.
func (pl *planner) updateUrgentRoom() {
	u := &pl.urgent
	if u.counted == nil {
		u.counted, u.reserved, u.admitting = make([]job.Resources, len(pl.free)), make([]job.Resources, len(pl.free)), map[job.Resources]admittingWorkers{}
		u.shapes = pl.shapesToKeep()
		for i := range pl.view.Demands {
			if d := &pl.view.Demands[i]; d.ReservedWithoutPreemption {
				u.drains = append(u.drains, pl.drainOf(i, d.Reservation, false))
			}
		}
	}
	pl.updateReserved()
	for k := range pl.free {
		if pl.free[k] == u.counted[k] {
			continue
		}
		u.version++
		for s := range u.shapes {
			if room := &u.shapes[s]; room.usable[k] {
				room.free += room.Fitting(pl.free[k]) - room.Fitting(u.counted[k])
			}
		}
		u.counted[k] = pl.free[k]
	}
}

// updateReserved updates the capacity that is reserved without preemption at present.
func (pl *planner) updateReserved() {
	u := &pl.urgent
	for ; u.seenPlans < len(pl.outcome.Reservations); u.seenPlans++ {
		if r := &pl.outcome.Reservations[u.seenPlans]; r.WithoutPreemption {
			u.drains = append(u.drains, pl.drainOf(r.Demand, r.Workers, true))
		}
	}
	changed := false
	for i := range u.drains {
		r := &u.drains[i]
		active := r.isNew || pl.deductedReservations[r.demand]
		changed, r.active = changed || active != r.active, active
	}
	if !changed {
		return
	}
	u.version++
	clear(u.reserved)
	for _, r := range u.drains {
		if !r.active {
			continue
		}
		for _, k := range r.workers {
			u.reserved[k] = u.reserved[k].Add(r.each)
		}
	}
}

// drainOf returns the reservation without preemption of demand i.
func (pl *planner) drainOf(i int, workers map[int]string, isNew bool) drain {
	r := drain{demand: i, isNew: isNew, each: pl.view.Demands[i].Step.Each}
	for _, worker := range workers {
		if k, ok := pl.workerIndex(worker); ok {
			r.workers = append(r.workers, k)
		}
	}
	return r
}

// shapesToKeep returns the shapes of urgent work with the slots to keep for each, and no slot counted as free. A slot
// of a larger shape counts as the slots of the smaller shape that it holds.
func (pl *planner) shapesToKeep() []shapeRoom {
	waiting := pl.unservedUrgentTasks()
	shapes := make([]shapeRoom, len(pl.view.Headroom))
	for s := range shapes {
		room := &shapes[s]
		room.Shape, room.usable = pl.view.Headroom[s].Shape, make([]bool, len(pl.free))
		for k := range pl.view.Workers {
			room.usable[k] = pl.view.Workers[k].mayRun(&room.Shape)
		}
		for o := range pl.view.Headroom {
			other := &pl.view.Headroom[o]
			if other.Service != room.Service || other.CompareSize(&room.Shape) < 0 || room.Label != "" && other.Label != room.Label {
				continue
			}
			room.kept += (other.Slots + waiting[other.Shape]) * max(room.Fitting(other.Each), 1)
		}
	}
	return shapes
}

// mayRun reports whether a worker may run tasks of a shape, whether it has free capacity or not.
func (w *Worker) mayRun(s *headroom.Shape) bool {
	return w.AcceptsRuns && w.Service == s.Service && (s.Label == "" || slices.Contains(w.Labels, s.Label))
}

// FreeSlots returns how many tasks of a shape fit into the free capacity of a view, reserved capacity included.
func FreeSlots(v *View, s *headroom.Shape) int {
	free := 0
	for k := range v.Workers {
		if w := &v.Workers[k]; w.mayRun(s) {
			free += s.Fitting(w.Free)
		}
	}
	return free
}

// unservedUrgentTasks returns the number of urgent tasks, by shape, that this decision neither starts nor reserves
// capacity for. If bulk work took the slots that a waiting gang lacks only a few of, the gang would preempt more.
func (pl *planner) unservedUrgentTasks() map[headroom.Shape]int {
	served := map[int]int{}
	for _, s := range pl.outcome.Starts {
		served[s.Demand] += len(s.Workers)
	}
	for _, r := range pl.outcome.Reservations {
		served[r.Demand] += len(r.Workers)
	}
	waiting := map[headroom.Shape]int{}
	for i := range pl.view.Demands {
		d := &pl.view.Demands[i]
		if d.Priority > 0 || len(pl.reservationOf(i)) > 0 || pl.hasMissedAllGoals(d) {
			continue
		}
		waiting[ShapeOf(d.Service, d.Step)] += max(len(d.Waiting)-served[i], 0)
	}
	return waiting
}

// ShapeOf returns the shape of a step's tasks.
func ShapeOf(service string, step *job.Step) headroom.Shape {
	return headroom.Shape{Service: service, Label: step.Label, Each: step.Each}
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

// isShort reports whether too few slots of a shape would be left if the free capacity of a worker changed.
func (u *urgentRoom) isShort(s, k int, before, after job.Resources, left int) bool {
	if room := &u.shapes[s]; room.kept == 0 || !room.usable[k] {
		return false
	}
	lost := u.lostSlots(s, k, before, after)
	return lost > 0 && left < lost
}

// lostSlots returns how many slots of a shape are lost if the free capacity of a worker changes.
func (u *urgentRoom) lostSlots(s, k int, before, after job.Resources) int {
	room, reserved := &u.shapes[s], u.reserved[k]
	lost := room.Fitting(before) - room.Fitting(after)
	if reserved == (job.Resources{}) {
		return lost
	}
	return max(lost, room.Fitting(before.Add(reserved))-room.Fitting(after.Add(reserved)))
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
	if l.refused >= len(l.demand.Waiting) || pl.idleCount <= pl.idleReserve && pl.isIdle(k) && pl.mustLeaveReserve(l.demand) {
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
